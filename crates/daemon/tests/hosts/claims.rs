//! Calls that must run at most once, resent through other entries and over failures.

use pollendrift_standins::harness::{CUSTOMER_TOKEN, loopback};
use pollendrift_standins::load::{CallOutcome, ServiceCaller};
use pollendrift_standins::service::PlainService;

use crate::support::HostGroup;

async fn portal(group: &HostGroup) -> PlainService {
    let mut service = PlainService::start("portal-1", "portal", loopback())
        .await
        .unwrap();
    service.announce(group.entries(), 1, "dc-a");
    group.wait_servers(1).await;
    service
}

fn caller(group: &HostGroup, index: usize) -> ServiceCaller {
    ServiceCaller::new(&group.entry(index), CUSTOMER_TOKEN)
}

/// What a caller was told, without the words that differ between runs.
fn told(outcome: &CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Answered(_) => "answered",
        CallOutcome::NotRun(_) | CallOutcome::NotSent(_) => "not run",
        CallOutcome::Broken(_) | CallOutcome::Unknown(_) => "unknown",
    }
}

// The caller loses the answer and resends its key through another entry, as the balancer does. The
// first arrival claimed the key before its first byte, so the second gets the stored answer. The
// same key with another body is refused, and what was refused did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_whatever_entry_it_comes_to() {
    let group = HostGroup::start(4, 3).await;
    let service = portal(&group).await;
    let mut seen = Vec::new();
    let mut answers = Vec::new();
    for (entry, body) in [(0, "a"), (1, "a"), (3, "a"), (2, "other")] {
        let outcome = caller(&group, entry)
            .post("portal", "filings", "key-1", body)
            .await;
        seen.push(format!("entry {entry}, body {body}: {}", told(&outcome)));
        if let CallOutcome::Answered(answer) = outcome {
            answers.push(answer);
        }
    }
    answers.dedup();
    seen.push(format!("different answers: {}", answers.len()));
    seen.push(format!("runs: {:?}", service.runs()));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    entry 0, body a: answered
    entry 1, body a: answered
    entry 3, body a: answered
    entry 2, body other: not run
    different answers: 1
    runs: {"key-1": 1}
    "#);
}

// The caller is told `unknown`, and stays told so: the backend server ran the call and its link
// broke before the answer. Nobody can know more, so no resend may run the call again.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_unknown_and_never_run_again() {
    let group = HostGroup::start(3, 3).await;
    let service = portal(&group).await;
    service.cut_before_answer(true);
    let mut seen = Vec::new();
    for entry in [0, 1] {
        let outcome = caller(&group, entry)
            .post("portal", "filings", "key-2", "a")
            .await;
        seen.push(format!("cut, entry {entry}: {}", told(&outcome)));
    }
    service.cut_before_answer(false);
    let outcome = caller(&group, 2)
        .post("portal", "filings", "key-2", "a")
        .await;
    seen.push(format!("healed, entry 2: {}", told(&outcome)));
    seen.push(format!("runs: {:?}", service.runs()));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    cut, entry 0: unknown
    cut, entry 1: unknown
    healed, entry 2: unknown
    runs: {"key-2": 1}
    "#);
}

// The entry dies between the send and the answer. Its caller sees a broken connection and resends
// through another entry. The claim is in the replicated state, and when the dead host starts
// again, its new life ends what the old one held: the resend is told `unknown`, not run again.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_dies_between_send_and_answer_leaves_its_claim() {
    let mut group = HostGroup::start(4, 3).await;
    let service = portal(&group).await;
    service.set_delay(std::time::Duration::from_secs(3_600));
    let first = caller(&group, 3);
    let sent = tokio::spawn(async move { first.post("portal", "filings", "key-3", "a").await });
    crate::support::wait_until(|| service.runs().contains_key("key-3")).await;
    group.crash(3);
    let mut seen = vec![format!("entry 3 dies: {}", told(&sent.await.unwrap()))];
    service.set_delay(std::time::Duration::ZERO);
    let outcome = caller(&group, 1)
        .post("portal", "filings", "key-3", "a")
        .await;
    seen.push(format!("entry 1: {}", told(&outcome)));
    group.restart(3).await;
    group
        .wait_revision(3, pollendrift_coordination::base::Revision(1))
        .await;
    let outcome = caller(&group, 2)
        .post("portal", "filings", "key-3", "a")
        .await;
    seen.push(format!("entry 2 after the restart: {}", told(&outcome)));
    seen.push(format!("runs: {:?}", service.runs()));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    entry 3 dies: unknown
    entry 1: unknown
    entry 2 after the restart: unknown
    runs: {"key-3": 1}
    "#);
}

// The caller is told `not run`, and may resend: the keepers' quorum is gone before the claim, so
// nothing was sent. With the quorum back, the same key runs, once.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_nothing_is_sent() {
    let mut group = HostGroup::start(4, 3).await;
    let service = portal(&group).await;
    group.crash(0);
    group.crash(1);
    let outcome = caller(&group, 3)
        .post("portal", "filings", "key-4", "a")
        .await;
    let mut seen = vec![format!(
        "quorum lost: {}, runs {:?}",
        told(&outcome),
        service.runs()
    )];
    group.restart(0).await;
    group
        .wait_revision(0, pollendrift_coordination::base::Revision(1))
        .await;
    group
        .wait_revision(3, pollendrift_coordination::base::Revision(1))
        .await;
    let outcome = caller(&group, 3)
        .post("portal", "filings", "key-4", "a")
        .await;
    seen.push(format!(
        "quorum back: {}, runs {:?}",
        told(&outcome),
        service.runs()
    ));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    quorum lost: not run, runs {}
    quorum back: answered, runs {"key-4": 1}
    "#);
}
