//! Output of the read-only commands.

use std::fmt::Write;

use crate::support::{ScriptedDaemon, ScriptedReply, TestFile, pollenctl};
use pollendrift_coordination::base::{Revision, WallTime};
use pollendrift_coordination::configuration::{
    ChangeLog, ChangeRequest, ChangeRetention, ConfigurationView, DaemonRevision, ExplainBody,
    ExplainView, HistoryView, InForceView,
};
use pollendrift_coordination::replicated::ReplicatedTime;
use serde_json::{Value, json};

fn log_with_two_changes() -> ChangeLog {
    let mut log = ChangeLog::new(ChangeRetention::default());
    for number in 0..2 {
        let text = format!(
            "# made by hand\nkind: selector\nname: s\nmodel: m\norder: {number}\nfor:\n  matchLabels: {{customer/name: c}}\n"
        );
        let request = ChangeRequest {
            change_id: format!("c{number}").into(),
            based_on: Revision(number),
            operator: "anna".into(),
            text: text.into(),
        };
        log.decide(
            &request,
            WallTime(1_000 * number),
            ReplicatedTime::default(),
        );
    }
    log
}

fn answer_of<T>(value: &T) -> Vec<ScriptedReply>
where
    T: serde::Serialize,
{
    vec![ScriptedReply::Answer(
        200,
        serde_json::to_string(value).unwrap(),
    )]
}

fn refusals() -> Value {
    let refusal = json!({
        "request": "d-1", "service": "writers", "customer": "plant-inn", "priority": "urgent",
        "is_return": false, "tokens": 980, "reason": "deadline cannot be met",
        "refused_ms_ago": 3_100, "waited_ms": 410, "retry_after_ms": 720, "capacity_tokens": 7_200,
        "held_tokens": 6_900, "inputs": {"total_tokens": 90_000, "free_tokens": -400,
                                         "share": 0.0163, "age_ms": 640}
    });
    let mut returned = refusal.clone();
    returned["is_return"] = json!(true);
    for absent in ["customer", "capacity_tokens", "inputs"] {
        returned[absent] = Value::Null;
    }
    json!({"is_complete": true, "hosts": [
        {"host": "e1", "refusals": [refusal], "failure": null},
        {"host": "e2", "refusals": [], "failure": "link down"},
        {"host": "e3", "refusals": [returned], "failure": null}]})
}

fn admission() -> Value {
    let counts = |number: u64| json!({"admitted": number, "admitted_after_wait": number / 4, "waiting": 2, "refused": 11});
    let mut busy = json!({
        "capacity_tokens": 7_200, "held_tokens": 6_900, "inputs": {"total": 90_000, "free": -400},
        "report_age_ms": 640, "promised_returns": 12, "most_refused": [],
        "counts": {"urgent": counts(1_234), "normal": counts(560), "batch": counts(0)}
    });
    let mut idle = busy.clone();
    for absent in ["capacity_tokens", "inputs", "report_age_ms"] {
        idle[absent] = Value::Null;
    }
    for customer in ["plant-inn", ""] {
        let counts = json!({"customer": customer, "in_flight": 3, "waiting": 1, "admitted": 200,
                            "refused": 300});
        busy["most_refused"].as_array_mut().unwrap().push(counts);
    }
    json!({"admission": {"writers": busy, "readers": idle}, "demand_shares":
        [{"service": "writers", "known_hosts": 62, "hosts": 63, "share": 0.0163}]})
}

