//! Tests that drafts are complete and correct when engines are faulty, stall or crash.

use pollendrift_standins::caller::{DraftCaller, DraftReply};
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, loopback};
use pollendrift_standins::token::{StandInWeights, expected_answer};

use crate::support::HostGroup;

const PROMPT: &str = "switching sequence for the feed pump";
const TOKENS: u32 = 20;

/// One host with engines that have announced themselves to it.
struct OneHost {
    _group: HostGroup,
    engines: Vec<EngineServer>,
    caller: DraftCaller,
    shape: ModelShape,
}

impl OneHost {
    async fn start(engines: u32) -> Self {
        let group = HostGroup::start(1, 1).await;
        let caller = DraftCaller::new(&group.entry(0), CUSTOMER_TOKEN);
        let shape = ModelShape::default();
        let mut started = Vec::new();
        for (index, offer) in mixed_engines(&shape, engines).into_iter().enumerate() {
            let settings = EngineSettings {
                server: format!("engine-{index}"),
                offer,
            };
            let mut engine = EngineServer::start(settings, loopback()).await.unwrap();
            engine.announce(group.entries(), 1, "dc-a");
            started.push(engine);
        }
        group.wait_servers(started.len()).await;
        Self {
            _group: group,
            engines: started,
            caller,
            shape,
        }
    }

    fn expected(&self) -> Vec<u64> {
        let weights = StandInWeights::new(
            &self.shape.model,
            &self.shape.version,
            None,
            self.shape.layers,
        );
        expected_answer(&weights, PROMPT, TOKENS)
    }

    async fn draft(&self) -> DraftReply {
        self.caller
            .draft("draft", PROMPT, TOKENS, |_| {})
            .await
            .unwrap()
    }

    /// Runs a draft; returns `complete` if the answer is as expected, otherwise the difference.
    async fn draft_result(&self) -> String {
        let reply = self.draft().await;
        match reply.check(&self.expected()) {
            Ok(()) => "complete".to_owned(),
            Err(error) => error.to_string(),
        }
    }
}

// Guards against engine faults that change the answer. The faulty engine is the first stage, so all
// tokens pass through it. The ledger drops duplicates and reorders swapped tokens. A stream that is
// truncated, stalls or has an incomplete chain fails its attempt; the next pipeline continues after the
// last released token.
#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_engine_does_not_change_the_answer() {
    type Fault = fn(&EngineServer);
    let cases: [(&str, Fault); 5] = [
        ("doubled tokens", |engine| {
            engine.faults().duplicate_tokens(true)
        }),
        ("swapped tokens", |engine| engine.faults().swap_tokens(true)),
        ("truncated in the middle", |engine| {
            engine.faults().disconnect_after_tokens(7)
        }),
        ("silent in the middle", |engine| {
            engine.faults().stall_after_tokens(7)
        }),
        ("chain with a layer too few", |engine| {
            engine.faults().skip_layer(true)
        }),
    ];
    let mut seen = Vec::new();
    for (name, fault) in cases {
        let host = OneHost::start(8).await;
        // The planner may choose either engine of the first layer range; the other one serves the second
        // attempt.
        for chosen in [0, 4] {
            fault(&host.engines[chosen]);
            seen.push(format!(
                "{name}, engine {chosen}: {}",
                host.draft_result().await
            ));
            reset(&host.engines[chosen]);
        }
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    doubled tokens, engine 0: complete
    doubled tokens, engine 4: complete
    swapped tokens, engine 0: complete
    swapped tokens, engine 4: complete
    truncated in the middle, engine 0: complete
    truncated in the middle, engine 4: complete
    silent in the middle, engine 0: complete
    silent in the middle, engine 4: complete
    chain with a layer too few, engine 0: complete
    chain with a layer too few, engine 4: complete
    ");
}

fn reset(engine: &EngineServer) {
    engine.faults().duplicate_tokens(false);
    engine.faults().swap_tokens(false);
    engine.faults().disconnect_after_tokens(0);
    engine.faults().stall_after_tokens(0);
    engine.faults().skip_layer(false);
}

