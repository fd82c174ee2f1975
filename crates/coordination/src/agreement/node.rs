//! The agreement core of one keeper: its state, and the tick that processes every input.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::election::VoteCount;
use super::entry::{EntryPayload, HardState, KeeperId, LogEntry, LogIndex, Membership, Term};
use super::identity::IdentityTable;
use super::interface::{
    AgreementEffect, AgreementInput, KeeperRole, MessageDropReason, RestoredState, RoleStatus,
};
use super::leader::LeaderState;
use super::log::ReplicatedLog;
use super::message::{AgreementEnvelope, AgreementMessage, ProcessStart};
use super::persist::{PendingAction, PersistQueue};
use super::settings::AgreementSettings;
use super::snapshot_transfer::SnapshotAssembly;
use crate::base::MonotonicTime;

/// The shortest retry wait of a candidate is the election timeout divided by this.
const RETRY_DIVISOR: u32 = 4;

/// State of a keeper's role in its term.
#[derive(Debug)]
pub(super) enum RoleState {
    Follower,
    PreCandidate(VoteCount),
    Candidate(VoteCount),
    Leader(Box<LeaderState>),
    Retired,
}

/// The agreement core of one keeper.
///
/// It does no I/O: [`AgreementNode::tick`] takes the time and the inputs, and returns the actions
/// to perform. The same calls with the same seed give the same effects.
///
/// Invariants: the term never decreases; at most one vote is granted per term;
/// `delivered <= commit`; a reply that depends on state is sent only after that state is synced.
#[derive(Debug)]
pub struct AgreementNode {
    pub(super) settings: AgreementSettings,
    pub(super) id: KeeperId,
    pub(super) start: ProcessStart,
    pub(super) random: ChaCha8Rng,
    pub(super) now: MonotonicTime,
    pub(super) hard_state: HardState,
    pub(super) log: ReplicatedLog,
    pub(super) writes: PersistQueue,
    pub(super) role: RoleState,
    pub(super) leader: Option<KeeperId>,
    /// Time of the latest message from the leader of this term.
    pub(super) leader_seen_at: Option<MonotonicTime>,
    pub(super) election_due: MonotonicTime,
    pub(super) commit: LogIndex,
    pub(super) delivered: LogIndex,
    /// Number of snapshots from peers that wait for their sync; delivery pauses meanwhile.
    pub(super) installs_pending: usize,
    pub(super) snapshot_assembly: Option<SnapshotAssembly>,
    pub(super) identities: IdentityTable,
    /// Index at which a snapshot was last requested.
    pub(super) snapshot_requested_at: LogIndex,
    pub(super) reported_role: Option<RoleStatus>,
    /// `change_count` of the log at the last membership report.
    pub(super) reported_membership: u64,
    pub(super) effects: Vec<AgreementEffect>,
}

impl AgreementNode {
    /// Starts a keeper from the content of its disk. `seed` determines the election timeouts.
    ///
    /// A disk without entries and snapshot gives a keeper that waits to be added as a learner; a
    /// group starts from [`RestoredState::founding`] on each of its first voters. Entries with a
    /// gap, or of a later term than the hard state, give a keeper that is retired from the start.
    #[must_use]
    pub fn new(
        settings: AgreementSettings,
        id: KeeperId,
        restored: RestoredState,
        now: MonotonicTime,
        seed: u64,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(derive_seed(&id, seed));
        let hard_state = restored.hard_state.clone();
        let restored_log = ReplicatedLog::restore(restored);
        let role = match restored_log {
            Some(_) => RoleState::Follower,
            None => RoleState::Retired,
        };
        let log = restored_log.unwrap_or_default();
        let start = ProcessStart {
            nonce: random.random(),
            term: hard_state.term,
            last_index: log.last_index(),
        };
        let mut node = Self {
            settings: settings.checked(),
            id,
            start,
            random,
            now,
            hard_state,
            writes: PersistQueue::restored(log.last_index()),
            role,
            leader: None,
            leader_seen_at: None,
            election_due: now,
            commit: log.base_index(),
            delivered: log.base_index(),
            installs_pending: 0,
            snapshot_assembly: None,
            identities: IdentityTable::default(),
            snapshot_requested_at: log.snapshot_index(),
            reported_role: None,
            reported_membership: 0,
            log,
            effects: Vec::new(),
        };
        // No leader is known, so the shorter retry timer applies. Keepers with an active leader
        // refuse the pre-vote; when all keepers start together, the full election timeout would
        // only delay service.
        node.reset_retry_timer();
        node
    }

