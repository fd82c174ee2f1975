//! Cost of an evidence record at the entry, at a keeper and in offline verification.
#![allow(
    missing_docs,
    reason = "the macros of the harness generate public items"
)]
#![allow(
    clippy::unwrap_used,
    reason = "a bench that can't build its input has no result"
)]

use std::hint::black_box;

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use pollendrift_coordination::base::{Incarnation, MonotonicTime, SequenceNumber, WallTime};
use pollendrift_coordination::evidence::{
    BodyDigest, BufferSettings, ChainWriter, DecisionTrace, EvidenceBatch, EvidenceBuffer,
    EvidenceEvent, HeadTable, RequestBegun, SealedRecord, verify,
};

const RECORDS: u64 = 1_000;

fn writer() -> ChainWriter {
    ChainWriter {
        host: "brest-1".into(),
        incarnation: Incarnation(7),
    }
}

fn event() -> EvidenceEvent {
    EvidenceEvent::RequestBegun(RequestBegun {
        request: "brest-1-7-000001".into(),
        customer: "ponant".into(),
        operation: "POST /v1/completions".into(),
        key: None,
        body: BodyDigest::of(&[b'x'; 512]),
        revision: 4.into(),
        decision: DecisionTrace {
            selector: Some("drafts".into()),
            labels: [("tier".into(), "large".into())].into(),
            considered: Vec::new(),
        },
    })
}

/// Returns a batch of [`RECORDS`] records, as a keeper receives it.
fn batch() -> EvidenceBatch {
    let settings = BufferSettings {
        max_batch_records: usize::MAX,
        ..BufferSettings::default()
    };
    let mut buffer = EvidenceBuffer::new(writer(), settings, ["k1".into()]);
    for _ in 0..RECORDS {
        buffer
            .begin(MonotonicTime::START, WallTime(0), event())
            .unwrap();
    }
    let due = buffer
        .due_batches(MonotonicTime::from_millis(100), WallTime(0))
        .unwrap();
    due.into_iter().next().unwrap().batch
}

fn bench(criterion: &mut Criterion) {
    let batch = batch();
    let bytes: usize = batch.lines.iter().map(|line| line.len()).sum();
    println!("bytes of a record: {}", bytes / batch.lines.len());
    let mut group = criterion.benchmark_group("evidence");
    group.throughput(Throughput::Elements(1));
    group.bench_function("entry: begin and drop once stored", |bencher| {
        let mut buffer = EvidenceBuffer::new(writer(), BufferSettings::default(), ["k1".into()]);
        let mut sequence = SequenceNumber(0);
        bencher.iter(|| {
            sequence = buffer
                .begin(MonotonicTime::START, WallTime(0), event())
                .unwrap();
            buffer
                .finish(MonotonicTime::START, WallTime(0), event())
                .unwrap();
            buffer.acknowledge(&"k1".into(), &writer(), sequence.next());
        });
    });
    group.throughput(Throughput::Elements(RECORDS));
    group.bench_function("keeper: check and commit", |bencher| {
        bencher.iter(|| {
            let mut table = HeadTable::default();
            let accepted = table.check(black_box(&batch)).unwrap();
            table.commit(&accepted.records);
        });
    });
    group.bench_function("inspector: verify", |bencher| {
        bencher.iter(|| verify("export", batch.lines.iter().map(|line| &**line), &[]));
    });
    group.bench_function("inspector: parse", |bencher| {
        bencher.iter(|| {
            let parsed = batch.lines.iter().map(|line| SealedRecord::parse(line));
            parsed.filter(Result::is_ok).count()
        });
    });
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
