//! Fault cases of the token ledger, and property tests for any arrival order.

use pollendrift_coordination::base::{
    AttemptNumber, LayerRange, RequestId, ServerName, TokenPosition, VersionName,
};
use pollendrift_coordination::ledger::{
    ChainLink, FinalEvent, FinalVerdict, GeneratedToken, LedgerSettings, TokenLedger, TokenResult,
    TokenText, TokenVerdict,
};
use proptest::prelude::{ProptestConfig, any, prop, proptest};

const LAYERS: u32 = 32;

fn link(server: &str, first: u32, end: u32) -> ChainLink {
    ChainLink {
        server: ServerName::from(server),
        layers: LayerRange { first, end },
        version: VersionName::from("v1"),
    }
}

fn route(suffix: &str) -> Vec<ChainLink> {
    let first = format!("a{suffix}");
    let second = format!("b{suffix}");
    vec![link(&first, 0, 20), link(&second, 20, LAYERS)]
}

fn result(attempt: u32, position: u32) -> TokenResult {
    TokenResult {
        request: RequestId::from("r1"),
        attempt: AttemptNumber(attempt),
        position: TokenPosition(position),
        chain: route(&attempt.to_string()),
        token: GeneratedToken {
            id: u64::from(position),
            text: TokenText::from(format!("{attempt}/{position}")),
        },
    }
}

fn final_event(attempt: u32, count: u32) -> FinalEvent {
    FinalEvent {
        request: RequestId::from("r1"),
        attempt: AttemptNumber(attempt),
        count,
    }
}

fn ledger() -> TokenLedger {
    let settings = LedgerSettings {
        reorder_window: 4,
        max_tokens: 100,
    };
    let version = VersionName::from("v1");
    TokenLedger::new(RequestId::from("r1"), LAYERS, version, settings)
}

fn started() -> TokenLedger {
    let mut ledger = ledger();
    let begun = ledger.begin_attempt(AttemptNumber(1), route("1"));
    assert_eq!(begun, Ok(TokenPosition(0)));
    ledger
}

fn describe(verdict: &TokenVerdict) -> String {
    match verdict {
        TokenVerdict::Release { tokens, complete } => {
            let texts: Vec<&str> = tokens
                .iter()
                .map(|token| token.token.text.as_ref())
                .collect();
            let end = if *complete { " complete" } else { "" };
            format!("release {}{end}", texts.join(" "))
        }
        TokenVerdict::Held => "held".to_owned(),
        TokenVerdict::Dropped(reason) => format!("dropped: {reason}"),
    }
}

