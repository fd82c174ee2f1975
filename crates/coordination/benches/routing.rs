//! Cost of a routing decision, its feedback, a heartbeat, a refusal and a tick, by fleet size.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pollendrift_coordination::base::{
    Incarnation, LayerRange, ModelName, MonotonicTime, SequenceNumber, ServerName,
};
use pollendrift_coordination::routing::{
    ByteRate, EngineAnnouncement, EngineRecord, EngineRole, FleetPlanner, LoadReport, LoadValues,
    PermitAll, RoutePlanner, RoutePriority, RouteQuery, RoutingSettings, TokenCount, TokenRate,
};

const SIZES: [u32; 4] = [40, 400, 4_000, 12_000];
const DATA_CENTRES: u32 = 14;
const KINDS: u32 = 4;
const SPAN: u32 = 16;
const LAYERS: u32 = 64;
const LATER: MonotonicTime = MonotonicTime::from_millis(60_000);

fn engine(index: u32) -> EngineAnnouncement {
    let kind = index % KINDS;
    let first = index / KINDS % (LAYERS / SPAN) * SPAN;
    let end = first + SPAN;
    EngineAnnouncement {
        server: format!("engine-{index}").into(),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(1),
        kind: format!("kind-{kind}").into(),
        data_centre: format!("dc-{}", index / 16 % DATA_CENTRES).into(),
        model: "m".into(),
        version: "v1".into(),
        model_layers: LAYERS,
        layers: LayerRange { first, end },
        adapters: Vec::new(),
        role: EngineRole::Both,
        kv_capacity: TokenCount(200_000),
        prefill_rate: TokenRate(5_000 * (kind + 1)),
        decode_rate: TokenRate(500 * (kind + 1)),
        step_floor: Duration::from_millis(4),
        link_rate: ByteRate(125_000_000 * 10_u64.pow(kind.min(2))),
        activation_bytes: 16_384,
        kv_bytes: 65_536,
    }
}

fn planner(size: u32) -> FleetPlanner {
    planner_with(RoutingSettings::default(), size)
}

fn planner_with(settings: RoutingSettings, size: u32) -> FleetPlanner {
    let mut planner = FleetPlanner::new(settings, 7);
    for index in 0..size {
        let outcome = planner.announce(MonotonicTime::START, engine(index));
        assert!(outcome.is_ok());
    }
    planner.tick(LATER);
    planner
}

fn query(model: &ModelName) -> RouteQuery<'_> {
    RouteQuery {
        model,
        version: None,
        adapter: None,
        within: None,
        allowed: &PermitAll,
        excluded: &[],
        prompt_tokens: 512,
        expected_tokens: 208,
        prefixes: &[],
        deadline: None,
        priority: RoutePriority::Normal,
        share: None,
        continues_answer: false,
        connected: &[],
    }
}

fn bench_decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_decision");
    let model = ModelName::from("m");
    for size in SIZES {
        let mut planner = planner(size);
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(planner.choose(LATER, &query(&model))));
        });
    }
    group.finish();
}

/// Measures a decision with a demand share, corrected times and preferred connections.
fn bench_full_decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_full_decision");
    let model = ModelName::from("m");
    let settings = RoutingSettings {
        time_correction: true,
        connected_advantage: Duration::from_millis(20),
        ..RoutingSettings::default()
    };
    let connected = ["engine-0", "engine-1", "engine-16"].map(ServerName::from);
    for size in SIZES {
        let mut planner = planner_with(settings, size);
        let query = RouteQuery {
            share: Some(0.1),
            connected: &connected,
            ..query(&model)
        };
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(planner.choose(LATER, &query)));
        });
    }
    group.finish();
}

fn bench_feedback(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_feedback");
    let model = ModelName::from("m");
    for size in SIZES {
        let mut planner = planner(size);
        let chosen = planner.choose(LATER, &query(&model));
        let Ok(plan) = chosen else {
            continue;
        };
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                let flight = planner.started(LATER, &plan);
                planner.first_token(LATER, flight);
                planner.finished(LATER, flight);
            });
        });
    }
    group.finish();
}

/// Measures one heartbeat: an announcement with a load report.
fn bench_heartbeat(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_heartbeat");
    for size in SIZES {
        let mut planner = planner(size);
        let mut number = 1;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                number += 1;
                let mut announcement = engine(number % size);
                announcement.sequence = SequenceNumber(u64::from(number) + 1);
                let report = LoadReport {
                    server: announcement.server.clone(),
                    incarnation: Incarnation(1),
                    sequence: SequenceNumber(u64::from(number) + 1),
                    measured_at: LATER,
                    figures: LoadValues::default(),
                };
                assert!(planner.announce(LATER, announcement).is_ok());
                black_box(planner.report(&report))
            });
        });
    }
    group.finish();
}

fn bench_refusal(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_refusal");
    let model = ModelName::from("m");
    let none = |_: &EngineRecord| false;
    for size in SIZES {
        let mut planner = planner(size);
        let mut query = query(&model);
        query.allowed = &none;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(planner.choose(LATER, &query)).is_err());
        });
    }
    group.finish();
}

fn bench_tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_tick");
    group.sample_size(10);
    for size in SIZES {
        let mut planner = planner(size);
        let mut now = LATER;
        let mut sequence = 1;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                now = now.after(Duration::from_secs(1));
                sequence += 1;
                let mut changed = engine(0);
                changed.sequence = SequenceNumber(sequence);
                changed.decode_rate = TokenRate(500 + u32::try_from(sequence % 2).unwrap_or(0));
                assert!(planner.announce(now, changed).is_ok());
                planner.tick(now);
            });
        });
    }
    group.finish();
}

criterion_group!(
    benches,
    bench_decision,
    bench_full_decision,
    bench_feedback,
    bench_heartbeat,
    bench_refusal,
    bench_tick
);
criterion_main!(benches);
