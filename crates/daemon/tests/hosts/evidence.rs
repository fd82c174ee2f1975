//! Tests that evidence agrees with the responses that callers received, early refusals included.

use std::time::Duration;

use http::header;
use pollendrift_http::HttpClient;
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, OPERATOR_TOKEN, loopback};
use pollendrift_standins::load::{LoadPlan, SentRequest, compare_with_evidence, run_load};
use pollendrift_standins::service::PlainService;

use crate::support::HostGroup;

fn plan(group: &HostGroup, run: &str) -> LoadPlan {
    LoadPlan {
        entries: group.entries(),
        token: CUSTOMER_TOKEN.to_owned(),
        draft_callers: 6,
        service_callers: 2,
        duration: Duration::from_millis(600),
        max_tokens: 8,
        prompt_words: 4,
        shape: ModelShape::default(),
        seed: 11,
        id_prefix: run.to_owned(),
    }
}

async fn engines(group: &HostGroup) -> Vec<EngineServer> {
    let mut engines = Vec::new();
    for (index, offer) in mixed_engines(&ModelShape::default(), 8)
        .into_iter()
        .enumerate()
    {
        let server = format!("engine-{index}");
        let mut engine = EngineServer::start(EngineSettings { server, offer }, loopback())
            .await
            .unwrap();
        engine.announce(group.entries(), 1, "dc-a");
        engines.push(engine);
    }
    engines
}

async fn export(group: &HostGroup, index: usize) -> String {
    let client = HttpClient::new(64 << 20);
    let url = format!("http://{}/operator/v1/evidence/export", group.entry(index));
    let request = http::Request::get(url)
        .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
        .body(Default::default())
        .unwrap();
    let response = client.send(request).await.unwrap();
    let body = client.read(response).await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

/// Numbers of requests that are missing or wrong in one host's export, which is made immediately.
async fn evidence_errors(group: &HostGroup, sent: &[SentRequest], host: usize) -> (usize, usize) {
    let report = compare_with_evidence(sent, &export(group, host).await).unwrap();
    (report.missing.len(), report.contradicted.len())
}

// Guards against responses that are missing from the evidence. One entry, not a keeper, crashes
// under load and restarts; it refuses requests until it has an incarnation. A caller gets an end or
// a refusal only after the keepers have stored its record.
#[tokio::test(flavor = "multi_thread")]
async fn evidence_agrees_with_callers_when_an_entry_crashes() {
    let mut group = HostGroup::start(4, 3).await;
    let _engines = engines(&group).await;
    let mut service = PlainService::start("portal-1", "portal", loopback())
        .await
        .unwrap();
    service.announce(group.entries(), 1, "dc-a");
    group.wait_servers(9).await;
    let first = tokio::spawn({
        let plan = plan(&group, "first");
        async move { run_load(&plan).await }
    });
    tokio::task::yield_now().await;
    group.crash(3);
    let mut sent = first.await.unwrap().sent;
    group.restart(3).await;
    sent.extend(run_load(&plan(&group, "second")).await.sent);
    let answered = sent.iter().filter(|request| request.received > 0).count();
    assert!(
        answered > 20,
        "{answered} requests got an answer, expected more than 20"
    );
    for host in 0..4 {
        assert_eq!(
            evidence_errors(&group, &sent, host).await,
            (0, 0),
            "host {host}"
        );
    }
}
