//! Tests that calls with an idempotency key run at most once when resent through other entries.

use pollendrift_coordination::base::Revision;
use pollendrift_standins::harness::{CUSTOMER_TOKEN, loopback};
use pollendrift_standins::load::{CallOutcome, ServiceCaller};
use pollendrift_standins::service::PlainService;

use crate::support::{HostGroup, wait_until};

async fn start_portal(group: &HostGroup) -> PlainService {
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

/// Kind of a call's outcome, without the details that differ between runs. A failed test prints them.
fn outcome_kind(outcome: &CallOutcome) -> &'static str {
    println!("{outcome:?}");
    match outcome {
        CallOutcome::Answered(_) => "answered",
        CallOutcome::NotRun(_) | CallOutcome::NotSent(_) => "not run",
        CallOutcome::Broken(_) | CallOutcome::Unknown(_) => "unknown",
    }
}

// Guards against a second run of a call that is resent through another entry, as the load balancer
// does. The first call claims the key before it is sent, so resends get the stored answer. The same
// key with another body is refused and does not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_through_any_entry() {
    let group = HostGroup::start(4, 3).await;
    let service = start_portal(&group).await;
    let mut seen = Vec::new();
    let mut answers = Vec::new();
    for (entry, body) in [(0, "a"), (1, "a"), (3, "a"), (2, "other")] {
        let outcome = caller(&group, entry)
            .post("portal", "filings", "key-1", body)
            .await;
        seen.push(format!(
            "entry {entry}, body {body}: {}",
            outcome_kind(&outcome)
        ));
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

// Guards against a second run of a call whose answer was lost. The backend server runs the call and
// the connection breaks before the answer. The outcome can't be determined later, so each resend
// gets `unknown`.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_with_a_lost_answer_stays_unknown_and_is_not_run_again() {
    let group = HostGroup::start(3, 3).await;
    let service = start_portal(&group).await;
    service.disconnect_before_answer(true);
    let mut seen = Vec::new();
    for entry in [0, 1] {
        let outcome = caller(&group, entry)
            .post("portal", "filings", "key-2", "a")
            .await;
        seen.push(format!("cut, entry {entry}: {}", outcome_kind(&outcome)));
    }
    service.disconnect_before_answer(false);
    let outcome = caller(&group, 2)
        .post("portal", "filings", "key-2", "a")
        .await;
    seen.push(format!("healed, entry 2: {}", outcome_kind(&outcome)));
    seen.push(format!("runs: {:?}", service.runs()));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    cut, entry 0: unknown
    cut, entry 1: unknown
    healed, entry 2: unknown
    runs: {"key-2": 1}
    "#);
}

// Guards against a second run of a call whose entry crashed between send and answer. The caller
// resends through other entries. The claim is in the replicated state; when the host restarts, its
// new incarnation ends the claims of the old one, and the resend gets `unknown`.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_survives_its_entry_that_crashes_between_send_and_answer() {
    let mut group = HostGroup::start(4, 3).await;
    let service = start_portal(&group).await;
    service.set_delay(std::time::Duration::from_secs(3_600));
    let first = caller(&group, 3);
    let sent = tokio::spawn(async move { first.post("portal", "filings", "key-3", "a").await });
    wait_until(|| service.runs().contains_key("key-3")).await;
    group.crash(3);
    let mut seen = vec![format!(
        "entry 3 dies: {}",
        outcome_kind(&sent.await.unwrap())
    )];
    service.set_delay(std::time::Duration::ZERO);
    let outcome = caller(&group, 1)
        .post("portal", "filings", "key-3", "a")
        .await;
    seen.push(format!("entry 1: {}", outcome_kind(&outcome)));
    group.restart(3).await;
    group.wait_revision(3, Revision(1)).await;
    let outcome = caller(&group, 2)
        .post("portal", "filings", "key-3", "a")
        .await;
    seen.push(format!(
        "entry 2 after the restart: {}",
        outcome_kind(&outcome)
    ));
    seen.push(format!("runs: {:?}", service.runs()));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    entry 3 dies: unknown
    entry 1: unknown
    entry 2 after the restart: unknown
    runs: {"key-3": 1}
    "#);
}