    /// Processes `inputs` that arrived up to `now` and returns the actions to perform, in order.
    ///
    /// A `now` earlier than that of a previous call counts as the previous time.
    pub fn tick(
        &mut self,
        now: MonotonicTime,
        inputs: Vec<AgreementInput>,
    ) -> Vec<AgreementEffect> {
        self.now = self.now.max(now);
        // A paused leader must detect the end of its leadership before it processes any input, or
        // it would accept proposals in a term that the other keepers have left.
        self.check_leadership();
        for input in inputs {
            self.handle_input(input);
        }
        self.run_election_timer();
        self.run_leader();
        self.deliver();
        self.finish_reads();
        self.flush_persist();
        self.report_changes();
        std::mem::take(&mut self.effects)
    }

    /// Time by which [`AgreementNode::tick`] must be called if no input arrives before.
    #[must_use]
    pub fn next_deadline(&self) -> MonotonicTime {
        match &self.role {
            RoleState::Leader(leader) => self.leader_deadline(leader),
            RoleState::Retired => MonotonicTime::from_micros(u64::MAX),
            _ if !self.is_voter() => MonotonicTime::from_micros(u64::MAX),
            _ => self.election_due,
        }
    }

    /// Identity of this keeper.
    #[must_use]
    pub fn id(&self) -> &KeeperId {
        &self.id
    }

    /// Role, term and known leader.
    #[must_use]
    pub fn status(&self) -> RoleStatus {
        RoleStatus {
            role: self.keeper_role(),
            term: self.hard_state.term,
            leader: self.leader.clone(),
        }
    }

    /// The current membership of this keeper's log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Highest index known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Index of the last entry of the log, synced or not.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Index of the last synced entry.
    #[must_use]
    pub fn durable_index(&self) -> LogIndex {
        self.writes.durable_index()
    }

    /// The entry at `index`; `None` if the log doesn't contain it.
    #[must_use]
    pub fn entry_at(&self, index: LogIndex) -> Option<&LogEntry> {
        self.log.entry(index)
    }

    fn handle_input(&mut self, input: AgreementInput) {
        match input {
            AgreementInput::Message(envelope) => self.receive(envelope),
            AgreementInput::Propose { token, command } => self.propose(token, command),
            AgreementInput::Read { token } => self.read(token),
            AgreementInput::Persisted(sequence) => self.on_persisted(sequence),
            AgreementInput::HandOver { token, target } => self.hand_over(token, &target),
            AgreementInput::ChangeMembership { token, change } => {
                self.change_membership(token, change);
            }
            AgreementInput::SnapshotTaken { index, bytes } => self.snapshot_taken(index, bytes),
        }
    }

