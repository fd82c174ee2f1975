//! Cost of labels, selectors, changes and claims as the number of customers grows.
//!
//! Each customer has its own label rule and selector for one of five models; there are also a few
//! general ones. `select` finds the selector of one request by the index, `explain` by a scan over
//! all selectors. The printed lines report sizes, which criterion does not measure.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use pollendrift_coordination::agreement::{LogIndex, StateMachine};
use pollendrift_coordination::base::{
    Incarnation, MonotonicTime, Revision, SequenceNumber, WallTime,
};
use pollendrift_coordination::claims::{
    AnswerBody, ClaimOutcome, ClaimScope, ClaimTicket, RequestDigest, SettleClaim, StoredAnswer,
    TakeClaim,
};
use pollendrift_coordination::configuration::{
    ChangeLog, ChangeRequest, ChangeRetention, Configuration, FollowedConfiguration,
    ParsedConfiguration, RequestFacts, ServerFacts,
};
use pollendrift_coordination::replicated::{
    CommandStamp, ReplicatedCommand, ReplicatedSettings, ReplicatedState, ReplicatedTime,
    StampedCommand,
};

const CUSTOMERS: [usize; 4] = [10, 100, 400, 1_600];
const CLAIMS: [u64; 3] = [1_000, 10_000, 100_000];
const MODELS: usize = 5;

/// Configuration text for `customers` customers; `weight` varies the label of the last one.
fn text_for(customers: usize, weight: usize) -> String {
    let mut text = String::from("kind: labels\non: customer\nname: '*'\nlabels: {tier: basic}\n");
    for model in 0..MODELS {
        let _ = writeln!(
            text,
            "---\nkind: selector\nname: general-{model}\norder: 900\nmodel: m{model}"
        );
    }
    for customer in 0..customers {
        let _ = writeln!(
            text,
            "---\nkind: labels\non: customer\nname: c{customer}\nlabels: {{weight: {}}}\n---\n\
             kind: selector\nname: s{customer}\nmodel: m{}\n\
             for: {{matchLabels: {{customer/name: c{customer}}}}}\n\
             allow: {{matchLabels: {{announced/kind: a}}}}",
            if customer + 1 == customers {
                1 + weight
            } else {
                5
            },
            customer % MODELS,
        );
    }
    text
}

fn build_configuration(customers: usize) -> Configuration {
    let parsed = ParsedConfiguration::parse("bench", &text_for(customers, 0));
    match parsed {
        Ok(parsed) => Configuration::build(Revision(1), &parsed),
        Err(findings) => {
            eprintln!("{findings}");
            Configuration::default()
        }
    }
}

fn request(customers: usize) -> RequestFacts {
    let customer = customers - 1;
    RequestFacts::draft(
        format!("c{customer}").into(),
        format!("m{}", customer % MODELS).into(),
    )
}

fn server() -> ServerFacts {
    ServerFacts {
        name: "e1".into(),
        kind: "a".into(),
        model: Some("m0".into()),
        version: Some("v1".into()),
        adapters: Vec::new(),
        service: None,
        data_centre: "brest".into(),
        role: "both".into(),
    }
}

fn stamp(command: ReplicatedCommand) -> StampedCommand {
    StampedCommand {
        stamp: CommandStamp {
            host: "k1".into(),
            incarnation: Incarnation(1),
            uptime: MonotonicTime::START,
            wall: WallTime(0),
        },
        command,
    }
}

fn change(number: u64, customers: usize) -> StampedCommand {
    let weight = usize::try_from(number % 9).unwrap_or(0);
    stamp(ReplicatedCommand::ChangeConfiguration(ChangeRequest {
        change_id: format!("c{number}").into(),
        based_on: Revision(number),
        operator: "anna".into(),
        text: text_for(customers, weight).into(),
    }))
}

fn take_claim(number: u64) -> TakeClaim {
    TakeClaim {
        scope: ClaimScope {
            customer: format!("c{}", number % 1_600).into(),
            service: "permits".into(),
            key: format!("key-{number:016}").into(),
        },
        digest: RequestDigest([7; 32]),
        request: format!("request-{number:016}").into(),
        ticket: ClaimTicket {
            host: "h1".into(),
            incarnation: Incarnation(1),
            sequence: SequenceNumber(number),
        },
    }
}

fn settle_claim(take: &TakeClaim) -> SettleClaim {
    SettleClaim {
        scope: take.scope.clone(),
        ticket: take.ticket.clone(),
        outcome: ClaimOutcome::Finished(StoredAnswer {
            status: 201,
            headers: Vec::new(),
            body: AnswerBody::Whole(vec![b'x'; 256]),
        }),
    }
}

