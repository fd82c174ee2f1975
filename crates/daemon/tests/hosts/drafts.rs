//! Drafts stay whole through faulty, silent and dying engines.

use pollendrift_standins::caller::{DraftCaller, DraftReply};
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, loopback};
use pollendrift_standins::token::{StandInWeights, expected_answer};

use crate::support::HostGroup;

const PROMPT: &str = "switching sequence for the feed pump";
const TOKENS: u32 = 20;

/// One host over engines that it has heard of.
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

    /// What the caller saw, in one line.
    async fn verdict(&self) -> String {
        let reply = self.draft().await;
        match reply.check(&self.expected()) {
            Ok(()) => "whole".to_owned(),
            Err(fault) => fault.to_string(),
        }
    }
}

// The caller sees one whole answer, whatever one engine does to its events. The engine is the
// first stage of the pipeline, so all tokens pass through it. The ledger drops doubled tokens,
// orders swapped ones, and starts another attempt where a stream is cut, falls silent or names a
// chain that is not whole; the second pipeline goes on from the last token that was released.
#[tokio::test(flavor = "multi_thread")]
async fn one_faulty_engine_never_shows_in_the_answer() {
    type Fault = fn(&EngineServer);
    let cases: [(&str, Fault); 5] = [
        ("doubled tokens", |engine| {
            engine.faults().duplicate_tokens(true)
        }),
        ("swapped tokens", |engine| engine.faults().swap_tokens(true)),
        ("cut in the middle", |engine| {
            engine.faults().cut_after_tokens(7)
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
        // Either engine of the first span may be chosen; the other one serves the second attempt.
        for chosen in [0, 4] {
            fault(&host.engines[chosen]);
            seen.push(format!("{name}, engine {chosen}: {}", host.verdict().await));
            reset(&host.engines[chosen]);
        }
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    doubled tokens, engine 0: whole
    doubled tokens, engine 4: whole
    swapped tokens, engine 0: whole
    swapped tokens, engine 4: whole
    cut in the middle, engine 0: whole
    cut in the middle, engine 4: whole
    silent in the middle, engine 0: whole
    silent in the middle, engine 4: whole
    chain with a layer too few, engine 0: whole
    chain with a layer too few, engine 4: whole
    ");
}

fn reset(engine: &EngineServer) {
    engine.faults().duplicate_tokens(false);
    engine.faults().swap_tokens(false);
    engine.faults().cut_after_tokens(0);
    engine.faults().stall_after_tokens(0);
    engine.faults().skip_layer(false);
}

// The caller sees a whole answer although a stage in the middle dies with its KV state. The stage
// before it reports the failure, the entry excludes the dead stage, and the next attempt replays
// the prefix on the spare engine while the other stages keep their KV.
#[tokio::test(flavor = "multi_thread")]
async fn a_stage_that_dies_midway_is_replaced() {
    let mut host = OneHost::start(8).await;
    let mut seen = Vec::new();
    // Both engines of span 1 in turn; the second time the host has learnt of the first's death.
    let engine = host.engines.remove(5);
    let expected = host.expected();
    let mut victim = Some(engine);
    let mut shown = 0;
    let reply = host
        .caller
        .draft("draft", PROMPT, TOKENS, |_| {
            shown += 1;
            if shown == 5 {
                drop(victim.take());
            }
        })
        .await
        .unwrap();
    seen.push(format!("{:?}", reply.check(&expected)));
    seen.push(host.verdict().await);
    insta::assert_snapshot!(seen.join("\n"), @r"
    Ok(())
    whole
    ");
}

// The caller is told `not-run`, and it is true: no engine holds the last layers, so nothing was
// sent. After the first token the same loss must be told as an unknown outcome.
#[tokio::test(flavor = "multi_thread")]
async fn a_missing_span_is_refused_as_not_run() {
    let host = OneHost::start(3).await;
    let refusal = host.draft().await.refusal.unwrap();
    insta::assert_snapshot!(format!("{} {} {}", refusal.status, refusal.outcome, refusal.detail), @"503 not-run no route: no engine holds layer 24 of version v1");
}

// The caller goes away in the middle of a stream. Every engine of the pipeline forgets the
// sequence, so no slot computes for nobody.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_frees_its_engines() {
    let host = OneHost::start(4).await;
    let first = tokio::sync::Notify::new();
    {
        let draft = host
            .caller
            .draft("draft", PROMPT, 2_000, |_| first.notify_one());
        tokio::select! {
            reply = draft => panic!("ended early: {reply:?}"),
            () = first.notified() => {}
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

// The caller sees one whole answer although more stages die than attempts are allowed. Each attempt
// brings some tokens before its first stage is cut, so the answer moves on; the bound on attempts
// is there for answers that do not.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_outlives_more_stages_than_attempts_are_allowed() {
    let host = OneHost::start(24).await;
    for engine in host.engines.iter().step_by(4) {
        engine.faults().cut_after_tokens(4);
    }
    insta::assert_snapshot!(host.verdict().await, @"whole");
}

// The caller is told `not-run`, and it is true: every engine of the first span refuses the work by
// its own word before a layer runs, since it holds another version than it announced. Told
// `unknown`, the caller would have to ask somebody what became of a draft that never began.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_prove_that_nothing_started_make_a_true_not_run() {
    let host = OneHost::start(4).await;
    host.engines[0].faults().refuse_work(true);
    let refusal = host.draft().await.refusal.unwrap();
    insta::assert_snapshot!(format!("{} {}", refusal.status, refusal.outcome), @"503 not-run");
}

// The caller misspells the model. No selector names it, so none is considered one by one; the
// refusal must still say what was looked at, or the caller asks an operator what went wrong.
#[tokio::test(flavor = "multi_thread")]
async fn a_model_that_no_selector_names_is_refused_by_name() {
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
