//! What an operator is told when daemons answer, refuse, disappear or lose the answer.

use std::fmt::Write;

use crate::support::{Scripted, ScriptedDaemon, TestFile, pollenctl};

const ACCEPTED: &str = r#"{"outcome":"accepted","revision":8,"warnings":[]}"#;
const CONFLICT: &str = r#"{"outcome":"conflict","conflict":{"based_on":7,"current":9,"winner":null,
    "difference":{"added":[],"removed":[],"changed":[{"selector":"s"}],"unnamed":0}}}"#;
const REFUSED: &str = r#"{"outcome":"refused","findings":[{"severity":"error",
    "place":{"file":"c","line":1,"column":7},"message":"m","expected":"e"}]}"#;
const REUSED: &str = r#"{"outcome":"change-id-reused"}"#;
const NOT_RUN: &str = r#"{"title":"no quorum","detail":"","outcome":"not-run"}"#;
const UNKNOWN: &str = r#"{"title":"no answer of the keepers","detail":"","outcome":"unknown"}"#;
const NO_TOKEN: &str = r#"{"title":"no such token","detail":"","outcome":"not-run"}"#;

fn answers(status: u16, body: &str) -> Scripted {
    Scripted::Answer(status, body.to_owned())
}

/// The first daemon follows the script of the case, the second that after the bar, on each of two
/// rounds. Every try carries the same bytes, so a change that took effect at a lost answer does so
/// once; `unknown` is said as soon as any try may have run and no daemon gave a final word.
#[tokio::test]
async fn an_operator_is_told_what_is_known() {
    use Scripted::Lose;
    let cases: Vec<(&str, Vec<Scripted>, Vec<Scripted>)> = vec![
        ("accepted", vec![answers(200, ACCEPTED)], vec![Lose]),
        (
            "answer lost, accepted by the resend",
            vec![Lose],
            vec![answers(200, ACCEPTED)],
        ),
        (
            "draining, accepted by the next",
            vec![answers(503, NOT_RUN)],
            vec![answers(200, ACCEPTED)],
        ),
        ("all answers lost", vec![Lose], vec![Lose]),
        (
            "no quorum anywhere",
            vec![answers(503, NOT_RUN)],
            vec![answers(503, NOT_RUN)],
        ),
        (
            "keepers did not answer",
            vec![answers(504, UNKNOWN)],
            vec![answers(503, NOT_RUN)],
        ),
        (
            "a proxy's words prove nothing",
            vec![answers(502, "bad gateway")],
            vec![answers(503, NOT_RUN)],
        ),
        ("an error without proof", vec![answers(500, "")], vec![Lose]),
        ("no token", vec![answers(401, NO_TOKEN)], vec![Lose]),
        (
            "answer lost, then no token",
            vec![Lose],
            vec![answers(401, NO_TOKEN)],
        ),
        ("conflict", vec![answers(409, CONFLICT)], vec![Lose]),
        (
            "conflict after a lost answer",
            vec![Lose],
            vec![answers(409, CONFLICT)],
        ),
        ("refused", vec![answers(422, REFUSED)], vec![Lose]),
        ("change id reused", vec![answers(409, REUSED)], vec![Lose]),
    ];
    let file = TestFile::new(
        "apply.yaml",
        "# revision: 7\nkind: selector\nname: s\nmodel: m\n",
    );
    let mut report = String::new();
    for (name, first, second) in cases {
        let daemons = [
            ScriptedDaemon::start(first).await,
            ScriptedDaemon::start(second).await,
        ];
        let servers = format!("{},{}", daemons[0].address, daemons[1].address);
        let ran = pollenctl(&[
            "--servers",
            &servers,
            "apply",
            "--change-id",
            "c1",
            &file.path,
        ])
        .await;
        let seen: Vec<String> = daemons.iter().flat_map(ScriptedDaemon::seen).collect();
        assert!(
            seen.iter().all(|request| *request == seen[0]),
            "{name}: {seen:?}"
        );
        let notes = ran.notes.replace(&daemons[0].address.to_string(), "FIRST");
        let notes = notes.replace(&daemons[1].address.to_string(), "SECOND");
        let _ = writeln!(
            report,
            "== {name}: exit {}, {} tries\n{}{notes}",
            ran.exit,
            seen.len(),
            ran.out
        );
    }
    insta::assert_snapshot!(report, @r#"
    == accepted: exit 0, 1 tries
    accepted as revision 8
    change c1, based on revision 7

    == answer lost, accepted by the resend: exit 0, 2 tries
    accepted as revision 8
    change c1, based on revision 7

    == draining, accepted by the next: exit 0, 2 tries
    accepted as revision 8
    change c1, based on revision 7

    == all answers lost: exit 4, 4 tries
    change c1, based on revision 7
    pollenctl: the outcome of change c1 is unknown:
      http://FIRST: no whole answer: connection closed before message completed
      http://SECOND: no whole answer: connection closed before message completed
      http://FIRST: no whole answer: connection closed before message completed
      http://SECOND: no whole answer: connection closed before message completed
    it may be in force; resend it with --change-id c1 --based-on 7, which is safe at any time

    == no quorum anywhere: exit 1, 4 tries
    change c1, based on revision 7
    pollenctl: nothing was changed:
      http://FIRST: 503 Service Unavailable no quorum
      http://SECOND: 503 Service Unavailable no quorum
      http://FIRST: 503 Service Unavailable no quorum
      http://SECOND: 503 Service Unavailable no quorum

    == keepers did not answer: exit 4, 4 tries
    change c1, based on revision 7
    pollenctl: the outcome of change c1 is unknown:
      http://FIRST: 504 Gateway Timeout no answer of the keepers
      http://SECOND: 503 Service Unavailable no quorum
      http://FIRST: 504 Gateway Timeout no answer of the keepers
      http://SECOND: 503 Service Unavailable no quorum
    it may be in force; resend it with --change-id c1 --based-on 7, which is safe at any time

    == a proxy's words prove nothing: exit 4, 4 tries
    change c1, based on revision 7
    pollenctl: the outcome of change c1 is unknown:
      http://FIRST: 502 Bad Gateway
      http://SECOND: 503 Service Unavailable no quorum
      http://FIRST: 502 Bad Gateway
      http://SECOND: 503 Service Unavailable no quorum
    it may be in force; resend it with --change-id c1 --based-on 7, which is safe at any time

    == an error without proof: exit 4, 4 tries
    change c1, based on revision 7
    pollenctl: the outcome of change c1 is unknown:
      http://FIRST: 500 Internal Server Error
      http://SECOND: no whole answer: connection closed before message completed
      http://FIRST: 500 Internal Server Error
      http://SECOND: no whole answer: connection closed before message completed
    it may be in force; resend it with --change-id c1 --based-on 7, which is safe at any time

    == no token: exit 1, 1 tries
    change c1, based on revision 7
    pollenctl: 401 Unauthorized no such token

    == answer lost, then no token: exit 4, 2 tries
    change c1, based on revision 7
    pollenctl: the outcome of change c1 is unknown:
    401 Unauthorized no such token
    it may be in force; resend it with --change-id c1 --based-on 7, which is safe at any time

    == conflict: exit 3, 1 tries
    change c1, based on revision 7
    pollenctl: nothing was changed: based on revision 7, but 9 is in force; yours against it: ~ selector s
    get revision 9, make the change again and apply it

    == conflict after a lost answer: exit 3, 2 tries
    change c1, based on revision 7
    pollenctl: nothing was changed: based on revision 7, but 9 is in force; yours against it: ~ selector s
    get revision 9, make the change again and apply it

    == refused: exit 2, 1 tries
    change c1, based on revision 7
    pollenctl: c:1:7: error: m (accepted: e)

    == change id reused: exit 2, 1 tries
    change c1, based on revision 7
    pollenctl: the change id stands for another change; leave --change-id out to draw a new one
    "#);
}

/// A daemon that refuses the connection never saw the change, and a drawn id is never drawn again.
#[tokio::test]
async fn nothing_reached_is_nothing_changed() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unused.local_addr().unwrap().to_string();
    drop(unused);
    let file = TestFile::new("unreached.yaml", "# revision: 0\n");
    let mut ids = Vec::new();
    for _ in 0..2 {
        let ran = pollenctl(&["--servers", &address, "apply", &file.path]).await;
        assert_eq!(ran.exit, 1, "{}", ran.notes);
        assert!(ran.notes.contains("nothing was changed"), "{}", ran.notes);
        ids.push(ran.notes.lines().next().unwrap().to_owned());
    }
    assert_ne!(ids[0], ids[1]);
}