fn with_claims(count: u64) -> ReplicatedState {
    let mut state = ReplicatedState::new(ReplicatedSettings::default());
    for number in 0..count {
        let take = take_claim(number);
        let settle = settle_claim(&take);
        state.apply_command(LogIndex(0), &stamp(ReplicatedCommand::TakeClaim(take)));
        state.apply_command(LogIndex(0), &stamp(ReplicatedCommand::SettleClaim(settle)));
    }
    state
}

fn selecting(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("selecting");
    for customers in CUSTOMERS {
        let configuration = build_configuration(customers);
        let request = request(customers);
        group.bench_function(BenchmarkId::new("select", customers), |bencher| {
            bencher.iter(|| configuration.select(black_box(&request)));
        });
        group.bench_function(BenchmarkId::new("explain", customers), |bencher| {
            bencher.iter(|| configuration.explain(black_box(&request)));
        });
        group.bench_function(BenchmarkId::new("server_labels", customers), |bencher| {
            bencher.iter(|| configuration.server_labels(black_box(&server())));
        });
    }
    group.finish();
}

fn changing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("changing");
    group.sample_size(10);
    for customers in CUSTOMERS {
        let text = text_for(customers, 0);
        println!("text for {customers} customers: {} bytes", text.len());
        group.bench_function(BenchmarkId::new("check", customers), |bencher| {
            bencher.iter(|| ParsedConfiguration::parse("bench", black_box(&text)));
        });
        let mut state = ReplicatedState::new(ReplicatedSettings::default());
        let mut number = 0;
        group.bench_function(BenchmarkId::new("accept", customers), |bencher| {
            bencher.iter(|| {
                let command = change(number, customers);
                number += 1;
                state.apply_command(LogIndex(number), &command)
            });
        });
        let bytes = state.snapshot().unwrap_or_default();
        group.bench_function(BenchmarkId::new("restore", customers), |bencher| {
            bencher.iter(|| {
                ReplicatedState::new(ReplicatedSettings::default()).restore(black_box(&bytes))
            });
        });
        let snapshot = bytes.len();
        let mut restored = ReplicatedState::new(ReplicatedSettings::default());
        let _ = restored.restore(&bytes);
        let command = change(number, customers);
        let started_at = Instant::now();
        restored.apply_command(LogIndex(number), &command);
        let first = started_at.elapsed();
        println!("first change after a restart, {customers} customers: {first:?}");
        println!("snapshot after {number} changes, {customers} customers: {snapshot} bytes");
    }
    group.finish();
}

/// Change of one document: size of its delta, and a follower's cost to apply the delta or the text.
fn following(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("following");
    group.sample_size(10);
    for customers in CUSTOMERS {
        let mut log = ChangeLog::new(ChangeRetention::default());
        let mut follower = FollowedConfiguration::default();
        let mut deltas = Vec::new();
        for number in 0..2_u8 {
            let based_on = log.revision();
            let request = ChangeRequest {
                change_id: format!("c{number}").into(),
                based_on,
                operator: "anna".into(),
                text: text_for(customers, usize::from(number)).into(),
            };
            log.decide(&request, WallTime(0), ReplicatedTime::default());
            deltas.extend(log.delta_since(based_on));
        }
        let Some((last, first)) = deltas.split_last() else {
            return;
        };
        for delta in first {
            let _ = follower.apply_delta(delta);
        }
        let text = log.canonical().text();
        let changed: usize = last
            .changes
            .iter()
            .flat_map(|c| &c.text)
            .map(|t| t.len())
            .sum();
        println!(
            "{customers} customers, one edit: {} documents, {changed} bytes of {}",
            last.changes.len(),
            text.len()
        );
        group.bench_function(BenchmarkId::new("delta", customers), |bencher| {
            bencher.iter_batched(
                || follower.clone(),
                |mut follower| follower.apply_delta(last),
                BatchSize::LargeInput,
            );
        });
        group.bench_function(BenchmarkId::new("whole", customers), |bencher| {
            bencher.iter(|| FollowedConfiguration::default().apply_text(Revision(2), &text));
        });
    }
    group.finish();
}

fn claiming(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("claiming");
    group.sample_size(10);
    for count in CLAIMS {
        let mut state = with_claims(count);
        let snapshot = state.snapshot().map_or(0, |bytes| bytes.len());
        println!("snapshot with {count} settled claims: {snapshot} bytes");
        group.bench_function(BenchmarkId::new("snapshot", count), |bencher| {
            bencher.iter(|| state.snapshot());
        });
        let mut number = count;
        group.bench_function(BenchmarkId::new("take_and_settle", count), |bencher| {
            bencher.iter(|| {
                let take = take_claim(number);
                let settle = settle_claim(&take);
                number += 1;
                state.apply_command(LogIndex(0), &stamp(ReplicatedCommand::TakeClaim(take)));
                state.apply_command(LogIndex(0), &stamp(ReplicatedCommand::SettleClaim(settle)));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, selecting, changing, following, claiming);
criterion_main!(benches);