// Guards against a lost answer when a middle stage crashes with its KV state. The stage before it
// reports the failure and the entry excludes the crashed stage. The next attempt replays the prefix
// on the spare engine; the other stages keep their KV.
#[tokio::test(flavor = "multi_thread")]
async fn a_stage_that_crashes_during_a_draft_is_replaced() {
    let mut host = OneHost::start(8).await;
    let mut seen = Vec::new();
    // This engine of layer range 1 crashes during the first draft; at the second draft, the host knows of
    // the crash.
    let engine = host.engines.remove(5);
    let expected = host.expected();
    let mut crashing = Some(engine);
    let mut token_count = 0;
    let reply = host
        .caller
        .draft("draft", PROMPT, TOKENS, |_| {
            token_count += 1;
            if token_count == 5 {
                drop(crashing.take());
            }
        })
        .await
        .unwrap();
    seen.push(format!("{:?}", reply.check(&expected)));
    seen.push(host.draft_result().await);
    insta::assert_snapshot!(seen.join("\n"), @r"
    Ok(())
    complete
    ");
}

// Guards against an `unknown` refusal of a draft that did not run. No engine serves the last
// layers, so nothing is sent. After the first token the same failure must be reported as `unknown`.
#[tokio::test(flavor = "multi_thread")]
async fn a_draft_without_a_complete_pipeline_is_refused_as_not_run() {
    let host = OneHost::start(3).await;
    let refusal = host.draft().await.refusal.unwrap();
    insta::assert_snapshot!(format!("{} {} {}", refusal.status, refusal.outcome, refusal.detail), @"503 not-run no route: no engine holds layer 24 of version v1");
}

// Guards against engines that keep computing for a disconnected caller. The caller disconnects
// during a stream, and every engine of the pipeline must close the sequence.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_frees_its_engines() {
    let host = OneHost::start(4).await;
    let first_token = tokio::sync::Notify::new();
    {
        let draft = host
            .caller
            .draft("draft", PROMPT, 2_000, |_| first_token.notify_one());
        tokio::select! {
            reply = draft => panic!("ended early: {reply:?}"),
            () = first_token.notified() => {}
        }
    }
    let freed = async {
        while host
            .engines
            .iter()
            .any(|engine| engine.open_sequences() > 0)
        {
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(std::time::Duration::from_secs(10), freed)
        .await
        .unwrap();
}

// Guards against an attempt limit that ends drafts that still make progress. More first stages fail
// than attempts are allowed, but each attempt produces some tokens before its stream is cut. The
// limit applies only to attempts without progress.
#[tokio::test(flavor = "multi_thread")]
async fn a_draft_with_progress_survives_more_failures_than_the_attempt_limit() {
    let host = OneHost::start(24).await;
    for engine in host.engines.iter().step_by(4) {
        engine.faults().disconnect_after_tokens(4);
    }
    insta::assert_snapshot!(host.draft_result().await, @"complete");
}

// Guards against an `unknown` refusal of a draft that no engine started. Every engine of the first
// layer range serves another version than it announced and refuses the work before a layer runs.
// After `unknown`, the caller would have to find out whether the draft ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_draft_that_every_engine_refused_to_start_is_not_run() {
    let host = OneHost::start(4).await;
    host.engines[0].faults().refuse_work(true);
    let refusal = host.draft().await.refusal.unwrap();
    insta::assert_snapshot!(format!("{} {}", refusal.status, refusal.outcome), @"503 not-run");
}

// Guards against a refusal without a reason. The caller misspells the model; no selector names it,
// so none is listed as considered. The refusal must still name the model and the number of
// selectors, or the caller has to ask an operator.
#[tokio::test(flavor = "multi_thread")]
async fn the_refusal_of_an_unknown_model_names_the_model() {
    let host = OneHost::start(1).await;
    let reply = host
        .caller
        .draft("drafft", PROMPT, TOKENS, |_| {})
        .await
        .unwrap();
    let refusal = reply.refusal.unwrap();
    insta::assert_snapshot!(
        format!("{} {} {}", refusal.status, refusal.outcome, refusal.detail),
        @"403 not-run no selector of revision 1 serves this request: none of its 2 selectors names model drafft for this customer"
    );
}
