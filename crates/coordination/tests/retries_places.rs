//! At how many backend servers one request may run.

use pollendrift_coordination::base::ServerName;
use pollendrift_coordination::retries::TriedServers;

/// Engines that a route allows.
const MOST: u32 = 2;

// Callers and operators see: a draft runs on more engines than its route allows. Its chain breaks in
// the middle, another goes on and breaks as well; the first engine of each is well. A third chain may
// begin with one of those two again, or with any engine once one of them is lost itself.
#[test]
fn a_draft_begins_anew_with_engines_that_it_ran_on() {
    let cases: [(&str, &[&str], &[&str]); 6] = [
        ("first chain", &[], &[]),
        ("one broke", &["a"], &[]),
        ("two broke", &["a", "b"], &[]),
        ("two broke, one begins twice", &["a", "a"], &[]),
        (
            "two broke, one of their first engines lost",
            &["a", "b"],
            &["a"],
        ),
        (
            "three, of which one was lost and is back",
            &["a", "b", "c"],
            &[],
        ),
    ];
    let mut seen = Vec::new();
    for (name, ran, lost) in cases {
        let mut places = TriedServers::default();
        for server in ran {
            places.record(&ServerName::from(*server));
        }
        let is_lost = |server: &ServerName| lost.contains(&server.as_str());
        let allowed = places.allowed(MOST, is_lost);
        let names = |servers: Vec<&ServerName>| {
            let names: Vec<&str> = servers.into_iter().map(ServerName::as_str).collect();
            names.join(" ")
        };
        seen.push(format!(
            "{name}: {}",
            allowed.map_or("any".to_owned(), names)
        ));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    first chain: any
    one broke: any
    two broke: a b
    two broke, one begins twice: any
    two broke, one of their first engines lost: any
    three, of which one was lost and is back: a b c
    ");
}
