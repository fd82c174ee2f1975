//! Output of `admission`.

use std::fmt::Write;

use serde_json::{Value, json};

use crate::support::{ScriptedDaemon, ScriptedReply, pollenctl};

fn busy_service() -> Value {
    let customer = |name: &str, refused: u64| json!({"customer": name, "in_flight": 3, "waiting": 1, "admitted": 200, "refused": refused});
    let counts = |admitted: u64, waiting: u32, refused: u64| {
        json!({"admitted": admitted, "admitted_after_wait": admitted / 4, "waiting": waiting,
               "refused": refused})
    };
    json!({
        "requests": {"in_flight": 7, "queued": 3}, "capacity_tokens": 7_200, "held_tokens": 6_900,
        "inputs": {"total": 90_000, "free": -400, "share": 0.0163, "measured_at": 5},
        "report_age_ms": 640, "first_event_ms": 90, "promised_returns": 12,
        "counts": {"urgent": counts(1_234, 2, 11), "normal": counts(560, 1, 120),
                   "batch": counts(78, 0, 245)},
        "most_refused": [customer("plant-inn", 300), customer("", 76)]
    })
}

fn idle_service() -> Value {
    let none = json!({"admitted": 0, "admitted_after_wait": 0, "waiting": 0, "refused": 0});
    json!({
        "requests": {"in_flight": 0, "queued": 0}, "capacity_tokens": null, "held_tokens": 0,
        "inputs": null, "report_age_ms": null, "first_event_ms": 100, "promised_returns": 0,
        "counts": {"urgent": none, "normal": none, "batch": none}, "most_refused": []
    })
}

// Guards against a state that is printed incompletely, and against an operator's token that is sent
// to a platform address, which takes no credentials: the command would fail to read the missing file.
#[tokio::test]
async fn the_admission_of_each_service_is_a_table() {
    let shares = json!([{"service": "writers", "own_demand": 1_000.0, "known_demand": 60_000.0,
                         "known_hosts": 62, "hosts": 63, "share": 0.0163}]);
    let cases = [
        (
            json!({"admission": {"writers": busy_service(), "readers": idle_service()},
                   "demand_shares": shares}),
            false,
        ),
        (json!({"admission": {}, "demand_shares": []}), true),
        (json!({"fleet": {}}), false),
    ];
    let mut report = String::new();
    for (dump, at_platform) in cases {
        let daemon = ScriptedDaemon::start(vec![ScriptedReply::Answer(200, dump.to_string())]);
        let daemon = daemon.await;
        let address = daemon.address.to_string();
        let arguments = if at_platform {
            vec![
                "--token-file",
                "missing",
                "admission",
                "--platform",
                &address,
            ]
        } else {
            vec!["--servers", &address, "admission"]
        };
        let result = pollenctl(&arguments).await;
        let requests = daemon.requests().join(" | ");
        let _ = writeln!(
            report,
            "== exit {}, asked: {}\n{}{}",
            result.exit,
            requests.trim_end(),
            result.out,
            result.notes
        );
    }
    insta::assert_snapshot!(report, @r#"
    == exit 0, asked: GET /operator/v1/dump
    service readers
      capacity: no limit
      held: 0 tokens
      share: none
      free: none
      reports: none
      promised returns: 0
      priority  admitted  after wait  waiting  refused
      urgent           0           0        0        0
      normal           0           0        0        0
      batch            0           0        0        0

    service writers
      capacity: 7200 tokens
      held: 6900 tokens
      share: 0.0163, 62 of 63 hosts known
      free: -400 of 90000 tokens
      reports: 640 ms old
      promised returns: 12
      priority  admitted  after wait  waiting  refused
      urgent        1234         308        2       11
      normal         560         140        1      120
      batch           78          19        0      245
      customer       admitted  waiting  running  refused
      plant-inn           200        1        3      300
      (without key)       200        1        3       76

    == exit 0, asked: GET /dump
    no service has drafts of different priorities at this host

    == exit 1, asked: GET /operator/v1/dump
    pollenctl: the dump has no part `admission`: the daemon does not relay
    "#);
}