// Guards against a result of another request, or from an incomplete or wrong chain, that reaches
// the caller. An engine sends each kind of faulty result before the valid one for position 0. The
// ledger compares the chain with the layers, the version and the route of the attempt.
#[test]
fn faulty_results_are_dropped_with_their_reason() {
    type Fault = fn(&mut TokenResult);
    let cases: [(&str, Fault); 11] = [
        ("foreign request", |r| r.request = RequestId::from("r2")),
        ("attempt 0", |r| r.attempt = AttemptNumber(0)),
        ("attempt never started", |r| r.attempt = AttemptNumber(2)),
        ("empty chain", |r| r.chain.clear()),
        ("last stage missing", |r| r.chain.truncate(1)),
        ("first stage missing", |r| drop(r.chain.remove(0))),
        ("gap between stages", |r| r.chain[1].layers.first = 21),
        ("layer ran twice", |r| r.chain[1].layers.first = 19),
        ("stages swapped", |r| r.chain.reverse()),
        ("beyond the model", |r| r.chain[1].layers.end = 33),
        ("other version", |r| {
            r.chain[1].version = VersionName::from("v2");
        }),
    ];
    let mut ledger = started();
    let mut lines = Vec::new();
    for (name, corrupt) in cases {
        let mut corrupted = result(1, 0);
        corrupt(&mut corrupted);
        lines.push(format!("{name}: {}", describe(&ledger.accept(corrupted))));
    }
    let mut off_route = result(1, 0);
    off_route.chain = route("9");
    lines.push(format!(
        "other engines: {}",
        describe(&ledger.accept(off_route))
    ));
    lines.push(format!(
        "complete: {}",
        describe(&ledger.accept(result(1, 0)))
    ));
    insta::assert_snapshot!(lines.join("\n"), @r"
    foreign request: dropped: foreign request
    attempt 0: dropped: old attempt
    attempt never started: dropped: unknown attempt
    empty chain: dropped: chain: the chain is empty
    last stage missing: dropped: chain: layer 20 did not run
    first stage missing: dropped: chain: layer 0 did not run
    gap between stages: dropped: chain: layer 20 did not run
    layer ran twice: dropped: chain: layer 19 ran twice or out of order
    stages swapped: dropped: chain: layer 0 did not run
    beyond the model: dropped: chain: range 20..33 does not fit a model of 32 layers
    other version: dropped: chain: version v2 in an answer made with v1
    other engines: dropped: off the attempt's route
    complete: release 1/0
    ");
}

// Guards against results released out of order or twice. Results arrive as 2, 0, 0, 3, 2, 9, 1, and
// the caller must get 0 to 3 once and in order. 2 and 3 are buffered, the duplicates of 0 and 2 are
// dropped, and 9 is beyond the window. While a position is missing, the window limits the size of
// the buffer.
#[test]
fn late_and_duplicate_results_are_released_in_order() {
    let mut ledger = started();
    let mut lines = Vec::new();
    for position in [2, 0, 0, 3, 2, 9, 1] {
        let verdict = ledger.accept(result(1, position));
        lines.push(format!("{position}: {}", describe(&verdict)));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    2: held
    0: release 1/0
    0: dropped: duplicate
    3: held
    2: dropped: duplicate
    9: dropped: beyond the reorder window
    1: release 1/1 1/2 1/3
    ");
}

// Guards against tokens of attempt 1 mixed with those of attempt 2. The second stage crashes while
// 1/2 (attempt/position) is buffered and 1/1 is missing, and attempt 2 starts after the released
// 1/0. The late 1/1 and the buffered 1/2 were sampled in attempt 1 and may not fit the tokens of
// attempt 2.
#[test]
fn a_new_attempt_continues_from_the_confirmed_prefix() {
    let mut ledger = started();
    ledger.accept(result(1, 0));
    ledger.accept(result(1, 2));
    let from = ledger.begin_attempt(AttemptNumber(2), route("2")).unwrap();
    assert_eq!(from, TokenPosition(1));
    let mut lines = Vec::new();
    for (attempt, position) in [(1, 1), (2, 2), (1, 3), (2, 1)] {
        let verdict = ledger.accept(result(attempt, position));
        lines.push(format!("{attempt}/{position}: {}", describe(&verdict)));
    }
    lines.push(format!("{:?}", ledger.complete(&final_event(1, 4))));
    lines.push(format!("{:?}", ledger.complete(&final_event(2, 3))));
    insta::assert_snapshot!(lines.join("\n"), @r"
    1/1: dropped: old attempt
    2/2: held
    1/3: dropped: old attempt
    2/1: release 2/1 2/2
    Dropped(OldAttempt)
    Complete
    ");
}

// Guards against an answer that is complete before its last position is released: the final event
// can overtake tokens. A count below the received tokens, a second count, or a position beyond the
// count is dropped as a contradiction, which ends the attempt.
#[test]
fn the_final_event_waits_for_all_positions() {
    let mut ledger = started();
    ledger.accept(result(1, 0));
    let mut lines = vec![
        format!("{:?}", ledger.complete(&final_event(1, 0))),
        format!("{:?}", ledger.complete(&final_event(1, 3))),
        format!("{:?}", ledger.complete(&final_event(1, 2))),
    ];
    for position in [3, 2, 1, 1] {
        let verdict = ledger.accept(result(1, position));
        lines.push(format!("{position}: {}", describe(&verdict)));
    }
    let again = ledger.begin_attempt(AttemptNumber(2), route("2"));
    lines.push(format!("{again:?}"));
    insta::assert_snapshot!(lines.join("\n"), @r"
    Dropped(CountContradicted)
    Waiting { next: TokenPosition(1) }
    Dropped(CountContradicted)
    3: dropped: count contradicted
    2: held
    1: release 1/1 1/2 complete
    1: dropped: duplicate
    Err(Complete)
    ");
}

// Guards against an attempt on a stale route that replaces the running one. A retry may be planned
// with the same or a lower number, a gap, or mixed versions. The ledger must refuse each before any
// engine gets a request, and the running attempt continues.
#[test]
fn attempts_on_invalid_routes_are_refused() {
    let mut ledger = ledger();
    ledger.begin_attempt(AttemptNumber(2), route("2")).unwrap();
    let mut mixed = route("3");
    mixed[1].version = VersionName::from("v2");
    let cases = [
        (2, route("2")),
        (1, route("1")),
        (3, vec![link("a", 0, 20)]),
        (3, mixed),
    ];
    let mut lines = Vec::new();
    for (attempt, route) in cases {
        let error = ledger.begin_attempt(AttemptNumber(attempt), route);
        lines.push(error.unwrap_err().to_string());
    }
    assert_eq!(ledger.attempt(), AttemptNumber(2));
    insta::assert_snapshot!(lines.join("\n"), @r"
    attempt 2 or a newer one is running
    attempt 2 or a newer one is running
    route: layer 20 did not run
    route: version v2 in an answer made with v1
    ");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against positions that the caller gets twice, out of order, or from an attempt that is
    // not running. Results of several attempts arrive shuffled, duplicated and late, some with a
    // broken chain, while new attempts start. Every released text names the attempt that generated
    // it.
    #[test]
    fn any_arrival_order_releases_each_position_once(
        steps in prop::collection::vec((0_u32..4, 0_u32..12, any::<bool>(), 0_u8..8), 0..200),
    ) {
        let mut ledger = started();
        let mut seen = Vec::new();
        for (attempt, position, broken, action) in steps {
            if action == 0 {
                let _ = ledger.begin_attempt(AttemptNumber(attempt), route(&attempt.to_string()));
                continue;
            }
            let mut result = result(attempt, position);
            if broken && action < 3 {
                result.chain.pop();
            }
            let running = ledger.attempt();
            let is_complete = result.chain.len() == 2;
            if let TokenVerdict::Release { tokens, .. } = ledger.accept(result) {
                assert!(is_complete);
                for token in tokens {
                    let expected = format!("{running}/{}", token.position);
                    assert_eq!(token.token.text.as_ref(), expected);
                    seen.push(token.position.0);
                }
            }
            assert!(ledger.buffered_count() <= 4);
        }
        let expected: Vec<u32> = (0..u32::try_from(seen.len()).unwrap()).collect();
        assert_eq!(seen, expected);
    }

    // Guards against an answer that never becomes complete although each result arrives at least
    // once within the window. The results are reordered by swaps of neighbours and duplicated; the
    // final event comes anywhere.
    #[test]
    fn an_answer_completes_if_every_result_arrives(swaps in prop::collection::vec(0_usize..19, 0..40), end in 0_usize..20) {
        let mut order: Vec<u32> = (0..20).collect();
        for index in swaps {
            let in_window = order[index].abs_diff(u32::try_from(index + 1).unwrap()) <= 2
                && order[index + 1].abs_diff(u32::try_from(index).unwrap()) <= 2;
            if in_window {
                order.swap(index, index + 1);
            }
        }
        let mut ledger = started();
        for (index, position) in order.into_iter().enumerate() {
            if index == end {
                let verdict = ledger.complete(&final_event(1, 20));
                assert!(!matches!(verdict, FinalVerdict::Dropped(_)));
            }
            ledger.accept(result(1, position));
            ledger.accept(result(1, position));
        }
        assert!(ledger.is_complete());
        assert_eq!(ledger.released_prefix().len(), 20);
    }
}