// Guards against a wrong path, query or body in the request of a read-only command, and against
// an answer that is printed incompletely or with a wrong exit code.
#[tokio::test]
async fn read_only_commands_send_the_right_request_and_print_readable_output() {
    let mut log = log_with_two_changes();
    let body = ExplainBody {
        customer: "d".into(),
        model: Some("m".into()),
        ..ExplainBody::default()
    };
    let explained = ExplainView::of(&log.build().unwrap(), &body.facts().unwrap());
    let daemons = InForceView {
        at: None,
        daemons: vec![
            DaemonRevision {
                host: "h1".into(),
                revision: Some(Revision(2)),
                heard_ms_ago: Some(40),
            },
            DaemonRevision {
                host: "h2".into(),
                revision: None,
                heard_ms_ago: None,
            },
        ],
    };
    let same = TestFile::new("same.yaml", &log.canonical().text());
    let other = TestFile::new(
        "other.yaml",
        "kind: selector\nname: s\nmodel: m\norder: 5\n---\nkind: selector\nname: t\nservice: p\n",
    );
    let mut cases: Vec<(Vec<&str>, Vec<ScriptedReply>)> = vec![
        (
            vec!["get"],
            answer_of(&ConfigurationView::of(&log, None).unwrap()),
        ),
        (
            vec!["get", "--revision", "1"],
            answer_of(&ConfigurationView::of(&log, Some(Revision(1))).unwrap()),
        ),
        (
            vec!["history", "--before", "9"],
            answer_of(&HistoryView::of(&log, None, 100)),
        ),
        (vec!["in-force"], answer_of(&daemons)),
        (
            vec!["in-force", "--at", "1970-01-01T00:00:00.5Z"],
            answer_of(&InForceView::at(&log, WallTime(500))),
        ),
        (
            vec!["in-force", "--at", "0"],
            answer_of(&InForceView::default()),
        ),
        (
            vec![
                "explain",
                "--customer",
                "d",
                "--model",
                "m",
                "--attribute",
                "header.x=1",
            ],
            answer_of(&explained),
        ),
        (
            vec!["diff", &same.path],
            answer_of(&ConfigurationView::of(&log, None).unwrap()),
        ),
        (
            vec!["diff", &other.path],
            answer_of(&ConfigurationView::of(&log, None).unwrap()),
        ),
        (vec!["status"], answer_of(&json!({"redundancy": "whole"}))),
        (
            vec!["dump"],
            vec![ScriptedReply::Answer(200, "not JSON".to_owned())],
        ),
        (
            vec![
                "evidence",
                "find",
                "--customer",
                "a&b",
                "--from",
                "1970-01-01T00:00:01Z",
            ],
            answer_of(&json!({"records": []})),
        ),
        (
            vec!["evidence", "show", "r/1"],
            answer_of(&json!({"records": []})),
        ),
        (
            vec!["get", "--revision", "99"],
            vec![ScriptedReply::Answer(
                404,
                r#"{"title":"not retained"}"#.to_owned(),
            )],
        ),
    ];
    for (command, answer) in [
        (["refusal", "d-1"], refusals()),
        (
            ["refusal", "d-2"],
            json!({"is_complete": false, "hosts": []}),
        ),
    ] {
        cases.push((command.to_vec(), answer_of(&answer)));
    }
    for answer in [admission(), json!({"admission": {}}), json!({})] {
        cases.push((vec!["admission"], answer_of(&answer)));
    }
    let mut report = String::new();
    for (command, script) in cases {
        let daemon = ScriptedDaemon::start(script).await;
        let address = daemon.address.to_string();
        let result = pollenctl(&[&["--servers", &address][..], &command[..]].concat()).await;
        let arguments = command
            .join(" ")
            .replace(&same.path, "SAME")
            .replace(&other.path, "OTHER");
        let requests = daemon.requests().join(" | ");
        let _ = writeln!(
            report,
            "== {arguments}: exit {}\nasked: {requests}\n{}{}",
            result.exit, result.out, result.notes
        );
    }
    insta::assert_snapshot!(report, @r#"
    == get: exit 0
    asked: GET /operator/v1/configuration 
    # revision: 2
    # made by hand
    kind: selector
    name: s
    model: m
    order: 1
    for:
      matchLabels: {customer/name: c}

    == get --revision 1: exit 0
    asked: GET /operator/v1/configuration?revision=1 
    # revision: 1
    kind: selector
    name: "s"
    order: 0
    model: "m"
    for:
      matchExpressions:
        - {key: "customer/name", operator: In, values: ["c"]}

    == history --before 9: exit 0
    asked: GET /operator/v1/history?limit=100&before=9 
    2 1970-01-01T00:00:01.000Z anna change c1: ~ selector s
    1 1970-01-01T00:00:00.000Z anna change c0: + selector s

    == in-force: exit 0
    asked: GET /operator/v1/in-force 
    h1 revision 2, heard of 40 ms ago
    h2 not heard of

    == in-force --at 1970-01-01T00:00:00.5Z: exit 0
    asked: GET /operator/v1/in-force?at=500 
    # revision: 1
    kind: selector
    name: "s"
    order: 0
    model: "m"
    for:
      matchExpressions:
        - {key: "customer/name", operator: In, values: ["c"]}
    revision 1, change c0 by anna at 1970-01-01T00:00:00.000Z

    == in-force --at 0: exit 1
    asked: GET /operator/v1/in-force?at=0 
    pollenctl: 1970-01-01T00:00:00.000Z is before the retained history

    == explain --customer d --model m --attribute header.x=1: exit 0
    asked: POST /operator/v1/explain {"customer":"d","model":"m","adapter":null,"service":null,"path":"","attributes":{"header.x":"1"}}
    revision 2: no selector serves it
      1 s: for needs customer/name In [c], but it is d

    == diff SAME: exit 0
    asked: GET /operator/v1/configuration 
    no difference from revision 2

    == diff OTHER: exit 5
    asked: GET /operator/v1/configuration 
    ~ selector s
        - order: 1
        - for:
        -   matchExpressions:
        -     - {key: "customer/name", operator: In, values: ["c"]}
        + order: 5
    + selector t
        + kind: selector
        + name: "t"
        + order: 100
        + service: "p"
    pollenctl: the file differs from revision 2

    == status: exit 0
    asked: GET /operator/v1/status 
    {
      "redundancy": "whole"
    }

    == dump: exit 1
    asked: GET /operator/v1/dump 
    pollenctl: the daemon's answer is not valid JSON of the expected form: expected ident at line 1 column 2

    == evidence find --customer a&b --from 1970-01-01T00:00:01Z: exit 0
    asked: GET /operator/v1/evidence?customer=a%26b&from=1000&limit=100 

    == evidence show r/1: exit 0
    asked: GET /operator/v1/evidence/requests/r%2F1 
    no record mentions request r/1

    == get --revision 99: exit 1
    asked: GET /operator/v1/configuration?revision=99 
    pollenctl: 404 Not Found not retained

    == refusal d-1: exit 0
    asked: GET /operator/v1/refusals/d-1 
    e1: refused 3100 ms ago: deadline cannot be met
      service writers, customer plant-inn, priority urgent, 980 tokens, a new caller
      refused 410 ms after its arrival, told to come back after 720 ms
      admitted drafts of the host held 6900 tokens of 7200
      engines: -400 of 90000 tokens free, share of the host 0.0163, reports 640 ms old
    e3: refused 3100 ms ago: deadline cannot be met
      service writers, customer unknown, priority urgent, 980 tokens, a returning caller
      refused 410 ms after its arrival, told to come back after 720 ms
      admitted drafts of the host held 6900 tokens without a limit
      engines: no report yet
    warning: e2 is not reached: link down

    == refusal d-2: exit 1
    asked: GET /operator/v1/refusals/d-2 
    warning: no keeper is reached; there are hosts that were not asked
    pollenctl: none of the 0 hosts that answered knows a refusal of d-2

    == admission: exit 0
    asked: GET /operator/v1/dump 
    service readers
      capacity: no limit
      held: 6900 tokens
      share: none
      free: none
      reports: none
      promised returns: 12
      priority  admitted  after wait  waiting  refused
      urgent        1234         308        2       11
      normal         560         140        2       11
      batch            0           0        2       11

    service writers
      capacity: 7200 tokens
      held: 6900 tokens
      share: 0.0163, 62 of 63 hosts known
      free: -400 of 90000 tokens
      reports: 640 ms old
      promised returns: 12
      priority  admitted  after wait  waiting  refused
      urgent        1234         308        2       11
      normal         560         140        2       11
      batch            0           0        2       11
      customer       admitted  waiting  running  refused
      plant-inn           200        1        3      300
      (without key)       200        1        3      300

    == admission: exit 0
    asked: GET /operator/v1/dump 
    no service has drafts of different priorities at this host

    == admission: exit 1
    asked: GET /operator/v1/dump 
    pollenctl: the dump has no part `admission`: the daemon does not relay
    "#);
}
