//! Tests that an accepted configuration survives conflicting changes, crashes and restarts.

use std::sync::Arc;

use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::ChangeAnswer;
use pollendrift_standins::caller::DraftCaller;
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, loopback};
use pollendrift_standins::token::{StandInWeights, expected_answer};

use crate::support::{HostGroup, SELECTORS, wait_until};

fn selectors_with(name: &str) -> String {
    format!("{SELECTORS}---\nkind: selector\nname: {name}\nmodel: other-{name}\n")
}

fn describe(answer: Option<&ChangeAnswer>) -> String {
    match answer {
        Some(ChangeAnswer::Accepted { revision, .. }) => format!("accepted as {revision}"),
        Some(ChangeAnswer::Conflict(conflict)) => {
            let winner = conflict
                .winner
                .as_ref()
                .map(|winner| winner.change_id.to_string());
            format!("conflict with {}", winner.unwrap_or_default())
        }
        Some(other) => format!("{other:?}"),
        None => "no answer".to_owned(),
    }
}

// Guards against two accepted changes on one revision, and against resends that get another answer
// than the first. Twelve changes through four hosts are based on the same revision; refused
// changes are answered with the id of the accepted one. Each is resent after a later change, a crash of all
// hosts and their restart.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_many_conflicting_changes_is_accepted_and_resends_repeat_the_answer() {
    let mut group = HostGroup::start(4, 3).await;
    let mut first = Vec::new();
    let changes = (0..12).map(|change| {
        let group = &group;
        async move {
            let text = selectors_with(&format!("racer-{change}"));
            describe(
                group
                    .change(change % 4, &format!("race-{change}"), Revision(1), &text)
                    .await
                    .as_ref(),
            )
        }
    });
    first.extend(futures_util::future::join_all(changes).await);
    let winners = first
        .iter()
        .filter(|answer| answer.starts_with("accepted"))
        .count();
    let winner = first
        .iter()
        .position(|answer| answer.starts_with("accepted"))
        .unwrap();
    let losers = first
        .iter()
        .filter(|answer| **answer == format!("conflict with race-{winner}"))
        .count();
    let later = describe(
        group
            .change(1, "later", Revision(2), SELECTORS)
            .await
            .as_ref(),
    );
    for index in 0..4 {
        group.crash(index);
    }
    for index in 0..4 {
        group.restart(index).await;
    }
    group.wait_revision(3, Revision(3)).await;
    let mut same = 0;
    for (change, answer) in first.iter().enumerate() {
        let text = selectors_with(&format!("racer-{change}"));
        let resent = group
            .change(
                3 - change % 4,
                &format!("race-{change}"),
                Revision(1),
                &text,
            )
            .await;
        same += usize::from(describe(resent.as_ref()) == *answer);
    }
    insta::assert_snapshot!(
        format!("winners {winners}, told of the winner {losers}, later {later}, same after restart {same}"),
        @"winners 1, told of the winner 11, later accepted as 3, same after restart 12"
    );
}

// Guards against the loss of accepted changes when keepers crash one after another. Each keeper,
// the leader first, crashes, misses a change and restarts; the next one crashes as soon as the
// restarted one has caught up. Every host must have every change in force in the end.
#[tokio::test(flavor = "multi_thread")]
async fn changes_survive_keepers_that_crash_one_after_another() {
    let mut group = HostGroup::start(4, 3).await;
    let mut revision = Revision(1);
    let mut seen = Vec::new();
    for lost in [0, 1, 2] {
        group.crash(lost);
        let id = format!("without-{lost}");
        let text = selectors_with(&id);
        let answer = group.change(3, &id, revision, &text).await;
        seen.push(format!("host {lost} lost: {}", describe(answer.as_ref())));
        revision = revision.next();
        group.restart(lost).await;
        group.wait_revision(lost, revision).await;
    }
    for index in 0..4 {
        group.wait_revision(index, revision).await;
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    host 0 lost: accepted as 2
    host 1 lost: accepted as 3
    host 2 lost: accepted as 4
    ");
}

// Guards against an isolated entry that serves new requests by a configuration that may have been
// replaced. All keepers crash, so the entry's lease expires, counted from its last answered query.
// New drafts are refused as not run; a running stream completes.
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_entry_refuses_new_requests_and_completes_running_ones() {
    let shape = ModelShape::default();
    let weights = StandInWeights::new(&shape.model, &shape.version, None, shape.layers);
    let prompt = "clause note on anchors";
    let mut group = HostGroup::start(4, 3).await;
    let mut engines = Vec::new();
    for (index, offer) in mixed_engines(&shape, 4).into_iter().enumerate() {
        let settings = EngineSettings {
            server: format!("engine-{index}"),
            offer,
        };
        let mut engine = EngineServer::start(settings, loopback()).await.unwrap();
        engine.announce(vec![group.entry(3)], 1, "dc-a");
        engines.push(engine);
    }
    group.wait_servers(engines.len()).await;
    let caller = DraftCaller::new(&group.entry(3), CUSTOMER_TOKEN);
    let started = Arc::new(tokio::sync::Notify::new());
    let first_token = Arc::clone(&started);
    let streaming = caller.clone();
    let running = tokio::spawn(async move {
        streaming
            .draft("draft", prompt, 200, |_| first_token.notify_one())
            .await
            .unwrap()
    });
    started.notified().await;
    for keeper in 0..3 {
        group.crash(keeper);
    }
    wait_until(|| group.host(3).unready_reason().is_some()).await;
    let refusal = caller
        .draft("draft", prompt, 4, |_| {})
        .await
        .unwrap()
        .refusal
        .unwrap();
    let result = running
        .await
        .unwrap()
        .check(&expected_answer(&weights, prompt, 200));
    insta::assert_snapshot!(
        format!("new: {} {}, running: {result:?}", refusal.status, refusal.outcome),
        @"new: 503 not-run, running: Ok(())"
    );
}
