//! Output of `apply` when daemons answer, refuse, are unreachable or close the connection.

use std::fmt::Write;

use crate::support::{ScriptedDaemon, ScriptedReply, TestFile, pollenctl};

const ACCEPTED: &str = r#"{"outcome":"accepted","revision":8,"warnings":[]}"#;
const CONFLICT: &str = r#"{"outcome":"conflict","conflict":{"based_on":7,"current":9,"winner":null,
    "difference":{"added":[],"removed":[],"changed":[{"selector":"s"}],"unnamed":0}}}"#;
const REFUSED: &str = r#"{"outcome":"refused","findings":[{"severity":"error",
    "place":{"file":"c","line":1,"column":7},"message":"m","expected":"e"}]}"#;
const REUSED: &str = r#"{"outcome":"change-id-reused"}"#;
const NOT_RUN: &str = r#"{"title":"no quorum","detail":"","outcome":"not-run"}"#;
const UNKNOWN: &str = r#"{"title":"no answer of the keepers","detail":"","outcome":"unknown"}"#;
const NO_TOKEN: &str = r#"{"title":"no such token","detail":"","outcome":"not-run"}"#;

fn answers(status: u16, body: &str) -> ScriptedReply {
    ScriptedReply::Answer(status, body.to_owned())
}

// Guards against a wrong outcome report after a lost answer: a change that took effect would be
// reported as failed, or resent under other bytes and applied twice. Two daemons follow one script
// each over two rounds; the outcome is unknown if any attempt may have run without a final answer.
#[tokio::test]
async fn apply_reports_whether_the_change_took_effect() {
    use ScriptedReply::CloseConnection;
    let cases: Vec<(&str, Vec<ScriptedReply>, Vec<ScriptedReply>)> = vec![
        (
            "accepted",
            vec![answers(200, ACCEPTED)],
            vec![CloseConnection],
        ),
        (
            "answer lost, accepted by the resend",
            vec![CloseConnection],
            vec![answers(200, ACCEPTED)],
        ),
        (
            "draining, accepted by the next",
            vec![answers(503, NOT_RUN)],
            vec![answers(200, ACCEPTED)],
        ),
        (
            "all answers lost",
            vec![CloseConnection],
            vec![CloseConnection],
        ),
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
        (
            "an error without proof",
            vec![answers(500, "")],
            vec![CloseConnection],
        ),
        (
            "no token",
            vec![answers(401, NO_TOKEN)],
            vec![CloseConnection],
        ),
        (
            "answer lost, then no token",
            vec![CloseConnection],
            vec![answers(401, NO_TOKEN)],
        ),
        (
            "conflict",
            vec![answers(409, CONFLICT)],
            vec![CloseConnection],
        ),
        (
            "conflict after a lost answer",
            vec![CloseConnection],
            vec![answers(409, CONFLICT)],
        ),
        (
            "refused",
            vec![answers(422, REFUSED)],
            vec![CloseConnection],
        ),
        (
            "change id reused",
            vec![answers(409, REUSED)],
            vec![CloseConnection],
        ),
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
        let result = pollenctl(&[
            "--servers",
            &servers,
            "apply",
            "--change-id",
            "c1",
            &file.path,
        ])
        .await;
        let requests: Vec<String> = daemons.iter().flat_map(ScriptedDaemon::requests).collect();
        assert!(
            requests.iter().all(|request| *request == requests[0]),
            "{name}: {requests:?}"
        );
        let notes = result
            .notes
            .replace(&daemons[0].address.to_string(), "FIRST");
        let notes = notes.replace(&daemons[1].address.to_string(), "SECOND");
        let _ = writeln!(
            report,
            "== {name}: exit {}, {} tries\n{}{notes}",
            result.exit,
            requests.len(),
            result.out
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
    pollenctl: the change id belongs to another change; omit --change-id to generate a new one
    "#);
}

// Guards against reporting an unknown outcome if no daemon accepts a connection, and against
// generating the same change id for two changes.
#[tokio::test]
async fn apply_reports_no_change_if_no_daemon_is_reachable() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unused.local_addr().unwrap().to_string();
    drop(unused);
    let file = TestFile::new("unreached.yaml", "# revision: 0\n");
    let mut ids = Vec::new();
    for _ in 0..2 {
        let result = pollenctl(&["--servers", &address, "apply", &file.path]).await;
        assert_eq!(result.exit, 1, "{}", result.notes);
        assert!(
            result.notes.contains("nothing was changed"),
            "{}",
            result.notes
        );
        ids.push(result.notes.lines().next().unwrap().to_owned());
    }
    assert_ne!(ids[0], ids[1]);
}

// Guards against sending invalid input to a daemon instead of refusing it locally with exit code 2.
#[tokio::test]
async fn invalid_input_is_refused_before_it_is_sent() {
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
        let result = pollenctl(&[&server[..], &command[..]].concat()).await;
        let arguments = command
            .join(" ")
            .replace(&bad.path, "BAD")
            .replace(&unmarked.path, "UNMARKED");
        let notes = result
            .notes
            .replace(&bad.path, "BAD")
            .replace(&unmarked.path, "UNMARKED");
        let _ = writeln!(
            report,
            "== {arguments}: exit {}\n{}{notes}",
            result.exit, result.out
        );
    }
    let result = pollenctl(&["status"]).await;
    let _ = writeln!(
        report,
        "== without --servers: exit {}\n{}",
        result.exit, result.notes
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
    pollenctl: invalid time yesterday: expected 2026-03-01T23:15:00Z or milliseconds since 1970

    == explain --customer c: exit 2
    pollenctl: give one of --model and --service

    == explain --customer c --model m --attribute x: exit 2
    pollenctl: invalid attribute x: expected KEY=VALUE

    == evidence verify no-such-file.yaml: exit 2
    pollenctl: no-such-file.yaml: No such file or directory (os error 2)

    == without --servers: exit 2
    pollenctl: no daemon address is given: use --servers HOST:PORT,... or set POLLENCTL_SERVERS
    "#);
}
