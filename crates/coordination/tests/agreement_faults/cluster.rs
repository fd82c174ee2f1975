//! Keepers with simulated network and disks, in virtual time, determined by one seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use pollendrift_coordination::agreement::{
    AgreementEffect, AgreementEnvelope, AgreementInput, AgreementNode, AgreementSettings,
    HandOverOutcome, KeeperId, KeeperRole, LogEntry, LogIndex, Membership, ProposalOutcome,
    RequestToken, RestoredState, Term,
};
use pollendrift_coordination::base::MonotonicTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::callers::CallerTally;
use super::checks::{HistoryCheck, fold_state};
use super::disk::FakeDisk;
use super::host::{FakeHost, host_index, keeper_id, read_snapshot};

/// Microseconds of virtual time.
pub(crate) type Micros = u64;
pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
const CLIENT_INTERVAL: Micros = 7 * MILLISECOND;
const LOG_CHECK_INTERVAL: Micros = 100 * MILLISECOND;

/// Delay, loss and duplication of messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NetworkFaults {
    pub(crate) max_delay: Micros,
    pub(crate) drop_percent: u32,
    pub(crate) duplicate_percent: u32,
}

impl NetworkFaults {
    pub(crate) const NONE: Self = Self {
        max_delay: 900,
        drop_percent: 0,
        duplicate_percent: 0,
    };
    pub(crate) const UNRELIABLE: Self = Self {
        max_delay: 40 * MILLISECOND,
        drop_percent: 15,
        duplicate_percent: 15,
    };
}

#[derive(Debug)]
pub(crate) enum Event {
    Deliver(AgreementEnvelope),
    Synced { host: usize, generation: u64 },
    Wake { host: usize, generation: u64 },
    Client,
}

/// The keepers, their network and their callers.
pub(crate) struct Cluster {
    pub(crate) now: Micros,
    pub(crate) random: ChaCha8Rng,
    pub(crate) check: HistoryCheck,
    pub(crate) faults: NetworkFaults,
    pub(crate) tally: CallerTally,
    pub(crate) last_accepted_at: Micros,
    /// Whether no disk fault occurred; otherwise a majority of disks may lack committed entries.
    pub(crate) has_no_disk_fault: bool,
    pub(crate) changes: BTreeMap<RequestToken, ProposalOutcome>,
    pub(crate) hand_overs: Vec<HandOverOutcome>,
    pub(crate) settings: AgreementSettings,
    pub(crate) hosts: Vec<FakeHost>,
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    pub(crate) events: BinaryHeap<Reverse<(Micros, u64)>>,
    pub(crate) event_bodies: BTreeMap<u64, Event>,
    pub(crate) next_event: u64,
    pub(crate) next_token: u64,
    pub(crate) pending_reads: BTreeMap<RequestToken, LogIndex>,
    pub(crate) next_log_check: Micros,
    /// Time between two requests of callers.
    pub(crate) client_interval: Micros,
    /// Maximum duration of a sync.
    pub(crate) max_sync: Micros,
    pub(crate) lost_identity: BTreeSet<usize>,
}