/// Input that can't be meant is refused before any daemon is asked.
#[tokio::test]
async fn bad_input_is_refused_before_it_is_sent() {
    let bad = TestFile::new(
        "bad.yaml",
        "# revision: 7\nkind: selector\nname: s\n---\nkind: x\n",
    );
    let unmarked = TestFile::new("unmarked.yaml", "kind: selector\nname: s\nmodel: m\n");
    let missing = "no-such-file.yaml";
    let server = ["--servers", "127.0.0.1:9"];
    let commands = [
        vec!["check", &bad.path],
        vec!["check", &unmarked.path],
        vec!["apply", &bad.path],
        vec!["apply", &unmarked.path],
        vec!["check", missing],
        vec!["in-force", "--at", "yesterday"],
        vec!["explain", "--customer", "c"],
        vec![
            "explain",
            "--customer",
            "c",
            "--model",
            "m",
            "--attribute",
            "x",
        ],
        vec!["evidence", "verify", missing],
    ];
    let mut report = String::new();
    for command in commands {
        let ran = pollenctl(&[&server[..], &command[..]].concat()).await;
        let words = command
            .join(" ")
            .replace(&bad.path, "BAD")
            .replace(&unmarked.path, "UNMARKED");
        let notes = ran
            .notes
            .replace(&bad.path, "BAD")
            .replace(&unmarked.path, "UNMARKED");
        let _ = writeln!(report, "== {words}: exit {}\n{}{notes}", ran.exit, ran.out);
    }
    let ran = pollenctl(&["status"]).await;
    let _ = writeln!(
        report,
        "== without --servers: exit {}\n{}",
        ran.exit, ran.notes
    );
    insta::assert_snapshot!(report, @r#"
    == check BAD: exit 2
    pollenctl: BAD:2:1: error: the selector serves nothing (accepted: one of model and service)
    BAD:5:7: error: there is no kind x (accepted: kind: labels, kind: selector or kind: source)

    == check UNMARKED: exit 0
    good: 1 selectors, 0 label rules

    == apply BAD: exit 2
    pollenctl: BAD:2:1: error: the selector serves nothing (accepted: one of model and service)
    BAD:5:7: error: there is no kind x (accepted: kind: labels, kind: selector or kind: source)

    == apply UNMARKED: exit 2
    pollenctl: UNMARKED does not say which revision it was made from; make it with `pollenctl get`, or give --based-on (0 for the first change)

    == check no-such-file.yaml: exit 2
    pollenctl: no-such-file.yaml: No such file or directory (os error 2)

    == in-force --at yesterday: exit 2
    pollenctl: yesterday is no time; 2026-03-01T23:15:00Z or milliseconds since 1970 would be

    == explain --customer c: exit 2
    pollenctl: give one of --model and --service

    == explain --customer c --model m --attribute x: exit 2
    pollenctl: x is no attribute; KEY=VALUE is

    == evidence verify no-such-file.yaml: exit 2
    pollenctl: no-such-file.yaml: No such file or directory (os error 2)

    == without --servers: exit 2
    pollenctl: no daemon is named: give --servers HOST:PORT,... or set POLLENCTL_SERVERS
    "#);
}
