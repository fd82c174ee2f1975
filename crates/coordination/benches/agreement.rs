//! CPU cost of the agreement core: three keepers without network or disk.
//!
//! `commands` is the rate at which one thread runs all three keepers through propose, replicate,
//! sync report and commit, at 1, 8 and 64 proposals per batch. `syncs` in the printed lines is the
//! number of persist requests of one keeper per 1,000 commands, which group commit reduces.

use std::collections::{BTreeSet, VecDeque};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use pollendrift_coordination::agreement::{
    AgreementEffect, AgreementEnvelope, AgreementInput, AgreementNode, AgreementSettings, KeeperId,
    KeeperRole, Membership, ProposalOutcome, RequestToken, RestoredState,
};
use pollendrift_coordination::base::{HostName, Incarnation, MonotonicTime};

const BATCHES: [u64; 3] = [1, 8, 64];
const COMMAND_BYTES: usize = 256;
const SNAPSHOT_AFTER: u64 = 10_000;

/// Three keepers with instant messages and syncs.
struct InstantGroup {
    nodes: Vec<AgreementNode>,
    now: MonotonicTime,
    queue: VecDeque<(usize, AgreementInput)>,
    committed: u64,
    syncs: u64,
    sent_bytes: usize,
    counts_bytes: bool,
}

impl InstantGroup {
    fn new() -> Self {
        let keepers: Vec<KeeperId> = ["a", "b", "c"].map(keeper).to_vec();
        let membership = Membership {
            voters: keepers.iter().cloned().collect(),
            learners: BTreeSet::new(),
        };
        let settings = AgreementSettings {
            snapshot_after_entries: SNAPSHOT_AFTER,
            ..AgreementSettings::default()
        };
        let start = |(seed, id): (usize, &KeeperId)| {
            let restored = RestoredState::founding(membership.clone());
            let start = MonotonicTime::START;
            AgreementNode::new(settings.clone(), id.clone(), restored, start, seed as u64)
        };
        let mut group = Self {
            nodes: keepers.iter().enumerate().map(start).collect(),
            now: MonotonicTime::START,
            queue: VecDeque::new(),
            committed: 0,
            syncs: 0,
            sent_bytes: 0,
            counts_bytes: false,
        };
        group.run_for(Duration::from_secs(2));
        group
    }

    fn leader(&self) -> Option<usize> {
        let leads = |node: &AgreementNode| node.status().role == KeeperRole::Leader;
        self.nodes.iter().position(leads)
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now.after(duration);
        while self.now < end {
            let due = self.nodes.iter().map(AgreementNode::next_deadline).min();
            self.now = due.unwrap_or(end).max(self.now).min(end);
            for index in 0..self.nodes.len() {
                self.tick(index, Vec::new());
            }
            self.process_queue();
        }
    }

    fn propose(&mut self, batch: u64, command: &Arc<[u8]>) {
        let Some(leader) = self.leader() else {
            return;
        };
        let proposal = |token| AgreementInput::Propose {
            token: RequestToken(token),
            command: command.clone(),
        };
        self.tick(leader, (0..batch).map(proposal).collect());
        self.process_queue();
    }

    fn process_queue(&mut self) {
        while let Some((index, input)) = self.queue.pop_front() {
            self.tick(index, vec![input]);
        }
    }

    fn tick(&mut self, index: usize, inputs: Vec<AgreementInput>) {
        let effects = self.nodes[index].tick(self.now, inputs);
        for effect in effects {
            self.handle_effect(index, effect);
        }
    }

    fn handle_effect(&mut self, index: usize, effect: AgreementEffect) {
        match effect {
            AgreementEffect::Send(envelope) => self.transmit(envelope),
            AgreementEffect::Persist(request) => {
                self.syncs += u64::from(index == 0);
                let synced = AgreementInput::Persisted(request.sequence);
                self.queue.push_back((index, synced));
            }
            AgreementEffect::Proposal {
                outcome: ProposalOutcome::Committed(_),
                ..
            } => self.committed += 1,
            AgreementEffect::SnapshotRequested { index: at } => {
                let bytes = Arc::from([0_u8; 8].as_slice());
                let taken = AgreementInput::SnapshotTaken { index: at, bytes };
                self.queue.push_back((index, taken));
            }
            _ => {}
        }
    }

    fn transmit(&mut self, envelope: AgreementEnvelope) {
        if self.counts_bytes {
            let mut bytes = Vec::new();
            if ciborium::into_writer(&envelope, &mut bytes).is_ok() {
                self.sent_bytes += bytes.len();
            }
        }
        let receiver = self.nodes.iter().position(|node| *node.id() == envelope.to);
        if let Some(receiver) = receiver {
            let message = AgreementInput::Message(envelope);
            self.queue.push_back((receiver, message));
        }
    }
}

fn keeper(host: &str) -> KeeperId {
    KeeperId {
        host: HostName::from(host),
        incarnation: Incarnation(1),
    }
}

fn command() -> Arc<[u8]> {
    Arc::from(vec![7_u8; COMMAND_BYTES])
}

/// Prints counts that don't depend on time: syncs per command, and bytes sent by an idle group.
fn print_counts() {
    const COMMANDS: u64 = 64_000;
    for batch in BATCHES {
        let mut group = InstantGroup::new();
        let before = (group.committed, group.syncs);
        for _ in 0..COMMANDS / batch {
            group.propose(batch, &command());
        }
        let committed = group.committed - before.0;
        let syncs = (group.syncs - before.1) as f64 * 1_000.0 / committed as f64;
        println!("batch {batch}: {committed} committed, {syncs:.1} syncs per 1000 commands");
    }
    let mut group = InstantGroup::new();
    group.counts_bytes = true;
    group.run_for(Duration::from_secs(10));
    let per_second = group.sent_bytes / 10;
    println!("idle group of three: {per_second} bytes a second on all links together");
}

fn bench_commands(criterion: &mut Criterion) {
    print_counts();
    let mut benches = criterion.benchmark_group("commands");
    let command = command();
    for batch in BATCHES {
        benches.throughput(Throughput::Elements(batch));
        let mut group = InstantGroup::new();
        benches.bench_function(BenchmarkId::from_parameter(batch), |bencher| {
            bencher.iter(|| group.propose(black_box(batch), &command));
        });
    }
    benches.finish();
}

criterion_group!(benches, bench_commands);
criterion_main!(benches);