impl Cluster {
    /// Starts a new group of `keepers` voters.
    pub(crate) fn new(seed: u64, keepers: usize, settings: AgreementSettings) -> Self {
        let mut cluster = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            check: HistoryCheck::default(),
            faults: NetworkFaults::NONE,
            tally: CallerTally::default(),
            last_accepted_at: 0,
            has_no_disk_fault: true,
            changes: BTreeMap::new(),
            hand_overs: Vec::new(),
            settings,
            hosts: Vec::new(),
            cut_links: BTreeSet::new(),
            events: BinaryHeap::new(),
            event_bodies: BTreeMap::new(),
            next_event: 0,
            next_token: 1,
            pending_reads: BTreeMap::new(),
            next_log_check: 0,
            client_interval: CLIENT_INTERVAL,
            lost_identity: BTreeSet::new(),
            max_sync: 3 * MILLISECOND,
        };
        let voters: BTreeSet<KeeperId> = (0..keepers).map(|host| keeper_id(host, 1)).collect();
        let membership = Membership {
            voters,
            learners: BTreeSet::new(),
        };
        for host in 0..keepers {
            let founding = RestoredState::founding(membership.clone());
            cluster
                .hosts
                .push(FakeHost::new(FakeDisk::from_state(founding)));
            cluster.start(host);
        }
        cluster.schedule(CLIENT_INTERVAL, Event::Client);
        cluster
    }

    pub(crate) fn id(&self, host: usize) -> KeeperId {
        keeper_id(host, self.hosts[host].incarnation)
    }

    pub(crate) fn node(&self, host: usize) -> Option<&AgreementNode> {
        self.hosts[host].node.as_ref()
    }

    /// The running leader of the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let term_of = |host: &usize| self.node(*host).map(|node| node.status().term);
        let leads = |host: &usize| self.leads(*host) && !self.hosts[*host].is_paused;
        (0..self.hosts.len()).filter(leads).max_by_key(term_of)
    }

    /// Whether a host claims to lead.
    pub(crate) fn leads(&self, host: usize) -> bool {
        let role = self.node(host).map(|node| node.status().role);
        role == Some(KeeperRole::Leader)
    }

    /// Returns the leader; waits up to 10 s for one.
    pub(crate) fn await_leader(&mut self) -> usize {
        for _ in 0..1_000 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run_for(10 * MILLISECOND);
        }
        self.check
            .record_violation("no leader within 10 s".to_owned());
        0
    }

    pub(crate) fn random_host(&mut self) -> usize {
        self.random.random_range(0..self.hosts.len())
    }

    pub(crate) fn has_lost_identity(&self, host: usize) -> bool {
        self.lost_identity.contains(&host)
    }

    pub(crate) fn leader_term(&self) -> Option<Term> {
        let leader = self.node(self.leader()?)?;
        Some(leader.status().term)
    }

    /// Records a violation unless `is_met`.
    pub(crate) fn expect(&mut self, is_met: bool, finding: &str) {
        if !is_met {
            self.check.record_violation(finding.to_owned());
        }
    }

    /// Runs for a random time up to `max`.
    pub(crate) fn run_for_random(&mut self, max: Micros) {
        let duration = self.random.random_range(0..=max);
        self.run_for(duration);
    }

    pub(crate) fn run_for(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > end || !self.check.violations.is_empty() {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.event_bodies.remove(&id) {
                self.handle_event(event);
            }
            self.check_logs();
        }
        self.now = end;
    }

    fn check_logs(&mut self) {
        if self.now < self.next_log_check {
            return;
        }
        self.next_log_check = self.now + LOG_CHECK_INTERVAL;
        for left in 0..self.hosts.len() {
            for right in left + 1..self.hosts.len() {
                let nodes = (&self.hosts[left].node, &self.hosts[right].node);
                if let (Some(left), Some(right)) = nodes {
                    self.check.compare_logs(left, right);
                }
            }
        }
    }

    pub(crate) fn schedule(&mut self, at: Micros, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event)));
        self.event_bodies.insert(self.next_event, event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver(envelope) => {
                let host = host_index(&envelope.to);
                if !self.cut_links.contains(&(host_index(&envelope.from), host)) {
                    self.input(host, AgreementInput::Message(envelope));
                }
            }
            Event::Synced { host, generation } if self.hosts[host].generation == generation => {
                if let Some(request) = self.hosts[host].writing.take() {
                    self.hosts[host].disk.write(&request, usize::MAX);
                    self.input(host, AgreementInput::Persisted(request.sequence));
                }
            }
            Event::Wake { host, generation } if self.hosts[host].generation == generation => {
                self.hosts[host].wake_at = None;
                if !self.hosts[host].is_paused {
                    self.tick(host, Vec::new());
                }
            }
            Event::Synced { .. } | Event::Wake { .. } => {}
            Event::Client => self.run_client(),
        }
    }

    fn input(&mut self, host: usize, input: AgreementInput) {
        if self.hosts[host].is_paused {
            self.hosts[host].backlog.push(input);
            return;
        }
        self.tick(host, vec![input]);
    }

    pub(crate) fn tick(&mut self, index: usize, inputs: Vec<AgreementInput>) {
        let host = &mut self.hosts[index];
        let now = MonotonicTime::from_micros(host.clock.read(self.now));
        let Some(node) = &mut host.node else {
            return;
        };
        let effects = node.tick(now, inputs);
        let wake_at = host.clock.when(node.next_deadline().as_micros());
        let generation = host.generation;
        if host.wake_at.is_none_or(|at| wake_at < at) && wake_at < Micros::MAX / 2 {
            host.wake_at = Some(wake_at);
            self.schedule(
                wake_at.max(self.now + 1),
                Event::Wake {
                    host: index,
                    generation,
                },
            );
        }
        for effect in effects {
            self.handle_effect(index, effect);
        }
    }

    fn handle_effect(&mut self, host: usize, effect: AgreementEffect) {
        match effect {
            AgreementEffect::Send(envelope) => self.transmit(envelope),
            AgreementEffect::Persist(request) => {
                let generation = self.hosts[host].generation;
                let latency = self.random.random_range(200..self.max_sync);
                assert!(
                    self.hosts[host].writing.is_none(),
                    "two persist requests are outstanding"
                );
                self.hosts[host].writing = Some(request);
                self.schedule(self.now + latency, Event::Synced { host, generation });
            }
            AgreementEffect::Committed(entries) => {
                for entry in entries {
                    self.apply(host, &entry);
                }
            }
            AgreementEffect::InstallSnapshot(snapshot) => {
                let (index, state) = read_snapshot(&snapshot);
                self.hosts[host].applied = index;
                self.hosts[host].state = state;
            }
            AgreementEffect::SnapshotRequested { index } => self.take_snapshot(host, index),
            AgreementEffect::Proposal { token, outcome } => self.record_proposal(token, outcome),
            AgreementEffect::Read { token, outcome } => self.record_read(host, token, &outcome),
            AgreementEffect::MembershipChange { token, outcome } => {
                self.changes.insert(token, outcome);
            }
            AgreementEffect::HandOver { outcome, .. } => self.hand_overs.push(outcome),
            AgreementEffect::RoleChanged(status) if status.role == KeeperRole::Leader => {
                let id = self.id(host);
                self.check.check_leader(status.term, &id);
            }
            AgreementEffect::IdentityLost { .. } => {
                self.lost_identity.insert(host);
            }
            AgreementEffect::RoleChanged(_)
            | AgreementEffect::MembershipChanged { .. }
            | AgreementEffect::RedundancyChanged(_)
            | AgreementEffect::MessageDropped { .. } => {}
        }
    }

    fn transmit(&mut self, envelope: AgreementEnvelope) {
        self.check.check_vote(&envelope);
        let faults = self.faults;
        if self.random.random_range(0..100) < faults.drop_percent {
            return;
        }
        let is_duplicated = self.random.random_range(0..100) < faults.duplicate_percent;
        if is_duplicated {
            let delay = self.random.random_range(100..=faults.max_delay * 3);
            self.schedule(self.now + delay, Event::Deliver(envelope.clone()));
        }
        let delay = self.random.random_range(100..=faults.max_delay);
        self.schedule(self.now + delay, Event::Deliver(envelope));
    }

    fn apply(&mut self, index: usize, entry: &LogEntry) {
        let id = self.id(index);
        let host = &mut self.hosts[index];
        if entry.index != host.applied.next() {
            let text = format!("{id} applies {} after {}", entry.index, host.applied);
            self.check.record_violation(text);
        }
        host.applied = entry.index;
        host.state = fold_state(host.state, entry);
        if self.check.check_delivery(&id, entry) && self.has_no_disk_fault {
            self.check_synced(index, entry);
        }
    }

    /// Checks that a quorum synced a committed entry before any keeper delivered it.
    fn check_synced(&mut self, host: usize, entry: &LogEntry) {
        let Some(node) = self.hosts[host].node.as_ref() else {
            return;
        };
        let membership = node.membership();
        let holds = |voter: &&KeeperId| self.hosts[host_index(voter)].disk.holds(entry);
        let held = membership.voters.iter().filter(holds).count();
        if held < membership.quorum() {
            let text = format!("{} committed, but only {held} disks hold it", entry.index);
            self.check.record_violation(text);
        }
    }

    fn take_snapshot(&mut self, host: usize, index: LogIndex) {
        // Padding makes the snapshot larger than one chunk.
        const PADDING: [u8; 100] = [0; 100];
        let mut bytes = index.0.to_be_bytes().to_vec();
        bytes.extend_from_slice(&self.hosts[host].state.to_be_bytes());
        bytes.extend_from_slice(&PADDING);
        let bytes = Arc::from(bytes);
        self.tick(host, vec![AgreementInput::SnapshotTaken { index, bytes }]);
    }
}
