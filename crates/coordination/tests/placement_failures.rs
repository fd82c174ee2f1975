//! Placement: restoring, rolling out, fencing and balance, in tables and under random losses.

use std::collections::BTreeMap;
use std::time::Duration;

use pollendrift_coordination::base::{FencingNumber, LayerRange, MonotonicTime, ServerName};
use pollendrift_coordination::placement::{
    EngineObservation, HeldWeights, PlacementReport, PlacementRight, PlacementSettings,
    PlacementTable, PlacementTarget, WeightsId,
};
use proptest::prelude::{ProptestConfig, prop, proptest};

const LAYERS: u32 = 32;

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

fn weights(version: &str) -> WeightsId {
    WeightsId {
        model: "m".into(),
        version: version.into(),
    }
}

fn held(version: &str, first: u32, end: u32) -> Option<HeldWeights> {
    Some(HeldWeights {
        weights: weights(version),
        layers: LayerRange { first, end },
    })
}

fn engine(name: &str, max_layers: u32, held: Option<HeldWeights>) -> EngineObservation {
    EngineObservation {
        server: ServerName::from(name),
        max_layers,
        layer_rate: 1_000 * max_layers,
        memory: None,
        checks_fencing: true,
        held,
        loading: None,
    }
}

fn target(version: &str) -> PlacementTarget {
    PlacementTarget {
        weights: weights(version),
        layers: LAYERS,
        share: 1,
        load: None,
    }
}

fn right(fencing: u64, until: u64) -> PlacementRight {
    PlacementRight {
        fencing: FencingNumber(fencing),
        until: at(until),
    }
}

/// A table past its settling time that holds the right for a long time.
fn table(settings: PlacementSettings, version: &str) -> PlacementTable {
    let mut table = PlacementTable::new(settings, at(0));
    table.grant(at(0), right(5, 1_000_000));
    table.set_targets(vec![target(version)]);
    table
}

fn describe(report: &PlacementReport) -> String {
    let orders = report.orders.iter().map(ToString::to_string);
    let waits = report.waits.iter().map(ToString::to_string);
    let all: Vec<String> = orders.chain(waits).collect();
    if all.is_empty() {
        return "nothing".to_owned();
    }
    all.join("; ")
}

/// What an engine shows while it loads, and when it is done.
fn apply(table: &mut PlacementTable, fleet: &mut [EngineObservation], report: &PlacementReport) {
    for order in &report.orders {
        for engine in fleet
            .iter_mut()
            .filter(|engine| engine.server == order.server)
        {
            engine.held = Some(order.load.clone());
            table.observe(engine.clone());
        }
    }
}

