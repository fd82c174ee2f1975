//! Tests of the KV memory of a pool of engines and of the part of it that one host may use.

use std::time::Duration;

use pollendrift_coordination::base::{
    Incarnation, LayerRange, ModelName, MonotonicTime, SequenceNumber, ServerName,
};
use pollendrift_coordination::limits::{HostCapacity, HostCapacitySettings};
use pollendrift_coordination::routing::{
    ByteRate, EngineAnnouncement, EngineRole, FleetPlanner, LoadReport, LoadValues, PoolCapacity,
    PoolSettings, RoutePlanner, RoutingSettings, TokenCount, TokenRate,
};

const HOSTS: u32 = 63;
const POOL_TOKENS: u64 = 700_000;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// An engine with `kv` tokens of memory for the layers `first..end` of 80.
fn engine(name: &str, data_centre: &str, (first, end): (u32, u32), kv: u64) -> EngineAnnouncement {
    EngineAnnouncement {
        server: ServerName::from(name),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(1),
        kind: "a".into(),
        data_centre: data_centre.into(),
        model: ModelName::from("m"),
        version: "1".into(),
        model_layers: 80,
        layers: LayerRange { first, end },
        adapters: Vec::new(),
        role: EngineRole::Both,
        kv_capacity: TokenCount(kv),
        prefill_rate: TokenRate(10_000),
        decode_rate: TokenRate(1_000),
        step_floor: Duration::from_millis(5),
        link_rate: ByteRate(1_000_000_000),
        activation_bytes: 16_384,
        kv_bytes: 1_024,
    }
}

fn report(name: &str, millis: u64, kv: u64) -> LoadReport {
    LoadReport {
        server: ServerName::from(name),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(millis),
        measured_at: at(millis),
        figures: LoadValues {
            kv: TokenCount(kv),
            ..LoadValues::default()
        },
    }
}

/// Two data centres with all layers; the second has its least memory at the layers 40..80.
fn planner() -> FleetPlanner {
    let mut planner = FleetPlanner::new(RoutingSettings::default(), 1);
    let engines = [
        engine("a0", "a", (0, 40), 100_000),
        engine("a1", "a", (40, 80), 100_000),
        engine("b0", "b", (0, 40), 100_000),
        engine("b1", "b", (40, 80), 50_000),
    ];
    for engine in engines {
        assert!(planner.announce(at(0), engine).is_ok());
    }
    planner
}

fn measure(planner: &FleetPlanner, now: MonotonicTime) -> Option<PoolCapacity> {
    let settings = PoolSettings {
        fill_percent: 100,
        ..PoolSettings::default()
    };
    planner.pool_capacity(now, &ModelName::from("m"), &settings)
}

// Guards against a capacity that counts memory which no whole chain can use.
#[test]
fn the_narrowest_layer_of_each_data_centre_counts() {
    let mut planner = planner();
    for (name, kv) in [("a0", 10_000), ("a1", 30_000), ("b0", 0), ("b1", 20_000)] {
        assert!(planner.report(&report(name, 1_000, kv)));
    }
    let measured = measure(&planner, at(1_500)).unwrap();
    assert_eq!((measured.total, measured.free), (150_000, 100_000));
}

// Guards against the memory of engines that died: their reports end, and with them a layer.
#[test]
fn a_data_centre_without_a_reported_layer_has_no_memory() {
    let mut planner = planner();
    for name in ["a0", "a1", "b0", "b1"] {
        planner.report(&report(name, 1_000, 0));
    }
    for name in ["a0", "b0", "b1"] {
        planner.report(&report(name, 3_000, 0));
    }
    let measured = measure(&planner, at(3_200)).unwrap();
    assert_eq!((measured.total, measured.free), (50_000, 50_000));
    planner.remove(&ServerName::from("b1"));
    assert_eq!(measure(&planner, at(3_200)), None, "no layer 40");
    assert_eq!(measure(&planner, at(9_000)), None);
}

fn pool(free: i64, millis: u64) -> PoolCapacity {
    PoolCapacity {
        total: POOL_TOKENS,
        free,
        measured_at: at(millis),
    }
}

fn share() -> f64 {
    f64::from(HOSTS).recip()
}

// Guards against hosts that each fill the whole of what all of them see as free.
#[test]
fn hosts_that_see_the_same_free_memory_divide_it() {
    let settings = HostCapacitySettings {
        free_factor: 1,
        ..HostCapacitySettings::default()
    };
    let admitted: u64 = (0..HOSTS)
        .map(|seed| {
            let mut capacity = HostCapacity::new(settings, u64::from(seed));
            let update = capacity.update(at(6_000), 0, Some(pool(100_000, 5_800)), share());
            update.kv_tokens / settings.usual_tokens * settings.usual_tokens
        })
        .sum();
    assert!((80_000..=120_000).contains(&admitted), "{admitted}");
}

// Guards against an overfull pool that stays full: each host gives back its share of the excess.
#[test]
fn a_negative_free_memory_lowers_the_capacity_below_what_is_held() {
    let settings = HostCapacitySettings::default();
    let mut capacity = HostCapacity::new(settings, 1);
    capacity.update(at(6_000), 12_000, None, share());
    let update = capacity.update(at(6_200), 12_000, Some(pool(-126_000, 6_100)), share());
    assert!(update.kv_tokens < 12_000, "{}", update.kv_tokens);
}

// Guards against refusals for want of figures, and against a host that fills engines blindly: reports
// that stop leave what it had and a few drafts more, however often the capacity is updated.
#[test]
fn without_reports_a_host_keeps_what_it_had_and_a_few_drafts() {
    let settings = HostCapacitySettings::default();
    let mut capacity = HostCapacity::new(settings, 1);
    let at_start = capacity.update(at(100), 0, None, share());
    assert_eq!(
        at_start.kv_tokens,
        u64::MAX,
        "a host that knows no engine does not limit"
    );
    capacity.update(at(5_800), 9_000, None, share());
    capacity.update(at(6_000), 9_000, Some(pool(50_000, 5_900)), share());
    let mut held = 9_000;
    for update in 0..200 {
        let update = capacity.update(at(8_500 + 200 * update), held, None, share());
        assert_eq!(update.kv_tokens, 9_000 + 4 * settings.usual_tokens);
        assert_eq!(update.max_request_tokens, u64::MAX);
        held = update.kv_tokens;
    }
}

// Guards against a sum that overflows, and then counts engines as free, by reports of impossible use.
#[test]
fn impossible_reports_leave_no_free_memory() {
    let mut planner = planner();
    for name in ["a0", "a1", "b0", "b1"] {
        planner.report(&report(name, 1_000, u64::MAX));
    }
    let measured = measure(&planner, at(1_500)).unwrap();
    assert!(measured.free < 0, "{}", measured.free);
}
