//! Tests that streams resume at another entry.

use std::net::SocketAddr;
use std::time::Duration;

use pollendrift_coordination::base::{HostName, RequestId, Revision};
use pollendrift_coordination::streams::rank_hosts;
use pollendrift_standins::caller::{DraftCaller, DraftParameters};
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, HostBuilder, loopback};
use pollendrift_standins::slow_link::SlowLink;
use pollendrift_standins::token::{StandInWeights, expected_answer};

use crate::support::HostGroup;

const PROMPT: &str = "isolation list for boiler two";
const TOKENS: u32 = 40;

pub(crate) async fn engines(group: &HostGroup, shape: &ModelShape) -> Vec<EngineServer> {
    let mut engines = Vec::new();
    for (index, offer) in mixed_engines(shape, 4).into_iter().enumerate() {
        let settings = EngineSettings {
            server: format!("engine-{index}"),
            offer,
        };
        let mut engine = EngineServer::start(settings, loopback()).await.unwrap();
        engine.announce(group.entries(), 1, "dc-a");
        engines.push(engine);
    }
    group.wait_servers(engines.len()).await;
    engines
}

pub(crate) fn caller(group: &HostGroup, index: usize) -> DraftCaller {
    DraftCaller::new(&group.entry(index), CUSTOMER_TOKEN)
}

// Guards against gaps and duplicates in a stream whose entry crashes. The caller resumes it at each
// other entry with its request id and last position. The entry sent each token to another host
// before the caller received it. A different draft with the same id and an unknown position are
// refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_at_another_entry_when_its_entry_crashes() {
    let shape = ModelShape::default();
    let weights = StandInWeights::new(&shape.model, &shape.version, None, shape.layers);
    let expected = expected_answer(&weights, PROMPT, TOKENS);
    let mut group = HostGroup::start(4, 3).await;
    let _engines = engines(&group, &shape).await;
    let mut seen = Vec::new();
    for other in [0, 1, 2] {
        let id = format!("draft-{other}");
        let parameters = DraftParameters {
            model: &shape.model,
            prompt: PROMPT,
            max_tokens: TOKENS,
            id: Some(&id),
            last_position: None,
        };
        let mut token_count = 0;
        let first_caller = caller(&group, 3);
        let first = {
            let group = &mut group;
            first_caller
                .stream(&parameters, |_| {
                    token_count += 1;
                    if token_count == 9 {
                        group.crash(3);
                    }
                })
                .await
                .unwrap()
        };
        let last_position = first.positions.last().copied();
        let rest = caller(&group, other)
            .stream(
                &DraftParameters {
                    last_position,
                    ..parameters
                },
                |_| {},
            )
            .await
            .unwrap();
        let resumed = rest.texts.len();
        let cut = first.is_interrupted();
        let mut answer = first;
        answer.append_resumed(rest, Duration::ZERO);
        let result = answer.check(&expected);
        seen.push(format!(
            "entry {other}: cut {}, went on {}, {result:?}",
            cut,
            resumed > 0
        ));
        let foreign = DraftParameters {
            prompt: "another draft",
            last_position,
            ..parameters
        };
        let beyond = DraftParameters {
            last_position: Some(30_000),
            ..parameters
        };
        for (name, parameters) in [("foreign", foreign), ("beyond", beyond)] {
            let refusal = caller(&group, other)
                .stream(&parameters, |_| {})
                .await
                .unwrap()
                .refusal
                .unwrap();
            seen.push(format!(
                "entry {other}, {name}: {} {}",
                refusal.status, refusal.outcome
            ));
        }
        group.restart(3).await;
        group
            .wait_revision(3, pollendrift_coordination::base::Revision(1))
            .await;
        group.wait_servers(4).await;
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    entry 0: cut true, went on true, Ok(())
    entry 0, foreign: 409 unknown
    entry 0, beyond: 409 unknown
    entry 1: cut true, went on true, Ok(())
    entry 1, foreign: 409 unknown
    entry 1, beyond: 409 unknown
    entry 2: cut true, went on true, Ok(())
    entry 2, foreign: 409 unknown
    entry 2, beyond: 409 unknown
    ");
}

/// Time by which the slow link delays what an entry sends to its peers.
const LINK_DELAY: Duration = Duration::from_millis(150);

/// Streams a draft through host 3, which crashes at the ninth token, and resumes it through host 0.
async fn crash_and_resume(group: &mut HostGroup, shape: &ModelShape, id: &str) -> String {
    let weights = StandInWeights::new(&shape.model, &shape.version, None, shape.layers);
    let parameters = DraftParameters {
        model: &shape.model,
        prompt: PROMPT,
        max_tokens: TOKENS,
        id: Some(id),
        last_position: None,
    };
    let first_caller = caller(group, 3);
    let mut token_count = 0;
    let mut answer = first_caller
        .stream(&parameters, |_| {
            token_count += 1;
            if token_count == 9 {
                group.crash(3);
            }
        })
        .await
        .unwrap();
    let last_position = answer.positions.last().copied();
    let resumed = DraftParameters {
        last_position,
        ..parameters
    };
    let rest = caller(group, 0).stream(&resumed, |_| {}).await.unwrap();
    let refusal = rest.refusal.as_ref().map(|refusal| refusal.status);
    answer.append_resumed(rest, Duration::ZERO);
    let result = answer.check(&expected_answer(&weights, PROMPT, TOKENS));
    format!("refused {refusal:?}, {result:?}")
}

// Guards against a caller that holds tokens which no other host has, and therefore can't resume its
// stream: the entry crashes while the copies are still on a slow link.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_gets_no_token_before_its_copy_is_stored() {
    let shape = ModelShape::default();
    let mut group = HostGroup::stopped(4, 3);
    let peers: Vec<SocketAddr> = group
        .builder
        .hosts()
        .iter()
        .map(|host| host.peers)
        .collect();
    let mut links = Vec::new();
    for address in &peers[..3] {
        let link = SlowLink::start(*address, LINK_DELAY).await.unwrap();
        group.replace_settings(3, &address.to_string(), &link.address().to_string());
        links.push(link);
    }
    let mut group = group.start_all().await;
    let _engines = engines(&group, &shape).await;
    let result = crash_and_resume(&mut group, &shape, "draft-slow").await;
    assert_eq!(result, "refused None, Ok(())");
}

// Guards against a stream that can't be resumed because the host with its copy failed before its
// entry did. The entry copies the complete answer to another host, and the caller sees no error.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_the_host_with_its_copy_and_then_its_entry() {
    let shape = ModelShape::default();
    let mut group = HostGroup::start(4, 3).await;
    let _engines = engines(&group, &shape).await;
    let names: Vec<HostName> = (0..4)
        .map(|index| HostBuilder::name(index).into())
        .collect();
    let id = (0..).map(|number| format!("draft-{number}")).find(|id| {
        let request = RequestId::from(id.as_str());
        // Its copy is stored by a host that neither crashes later nor resumes the stream.
        rank_hosts(&request, &names)[0] == &names[1]
    });
    let id = id.unwrap();
    group.crash(1);
    let result = crash_and_resume(&mut group, &shape, &id).await;
    assert_eq!(result, "refused None, Ok(())");
    group.restart(1).await;
    group.wait_revision(1, Revision(1)).await;
}