// Callers get a whole pipeline back after the fewest loads. `b` is lost beside each set of spares.
// One large engine beats two small ones, a free one beats one in use, and the smallest that closes
// the gap is taken. Where nothing can be spared the tick says so and breaks nothing else.
#[test]
fn a_lost_engine_is_replaced_with_the_fewest_loads() {
    let cases = [
        ("large", vec![engine("s1", 8, None), engine("s2", 16, None)]),
        (
            "fitting",
            vec![engine("s1", 32, None), engine("s2", 16, None)],
        ),
        (
            "two small",
            vec![
                engine("s1", 8, None),
                engine("s2", 8, None),
                engine("s3", 8, None),
            ],
        ),
        (
            "free first",
            vec![engine("s1", 16, held("v1", 0, 16)), engine("s2", 16, None)],
        ),
        ("redundant", vec![engine("s1", 16, held("v1", 0, 16))]),
        ("none", Vec::new()),
        ("too small", vec![engine("s1", 8, None)]),
    ];
    let mut lines = Vec::new();
    for (name, spares) in cases {
        let mut table = table(PlacementSettings::default(), "v1");
        table.observe(engine("a", 16, held("v1", 0, 16)));
        table.observe(engine("b", 16, held("v1", 16, 32)));
        spares.into_iter().for_each(|spare| table.observe(spare));
        table.remove(&ServerName::from("b"));
        lines.push(format!("{name}: {}", describe(&table.tick(at(100)))));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    large: s2 loads m@v1[16..32] (fencing 5)
    fitting: s2 loads m@v1[16..32] (fencing 5)
    two small: s3 loads m@v1[16..24] (fencing 5); s1 loads m@v1[24..32] (fencing 5)
    free first: s2 loads m@v1[16..32] (fencing 5)
    redundant: a loads m@v1[16..32] (fencing 5)
    none: no engine to spare for m@v1 from layer 16
    too small: no engine to spare for m@v1 from layer 24
    ");
}

// Nobody's engines are loaded anew after a full restart, nor by one who lost the right.
// The table starts knowing nothing; engines that hold everything announce themselves within 20 s.
// Without the settling time the tick at 10 s would order loads over engines that are fine.
#[test]
fn nothing_is_ordered_before_settling_or_without_the_right() {
    let mut table = PlacementTable::new(PlacementSettings::default(), at(0));
    table.set_targets(vec![target("v1")]);
    let mut lines = Vec::new();
    let mut note = |name: &str, report| lines.push(format!("{name}: {}", describe(&report)));
    note("no right", table.tick(at(5)));
    table.grant(at(5), right(3, 60));
    table.observe(engine("free", 32, None));
    note("10 s", table.tick(at(10)));
    table.observe(engine("a", 16, held("v1", 0, 16)));
    table.observe(engine("b", 16, held("v1", 16, 32)));
    note("at 29 s", table.tick(at(29)));
    table.remove(&ServerName::from("free"));
    note("all there", table.tick(at(30)));
    table.remove(&ServerName::from("b"));
    table.observe(engine("c", 16, None));
    note("right ended", table.tick(at(60)));
    table.grant(at(61), right(2, 900));
    note("older number", table.tick(at(61)));
    table.grant(at(62), right(4, 900));
    note("granted again", table.tick(at(62)));
    insta::assert_snapshot!(lines.join("\n"), @r"
    no right: without the placement right
    10 s: settling until 30000000us
    at 29 s: settling until 30000000us
    all there: nothing
    right ended: without the placement right
    older number: without the placement right
    granted again: c loads m@v1[16..32] (fencing 4)
    ");
}

// An engine that ignores fencing numbers never gets orders from two holders at a time.
// The right is taken over at 100 s; the old holder's orders may still come for its lease. `u` is
// ordered only after the longer wait; renewals do not start it anew, a lapsed right does.
#[test]
fn engines_that_ignore_fencing_wait_out_the_old_holder() {
    let mut table = PlacementTable::new(PlacementSettings::default(), at(0));
    table.set_targets(vec![target("v1")]);
    let mut unfenced = engine("u", 32, None);
    unfenced.checks_fencing = false;
    table.observe(unfenced);
    let mut lines = Vec::new();
    let mut step = |table: &mut PlacementTable, now, grant: Option<PlacementRight>| {
        if let Some(grant) = grant {
            table.grant(at(now), grant);
        }
        lines.push(format!("{now} s: {}", describe(&table.tick(at(now)))));
    };
    step(&mut table, 100, Some(right(7, 110)));
    step(&mut table, 109, Some(right(7, 120)));
    step(&mut table, 125, Some(right(7, 140)));
    step(&mut table, 139, Some(right(7, 160)));
    step(&mut table, 155, Some(right(7, 200)));
    insta::assert_snapshot!(lines.join("\n"), @r"
    100 s: u ignores fencing numbers, waiting until 130000000us; no engine to spare for m@v1 from layer 0
    109 s: u ignores fencing numbers, waiting until 130000000us; no engine to spare for m@v1 from layer 0
    125 s: u ignores fencing numbers, waiting until 155000000us; no engine to spare for m@v1 from layer 0
    139 s: u ignores fencing numbers, waiting until 155000000us; no engine to spare for m@v1 from layer 0
    155 s: u loads m@v1[0..32] (fencing 7)
    ");
}

// No load is ordered twice, and one that does not show is given up in time.
// `s1` takes the order and shows nothing; 300 s later `s2` is ordered, and `s1` left out, though it
// may still begin to load. What it then holds counts as soon as it is seen.
#[test]
fn a_load_counts_when_it_is_seen() {
    let mut table = table(PlacementSettings::default(), "v1");
    table.observe(engine("s1", 32, None));
    let mut lines = Vec::new();
    let mut step = |table: &mut PlacementTable, now| {
        lines.push(format!("{now} s: {}", describe(&table.tick(at(now)))));
    };
    step(&mut table, 100);
    step(&mut table, 101);
    table.observe(engine("s1", 32, None));
    step(&mut table, 399);
    table.observe(engine("s2", 32, None));
    step(&mut table, 400);
    step(&mut table, 401);
    table.observe(engine("s1", 32, held("v1", 0, 32)));
    step(&mut table, 402);
    table.remove(&ServerName::from("s2"));
    step(&mut table, 403);
    insta::assert_snapshot!(lines.join("\n"), @r"
    100 s: s1 loads m@v1[0..32] (fencing 5)
    101 s: nothing
    399 s: nothing
    400 s: s2 loads m@v1[0..32] (fencing 5)
    401 s: nothing
    402 s: nothing
    403 s: nothing
    ");
}

// Callers have a whole pipeline at every step of a roll-out, in one version or the other.
// Two pairs of engines go from v1 to v2, two loads at a time. One pair is spared first; the other
// keeps v1 until v2 was seen whole. With one pair only, the roll-out is blocked and says so.
#[test]
fn a_roll_out_keeps_a_whole_pipeline() {
    let mut table = table(PlacementSettings::default(), "v2");
    let mut fleet: Vec<EngineObservation> = Vec::new();
    for name in ["a", "c"] {
        fleet.push(engine(name, 16, held("v1", 0, 16)));
        fleet.push(engine(&format!("{name}2"), 16, held("v1", 16, 32)));
    }
    fleet
        .iter()
        .for_each(|engine| table.observe(engine.clone()));
    let mut lines = Vec::new();
    for now in 100..104 {
        let report = table.tick(at(now));
        lines.push(format!("{now} s: {}", describe(&report)));
        apply(&mut table, &mut fleet, &report);
        assert!(is_whole(&fleet, "v1") || is_whole(&fleet, "v2"));
    }
    for name in ["c", "c2"] {
        table.remove(&ServerName::from(name));
    }
    table.set_targets(vec![target("v3")]);
    lines.push(format!("one pair: {}", describe(&table.tick(at(200)))));
    insta::assert_snapshot!(lines.join("\n"), @r"
    100 s: a2 loads m@v2[0..16] (fencing 5); a loads m@v2[16..32] (fencing 5)
    101 s: c loads m@v2[0..16] (fencing 5)
    102 s: c2 loads m@v2[16..32] (fencing 5)
    103 s: nothing
    one pair: no engine to spare for m@v3 from layer 0
    ");
}

// Throughput follows the slowest layers: a free engine goes where it raises them most, an engine in
// use moves only for a gain of a fifth or more, and not again within the interval.
#[test]
fn the_slowest_layers_are_raised() {
    let mut table = table(PlacementSettings::default(), "v1");
    let mut fleet = vec![
        engine("a", 16, held("v1", 0, 16)),
        engine("b", 16, held("v1", 0, 16)),
        engine("c", 16, held("v1", 0, 16)),
        engine("d", 16, held("v1", 16, 32)),
    ];
    fleet
        .iter()
        .for_each(|engine| table.observe(engine.clone()));
    let mut lines = Vec::new();
    for now in [100, 101] {
        let report = table.tick(at(now));
        lines.push(format!("{now} s: {}", describe(&report)));
        apply(&mut table, &mut fleet, &report);
    }
    fleet.push(engine("e", 8, None));
    table.observe(fleet[4].clone());
    lines.push(format!("free: {}", describe(&table.tick(at(170)))));
    insta::assert_snapshot!(lines.join("\n"), @r"
    100 s: a loads m@v1[16..32] (fencing 5)
    101 s: nothing
    free: e loads m@v1[0..8] (fencing 5)
    ");
}

fn is_whole(fleet: &[EngineObservation], version: &str) -> bool {
    let held = fleet.iter().filter_map(|engine| engine.held.as_ref());
    let ranges: Vec<LayerRange> = held
        .filter(|h| h.weights == weights(version))
        .map(|h| h.layers)
        .collect();
    (0..LAYERS).all(|layer| ranges.iter().any(|r| r.first <= layer && layer < r.end))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    // Callers never lose a pipeline to an order: a model that was whole before a tick is whole
    // though every ordered engine drops what it held at once. Engines of random sizes hold random
    // ranges of two versions; some are lost between ticks, loads end after a tick or two.
    #[test]
    fn no_order_breaks_the_last_pipeline(
        engines in prop::collection::vec((4_u32..33, 0_u32..32, 0_u8..3), 1..14),
        losses in prop::collection::vec(0_usize..14, 0..6),
    ) {
        let settings = PlacementSettings { balance_interval: Duration::ZERO, ..Default::default() };
        let mut table = table(settings, "v2");
        let mut fleet: BTreeMap<usize, EngineObservation> = BTreeMap::new();
        for (index, (size, first, version)) in engines.into_iter().enumerate() {
            let end = (first + size).min(LAYERS);
            let content = if version == 0 { None } else { held(&format!("v{version}"), first, end) };
            fleet.insert(index, engine(&format!("e{index}"), size, content));
        }
        fleet.values().for_each(|engine| table.observe(engine.clone()));
        for now in 0..20 {
            if let Some(engine) = losses.get(now).and_then(|index| fleet.remove(index)) {
                table.remove(&engine.server);
            }
            let before: Vec<EngineObservation> = fleet.values().cloned().collect();
            let report = table.tick(at(100 + now as u64));
            for engine in fleet.values_mut() {
                if let Some(loading) = engine.loading.take() {
                    engine.held = Some(loading);
                }
            }
            for order in &report.orders {
                let engine = fleet.values_mut().find(|engine| engine.server == order.server);
                let engine = engine.unwrap();
                assert_eq!(engine.loading, None);
                engine.held = None;
                engine.loading = Some(order.load.clone());
                assert!(order.load.layers.len() <= engine.max_layers);
            }
            let after: Vec<EngineObservation> = fleet.values().cloned().collect();
            let loading = after.iter().filter(|engine| engine.loading.is_some()).count();
            assert!(loading <= 2, "{loading} loads");
            let was_whole = is_whole(&before, "v1") || is_whole(&before, "v2");
            assert!(!was_whole || is_whole(&after, "v1") || is_whole(&after, "v2"));
            after.into_iter().for_each(|engine| table.observe(engine));
        }
        let layers: u32 = fleet.values().map(|engine| engine.max_layers).sum();
        if fleet.values().all(|engine| engine.held.is_none() || is_v2(engine)) && layers >= 4 * LAYERS {
            let all: Vec<EngineObservation> = fleet.into_values().collect();
            assert!(is_whole(&all, "v2"));
        }
    }
}

fn is_v2(engine: &EngineObservation) -> bool {
    engine
        .held
        .as_ref()
        .is_some_and(|held| held.weights == weights("v2"))
}