// Guards against a call that is sent without a claim. The keepers' quorum is lost before the claim,
// so the call is refused as not run. Once the quorum is restored, the same key runs once.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_not_sent_without_a_keeper_quorum() {
    let mut group = HostGroup::start(4, 3).await;
    let service = start_portal(&group).await;
    group.crash(0);
    group.crash(1);
    let outcome = caller(&group, 3)
        .post("portal", "filings", "key-4", "a")
        .await;
    let mut seen = vec![format!(
        "quorum lost: {}, runs {:?}",
        outcome_kind(&outcome),
        service.runs()
    )];
    group.restart(0).await;
    group.wait_revision(0, Revision(1)).await;
    group.wait_revision(3, Revision(1)).await;
    let outcome = caller(&group, 3)
        .post("portal", "filings", "key-4", "a")
        .await;
    seen.push(format!(
        "quorum back: {}, runs {:?}",
        outcome_kind(&outcome),
        service.runs()
    ));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    quorum lost: not run, runs {}
    quorum back: answered, runs {"key-4": 1}
    "#);
}

// Guards against a resend that is refused as not run while its call runs: the keepers' quorum is lost
// after the claim, so no claim can be taken. The caller would send the call again under another key.
// The entry of the first call and each host with a keeper know the claim without the quorum. A call
// with another body is not the claimed one, and has not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_without_a_keeper_quorum_is_not_refused_as_not_run() {
    let mut group = HostGroup::start(4, 3).await;
    let service = start_portal(&group).await;
    service.hold_answers(true);
    let first = caller(&group, 3);
    let sent = tokio::spawn(async move { first.post("portal", "filings", "key-5", "a").await });
    wait_until(|| service.runs().contains_key("key-5")).await;
    let copy = group.host(2).node().shared().unwrap().clone();
    wait_until(|| copy.read(|state| state.claims().counts().in_progress == 1)).await;
    group.crash(0);
    group.crash(1);
    let mut seen = Vec::new();
    for (entry, body) in [(2, "a"), (3, "a"), (2, "other"), (3, "other")] {
        let outcome = caller(&group, entry)
            .post("portal", "filings", "key-5", body)
            .await;
        seen.push(format!(
            "entry {entry}, body {body}: {}",
            outcome_kind(&outcome)
        ));
    }
    service.hold_answers(false);
    let outcome = sent.await.unwrap();
    seen.push(format!("first call: {}", outcome_kind(&outcome)));
    seen.push(format!("runs: {:?}", service.runs()));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    entry 2, body a: unknown
    entry 3, body a: unknown
    entry 2, body other: not run
    entry 3, body other: not run
    first call: answered
    runs: {"key-5": 1}
    "#);
}

/// Posts one call for each of `keys` keys through host 3, all at the same time.
fn post_all(group: &HostGroup, keys: usize) -> Vec<tokio::task::JoinHandle<&'static str>> {
    let calls = (0..keys).map(|key| {
        let caller = caller(group, 3);
        async move {
            let key = format!("key-{key}");
            let outcome = caller.post("portal", "filings", &key, "a").await;
            outcome_kind(&outcome)
        }
    });
    calls.map(tokio::spawn).collect()
}

// Guards against a caller that is told that its call has not run, resends it, and finds its own key
// in progress: the keepers commit the claim after the refusal, and record the refusal only later.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_refusal_runs_once_the_quorum_is_back() {
    const KEYS: usize = 12;
    let mut group = HostGroup::start(4, 3).await;
    let service = start_portal(&group).await;
    let leader = group.leader().await;
    let others: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
    for index in &others {
        group.crash(*index);
    }
    let mut seen = Vec::new();
    for call in post_all(&group, KEYS) {
        seen.push(call.await.unwrap());
    }
    assert_eq!(seen, ["not run"; KEYS]);
    group.restart(others[0]).await;
    group.wait_revision(3, Revision(1)).await;
    let mut seen = Vec::new();
    for call in post_all(&group, KEYS) {
        seen.push(call.await.unwrap());
    }
    assert_eq!(seen, ["answered"; KEYS]);
    assert_eq!(service.runs().into_values().collect::<Vec<_>>(), [1; KEYS]);
}
