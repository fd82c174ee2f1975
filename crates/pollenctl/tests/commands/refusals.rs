//! Output of `refusal`.

use std::fmt::Write;

use pollendrift_coordination::limits::{
    HostRefusals, RefusalAnswer, RefusalInputs, RefusalView, RequestPriority,
};

use crate::support::{ScriptedDaemon, ScriptedReply, pollenctl};

fn refusal() -> RefusalView {
    RefusalView {
        request: "d-1".into(),
        service: "writers".into(),
        customer: Some("plant-inn".into()),
        priority: RequestPriority::Urgent,
        is_return: false,
        tokens: 980,
        reason: "deadline cannot be met".to_owned(),
        refused_ms_ago: 3_100,
        waited_ms: 410,
        retry_after_ms: 720,
        capacity_tokens: Some(7_200),
        held_tokens: 6_900,
        inputs: Some(RefusalInputs {
            total_tokens: 90_000,
            free_tokens: -400,
            share: 0.0163,
            age_ms: 640,
        }),
    }
}

fn host(name: &str, refusals: Vec<RefusalView>, failure: Option<&str>) -> HostRefusals {
    HostRefusals {
        host: name.into(),
        refusals,
        failure: failure.map(str::to_owned),
    }
}

// Guards against a record that is printed incompletely, a host that can't be reached and is not
// named, and a draft that nobody knows of but that ends with exit code 0.
#[tokio::test]
async fn a_refusal_is_shown_with_the_hosts_that_did_not_answer() {
    let returned = RefusalView {
        is_return: true,
        customer: None,
        capacity_tokens: None,
        inputs: None,
        ..refusal()
    };
    let cases = [
        (
            vec![
                host("e1", vec![refusal()], None),
                host("e2", Vec::new(), Some("link down")),
                host("e3", vec![returned], None),
            ],
            true,
        ),
        (
            vec![
                host("e1", Vec::new(), None),
                host("e2", Vec::new(), Some("link down")),
            ],
            true,
        ),
        (vec![host("e1", Vec::new(), None)], false),
    ];
    let mut report = String::new();
    for (hosts, is_complete) in cases {
        let answer = RefusalAnswer { hosts, is_complete };
        let answer = serde_json::to_string(&answer).unwrap();
        let daemon = ScriptedDaemon::start(vec![ScriptedReply::Answer(200, answer)]).await;
        let address = daemon.address.to_string();
        let result = pollenctl(&["--servers", &address, "refusal", "d-1"]).await;
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
    == exit 0, asked: GET /operator/v1/refusals/d-1
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

    == exit 1, asked: GET /operator/v1/refusals/d-1
    warning: e2 is not reached: link down
    pollenctl: none of the 1 hosts that answered knows a refusal of d-1

    == exit 1, asked: GET /operator/v1/refusals/d-1
    warning: no keeper is reached; there are hosts that were not asked
    pollenctl: none of the 1 hosts that answered knows a refusal of d-1
    "#);
}
