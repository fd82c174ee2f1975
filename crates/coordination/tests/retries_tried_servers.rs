//! Limit of the backend servers that one request may run on.

use pollendrift_coordination::base::ServerName;
use pollendrift_coordination::retries::TriedServers;

/// Number of engines that one draft may run on: `max_attempts` of its route.
const LIMIT: u32 = 2;

// Guards against a draft that runs on more engines than its route allows. Two chains break in the
// middle, and the first engine of each still answers. A third chain may begin only with one of
// these two engines, or with any engine after one of the two is lost.
#[test]
fn a_draft_at_its_limit_restarts_only_on_engines_that_ran_it() {
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
        let mut tried = TriedServers::default();
        for server in ran {
            tried.record(&ServerName::from(*server));
        }
        let is_lost = |server: &ServerName| lost.contains(&server.as_str());
        let allowed = tried.allowed(LIMIT, is_lost);
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
