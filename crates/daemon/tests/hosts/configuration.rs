//! An accepted configuration stays in force, through losses, races and restarts.

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

fn told(answer: Option<&ChangeAnswer>) -> String {
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

// Operators race with one number, each through another host, and resend. Exactly one wins, the
// others are told which, and each resend gets its first answer, also after later changes, a crash
// of all hosts and their restart.
#[tokio::test(flavor = "multi_thread")]
async fn of_equal_numbers_one_wins_and_resends_get_their_first_answer() {
    let mut group = HostGroup::start(4, 3).await;
    let mut first = Vec::new();
    let racers = (0..12).map(|racer| {
        let group = &group;
        async move {
            let text = selectors_with(&format!("racer-{racer}"));
            told(
                group
                    .change(racer % 4, &format!("race-{racer}"), Revision(1), &text)
                    .await
                    .as_ref(),
            )
        }
    });
    first.extend(futures_util::future::join_all(racers).await);
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
    let later = told(
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
    for (racer, answer) in first.iter().enumerate() {
        let text = selectors_with(&format!("racer-{racer}"));
        let again = group
            .change(3 - racer % 4, &format!("race-{racer}"), Revision(1), &text)
            .await;
        same += usize::from(told(again.as_ref()) == *answer);
    }
    insta::assert_snapshot!(
        format!("winners {winners}, told of the winner {losers}, later {later}, same after restart {same}"),
        @"winners 1, told of the winner 11, later accepted as 3, same after restart 12"
    );
}

// Operators lose the leader, and then a second keeper right after the first came back. Every
// accepted change is in force at every host in the end, and none is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_loss_after_the_first_repair_loses_nothing() {
    let mut group = HostGroup::start(4, 3).await;
    let mut revision = Revision(1);
    let mut seen = Vec::new();
    for lost in [0, 1, 2] {
        group.crash(lost);
        let id = format!("without-{lost}");
        let text = selectors_with(&id);
        let answer = group.change(3, &id, revision, &text).await;
        seen.push(format!("host {lost} lost: {}", told(answer.as_ref())));
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

// The caller of a cut-off entry is refused, truly not run, rather than served by a configuration
// that may be replaced by now; a caller whose stream runs gets its whole answer. The entry loses
// every keeper at once; its lease counts from its last question that was answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_entry_refuses_new_work_and_finishes_what_runs() {
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
    let begun = Arc::new(tokio::sync::Notify::new());
    let seen = Arc::clone(&begun);
    let streaming = caller.clone();
    let running = tokio::spawn(async move {
        streaming
            .draft("draft", prompt, 200, |_| seen.notify_one())
            .await
            .unwrap()
    });
    begun.notified().await;
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
    let whole = running
        .await
        .unwrap()
        .check(&expected_answer(&weights, prompt, 200));
    insta::assert_snapshot!(
        format!("new: {} {}, running: {whole:?}", refusal.status, refusal.outcome),
        @"new: 503 not-run, running: Ok(())"
    );
}