    fn receive(&mut self, envelope: AgreementEnvelope) {
        if let Err(reason) = self.admit(&envelope) {
            self.drop_message(envelope.from, reason);
            return;
        }
        let AgreementEnvelope { from, message, .. } = envelope;
        match message {
            AgreementMessage::VoteRequest(request) => self.on_vote_request(from, &request),
            AgreementMessage::VoteReply(reply) => self.on_vote_reply(from, &reply),
            AgreementMessage::Append(request) => self.on_append(from, request),
            AgreementMessage::AppendReply(reply) => self.on_append_reply(&from, &reply),
            AgreementMessage::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat),
            AgreementMessage::HeartbeatReply(reply) => self.on_heartbeat_reply(&from, &reply),
            AgreementMessage::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, chunk),
            AgreementMessage::SnapshotReply(reply) => self.on_snapshot_reply(&from, &reply),
            AgreementMessage::TimeoutNow(term) => self.on_timeout_now(&from, term),
            AgreementMessage::IdentityRejected(rejected) => {
                self.on_identity_rejected(from, &rejected);
            }
        }
    }

    pub(super) fn drop_message(&mut self, from: KeeperId, reason: MessageDropReason) {
        self.effects
            .push(AgreementEffect::MessageDropped { from, reason });
    }

    pub(super) fn envelope(&self, to: KeeperId, message: AgreementMessage) -> AgreementEnvelope {
        AgreementEnvelope {
            from: self.id.clone(),
            to,
            start: self.start,
            message,
        }
    }

    pub(super) fn send(&mut self, to: KeeperId, message: AgreementMessage) {
        let envelope = self.envelope(to, message);
        self.effects.push(AgreementEffect::Send(envelope));
    }

    pub(super) fn send_after_persist(&mut self, to: KeeperId, message: AgreementMessage) {
        let envelope = self.envelope(to, message);
        self.after_persist(PendingAction::Send(envelope));
    }

    pub(super) fn is_voter(&self) -> bool {
        self.log.membership().voters.contains(&self.id)
    }

    pub(super) fn term(&self) -> Term {
        self.hard_state.term
    }

    pub(super) fn append_own(&mut self, payload: EntryPayload) -> LogIndex {
        let entry = LogEntry {
            index: self.log.last_index().next(),
            term: self.term(),
            payload,
        };
        let index = entry.index;
        self.log.push(entry);
        index
    }

    /// Sets the time to wait for a leader: between one and one and a half election timeouts.
    ///
    /// A wider range makes simultaneous candidates rarer, but costs more in waiting than it saves.
    pub(super) fn reset_election_timer(&mut self) {
        let shortest = self.settings.election_timeout;
        let extra = self.random_up_to(shortest / 2);
        self.election_due = self.now.after(shortest.saturating_add(extra));
    }

    /// Sets the time to wait for votes: between a quarter of the election timeout and all of it.
    ///
    /// After two simultaneous candidates, or a candidate that asked just before the others
    /// detected the loss of their leader, a longer wait would cost a further election timeout in
    /// which no command is accepted.
    pub(super) fn reset_retry_timer(&mut self) {
        let shortest = self.settings.election_timeout / RETRY_DIVISOR;
        let range = self.settings.election_timeout.saturating_sub(shortest);
        let extra = self.random_up_to(range);
        self.election_due = self.now.after(shortest.saturating_add(extra));
    }

    fn random_up_to(&mut self, max: Duration) -> Duration {
        let max = u64::try_from(max.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.random.random_range(0..=max))
    }

    fn keeper_role(&self) -> KeeperRole {
        match &self.role {
            RoleState::Retired => KeeperRole::Retired,
            RoleState::Leader(_) => KeeperRole::Leader,
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => KeeperRole::Candidate,
            RoleState::Follower if self.is_voter() => KeeperRole::Follower,
            RoleState::Follower if self.log.membership().contains(&self.id) => KeeperRole::Learner,
            RoleState::Follower => KeeperRole::Outsider,
        }
    }

    /// Delivers committed entries, each once and in order.
    fn deliver(&mut self) {
        if self.installs_pending > 0 || self.delivered >= self.commit {
            return;
        }
        let count = self.commit.0.saturating_sub(self.delivered.0);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let entries: Vec<LogEntry> = self
            .log
            .iter_from(self.delivered.next())
            .take(count)
            .cloned()
            .collect();
        self.delivered = self.commit;
        self.effects.push(AgreementEffect::Committed(entries));
        self.resolve_committed();
        self.request_snapshot();
    }

    fn report_changes(&mut self) {
        let change_count = self.log.change_count();
        if change_count != self.reported_membership {
            self.reported_membership = change_count;
            let membership = self.log.membership();
            self.identities.retain(|keeper| membership.contains(keeper));
            self.effects.push(AgreementEffect::MembershipChanged {
                index: self.log.membership_index(),
                membership: self.log.membership().clone(),
            });
        }
        let status = self.status();
        if self.reported_role.as_ref() != Some(&status) {
            self.reported_role = Some(status.clone());
            self.effects.push(AgreementEffect::RoleChanged(status));
        }
        self.report_redundancy();
    }
}

/// Derives the seed of one keeper. Keepers that are given the same seed must not draw the same
/// timeouts: they would become candidates at the same time repeatedly and split the votes.
fn derive_seed(id: &KeeperId, seed: u64) -> u64 {
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let host = id.host.as_str().bytes();
    let incarnation = id.incarnation.0.to_be_bytes();
    host.chain(incarnation).fold(seed, |folded, byte| {
        (folded ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

impl RestoredState {
    /// Initial disk content of each first voter of a new group: one entry with the membership.
    ///
    /// The caller writes it once, on the operator's explicit request, and syncs it before the
    /// keeper starts. Invariant: every first voter gets the same membership.
    #[must_use]
    pub fn founding(membership: Membership) -> Self {
        const FOUNDING_TERM: Term = Term(1);
        Self {
            hard_state: HardState {
                term: FOUNDING_TERM,
                voted_for: None,
            },
            snapshot: None,
            entries: vec![LogEntry {
                index: LogIndex(1),
                term: FOUNDING_TERM,
                payload: EntryPayload::Membership(membership),
            }],
        }
    }
}
