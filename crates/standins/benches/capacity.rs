//! Cost of one ledger step, and of encoding and decoding one frame of renewals between peers.
#![allow(missing_docs, reason = "the macros of criterion generate public items")]

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use pollendrift::peers::{PeerFrame, decode_frame, encode_frame};
use pollendrift_coordination::base::{
    AttemptNumber, Incarnation, LayerRange, SequenceNumber, TokenPosition,
};
use pollendrift_coordination::leases::{
    AnnouncedLoad, BackendLeaseSettings, InitialSync, LeaseBatch, LeaseScope, LeaseTable,
    ServerAnnounce, ServerState,
};
use pollendrift_coordination::ledger::{
    ChainLink, GeneratedToken, LedgerSettings, TokenLedger, TokenResult, TokenText,
};

const LAYERS: u32 = 64;
const STAGES: u32 = 4;
const TOKENS: u32 = 208;
const RENEWALS: u64 = 256;
const MAX_FRAME_BYTES: usize = 1 << 20;

fn route() -> Vec<ChainLink> {
    let span = LAYERS / STAGES;
    let link = |stage: u32| ChainLink {
        server: format!("engine-{stage}").into(),
        layers: LayerRange {
            first: stage * span,
            end: (stage + 1) * span,
        },
        version: "v1".into(),
    };
    (0..STAGES).map(link).collect()
}

fn result(position: u32) -> TokenResult {
    TokenResult {
        request: "r1".into(),
        attempt: AttemptNumber(1),
        position: TokenPosition(position),
        chain: route(),
        token: GeneratedToken {
            id: u64::from(position),
            text: TokenText::from("word ".to_owned()),
        },
    }
}

/// Accepts one answer token by token; the reported throughput is per token.
fn ledger(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ledger");
    group.throughput(Throughput::Elements(u64::from(TOKENS)));
    let fresh = || {
        let settings = LedgerSettings::default();
        let mut ledger = TokenLedger::new("r1".into(), LAYERS, "v1".into(), settings);
        assert!(ledger.begin_attempt(AttemptNumber(1), route()).is_ok());
        let results: Vec<TokenResult> = (0..TOKENS).map(result).collect();
        (ledger, results)
    };
    group.bench_function("answer of 208 tokens over 4 stages", |bencher| {
        bencher.iter_batched(
            fresh,
            |(mut ledger, results)| {
                for result in results {
                    black_box(ledger.accept(result));
                }
                ledger
            },
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

fn renewals() -> LeaseBatch {
    let mut table = LeaseTable::new(BackendLeaseSettings::default());
    let now = pollendrift_coordination::base::MonotonicTime::START;
    let mut cursor = Default::default();
    let mut batch = table
        .batch(now, cursor, 1, LeaseScope::Own, InitialSync::Full)
        .0;
    for sequence in 1..=2 {
        for index in 0..RENEWALS {
            let announce = ServerAnnounce {
                server: format!("engine-{index:05}").into(),
                incarnation: Incarnation(1_764_720_000_000),
                sequence: SequenceNumber(sequence),
                address: "10.0.0.1:8000".into(),
                data_centre: "centre-1".into(),
                state: ServerState::Serving,
                checks_fencing: true,
                offer: "{}".into(),
                load: AnnouncedLoad::default(),
            };
            table.merge(now.after(Duration::from_secs(sequence)), announce);
        }
        let limit = usize::try_from(RENEWALS).unwrap_or(usize::MAX);
        let now = now.after(Duration::from_secs(2));
        let (new_batch, new_cursor) =
            table.batch(now, cursor, limit + 1, LeaseScope::Own, InitialSync::Full);
        (batch, cursor) = (new_batch, new_cursor);
    }
    batch
}

fn frames(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("frame of 256 renewals");
    group.throughput(Throughput::Elements(RENEWALS));
    let frame = PeerFrame::Leases(renewals());
    group.bench_function("encode", |bencher| {
        bencher.iter(|| encode_frame(black_box(&frame), MAX_FRAME_BYTES));
    });
    let Ok(bytes) = encode_frame(&frame, MAX_FRAME_BYTES) else {
        return;
    };
    println!("{} bytes", bytes.len());
    group.bench_function("decode", |bencher| {
        bencher.iter(|| decode_frame(black_box(&bytes)));
    });
    group.finish();
}

criterion_group!(benches, ledger, frames);
criterion_main!(benches);
