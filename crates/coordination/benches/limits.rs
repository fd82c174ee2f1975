//! Cost of an admission decision and of a tick, by the number of waiting requests.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pollendrift_coordination::base::{CustomerName, MonotonicTime, RequestId};
use pollendrift_coordination::limits::{
    AdmissionCapacity, AdmissionRequest, AdmissionTable, AdmissionVerdict, LimitSettings,
    PriorityReserve, RequestPriority,
};

const CUSTOMERS: u64 = 24;

fn request(number: u64) -> AdmissionRequest {
    AdmissionRequest {
        request: RequestId::from(number.to_string()),
        customer: CustomerName::from((number % CUSTOMERS).to_string()),
        priority: RequestPriority::DESCENDING[number as usize % 3],
        tokens: 900,
        run_time: Duration::from_millis(60),
        deadline: Some(MonotonicTime::from_millis(number * 200 + 1_000_000)),
        is_return: number.is_multiple_of(10),
    }
}

/// A table with ten running requests, and `waiting` others.
fn table(waiting: u64) -> AdmissionTable {
    let settings = LimitSettings {
        floor_percent: 30,
        return_percent: 6,
        usual_demand_percent: 200,
        ..LimitSettings::default()
    };
    let capacity = AdmissionCapacity {
        max_in_flight: u32::MAX,
        kv_tokens: 9_000,
        max_request_tokens: 100_000,
        reserve: PriorityReserve {
            normal: 100,
            batch: 200,
        },
    };
    let mut table = AdmissionTable::new(settings, capacity);
    let mut number = 0;
    while u64::from(table.queued()) < waiting || table.in_flight() < 10 {
        table.offer(MonotonicTime::START, request(number));
        number += 1;
    }
    table
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for waiting in [0, 10, 1_000] {
        let mut table = table(waiting);
        let mut number = 1_000_000;
        group.bench_function(BenchmarkId::new("offer and end", waiting), |bencher| {
            bencher.iter(|| {
                number += 1;
                let now = MonotonicTime::from_millis(number / 1_000);
                let verdict = table.offer(now, black_box(request(number)));
                if let AdmissionVerdict::Admit(ticket) | AdmissionVerdict::Queue { ticket, .. } =
                    verdict
                {
                    table.finish(now, ticket);
                }
            });
        });
        group.bench_function(BenchmarkId::new("tick", waiting), |bencher| {
            bencher.iter(|| black_box(table.tick(MonotonicTime::START)));
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
