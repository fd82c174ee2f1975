//! Leader duties: accepting proposals, heartbeats, commit, and stepping down without a quorum.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::entry::{EntryPayload, KeeperId, LogIndex, Membership};
use super::hand_over::HandOverState;
use super::interface::{
    AgreementEffect, HandOverOutcome, MessageDropReason, ProposalOutcome, ReadOutcome,
    RefusalReason, RequestToken,
};
use super::log::entry_bytes;
use super::message::{
    AgreementMessage, AppendOutcome, AppendReply, Heartbeat, HeartbeatReply, HeartbeatRound,
    ObservedAck,
};
use super::node::{AgreementNode, RoleState};
use super::progress::{PeerProgress, RemovedPeer, SendMode};
use super::read::ReadQueue;
use super::redundancy::RedundancyReport;
use crate::base::MonotonicTime;

/// Rounds after which unchanged acknowledgement records are sent again, for peers that missed them.
const ACK_REPEAT_ROUNDS: u64 = 20;

/// Election timeouts for which the leader continues to send the log to a removed peer.
const REMOVED_PEER_ELECTION_TIMEOUTS: u32 = 10;

/// A request that waits for its entry to be committed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingEntry {
    pub(super) index: LogIndex,
    pub(super) token: RequestToken,
    /// Bytes of the entry, as counted by the limit on uncommitted bytes.
    pub(super) bytes: usize,
}

/// Membership whose quorum is computed, and the keeper that computes it.
pub(super) struct QuorumView<'a> {
    pub(super) membership: &'a Membership,
    pub(super) keeper: &'a KeeperId,
}

/// State of one leadership.
///
/// Invariant: `peers` contains the other keepers of the current membership, and removed keepers
/// that may not know of their removal yet; only the former are counted.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<KeeperId, PeerProgress>,
    /// First entry of this term. Until it is committed, the commit index of earlier leaders is
    /// unknown, so no read is answered and no membership change is accepted.
    pub(super) term_start: LogIndex,
    pub(super) heartbeat_due: MonotonicTime,
    pub(super) round: HeartbeatRound,
    pub(super) reads: ReadQueue,
    pub(super) proposals: VecDeque<PendingEntry>,
    pub(super) uncommitted_bytes: usize,
    pub(super) change: Option<PendingEntry>,
    /// Time of the latest promotion of a voter; cleared once a lost voter was removed for it.
    pub(super) promoted_at: Option<MonotonicTime>,
    pub(super) hand_over: Option<HandOverState>,
    pub(super) reported_redundancy: Option<RedundancyReport>,
    /// Acknowledgement records that peers were last sent.
    sent_acks: Vec<ObservedAck>,
}

impl LeaderState {
    pub(super) fn new(term_start: LogIndex, now: MonotonicTime) -> Self {
        Self {
            peers: BTreeMap::new(),
            term_start,
            heartbeat_due: now,
            round: HeartbeatRound(0),
            reads: ReadQueue::default(),
            proposals: VecDeque::new(),
            uncommitted_bytes: 0,
            change: None,
            promoted_at: None,
            hand_over: None,
            reported_redundancy: None,
            sent_acks: Vec::new(),
        }
    }

    /// The highest value that a majority of voters reached, where `own` is this keeper's value; a
    /// voter without a known value is ignored.
    pub(super) fn quorum_value<T, F>(
        &self,
        quorum: &QuorumView<'_>,
        own: T,
        of_peer: F,
    ) -> Option<T>
    where
        T: Ord + Copy,
        F: Fn(&PeerProgress) -> T,
    {
        let value = |voter: &KeeperId| {
            if voter == quorum.keeper {
                return Some(own);
            }
            self.peers.get(voter).map(&of_peer)
        };
        let voters = &quorum.membership.voters;
        let mut values: Vec<T> = voters.iter().filter_map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values
            .get(quorum.membership.quorum().checked_sub(1)?)
            .copied()
    }
}

impl AgreementNode {
    /// Appends a command, or reports the reason for refusing it.
    pub(super) fn propose(&mut self, token: RequestToken, command: Arc<[u8]>) {
        if let Err(reason) = self.check_proposal(&command) {
            let outcome = ProposalOutcome::NotAppended(reason);
            self.effects
                .push(AgreementEffect::Proposal { token, outcome });
            return;
        }
        let index = self.append_own(EntryPayload::Command(command));
        let bytes = self.log.entry(index).map_or(0, entry_bytes);
        if let RoleState::Leader(leader) = &mut self.role {
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_add(bytes);
            leader.proposals.push_back(PendingEntry {
                index,
                token,
                bytes,
            });
        }
    }

    fn check_proposal(&self, command: &[u8]) -> Result<(), RefusalReason> {
        let leader = self.require_leader()?;
        if leader.hand_over.is_some() {
            return Err(RefusalReason::HandingOver);
        }
        let limit = self.settings.max_command_bytes;
        if command.len() > limit {
            return Err(RefusalReason::TooLarge {
                size: command.len(),
                limit,
            });
        }
        let has_capacity = leader.proposals.len() < self.settings.max_uncommitted_entries
            && leader.uncommitted_bytes < self.settings.max_uncommitted_bytes;
        has_capacity.then_some(()).ok_or(RefusalReason::Busy)
    }

    pub(super) fn require_leader(&self) -> Result<&LeaderState, RefusalReason> {
        match &self.role {
            RoleState::Leader(leader) => Ok(leader),
            _ => Err(RefusalReason::NotLeader {
                leader: self.leader.clone(),
            }),
        }
    }

    /// Steps down when no quorum answered a heartbeat sent within the election timeout.
    ///
    /// Otherwise a leader behind a partition would claim leadership for as long as the partition
    /// lasts, and its callers would wait there instead of using the other side. The timeout counts
    /// from the sending time of the answered heartbeat, so it expires before the election timeout
    /// of the other keepers.
    pub(super) fn check_leadership(&mut self) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        if self.now < self.leadership_end(leader) {
            return;
        }
        self.leader = None;
        self.leader_seen_at = None;
        self.follow(self.term(), None);
    }

    /// Time at which this keeper stops claiming leadership unless a quorum answers; `None` if it
    /// doesn't lead at `now`.
    #[must_use]
    pub fn leads_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        let end = self.leadership_end(leader);
        (now < end).then_some(end)
    }

    pub(super) fn leadership_end(&self, leader: &LeaderState) -> MonotonicTime {
        leader
            .quorum_value(&self.quorum_view(), self.now, |peer| peer.contact_at)
            .unwrap_or(self.now)
            .after(self.settings.election_timeout)
    }

    pub(super) fn leader_deadline(&self, leader: &LeaderState) -> MonotonicTime {
        let due = leader.heartbeat_due.min(self.leadership_end(leader));
        match &leader.hand_over {
            Some(hand_over) => due.min(hand_over.due),
            None => due,
        }
    }

    fn quorum_view(&self) -> QuorumView<'_> {
        QuorumView {
            membership: self.log.membership(),
            keeper: &self.id,
        }
    }

    /// Time within which a peer must have answered to count as reachable.
    pub(super) fn contact_window(&self) -> Duration {
        self.settings.election_timeout
    }

    /// Leader duties of one tick, after all inputs.
    pub(super) fn run_leader(&mut self) {
        self.advance_commit();
        self.drop_removed_peers();
        self.remove_former_incarnations();
        self.remove_lost_voters();
        self.run_hand_over();
        self.run_heartbeat();
        self.replicate();
        // A group of one commits its own synced entries.
        self.advance_commit();
    }

    fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let durable = self.writes.durable_index();
        let reached = leader.quorum_value(&self.quorum_view(), durable, |peer| peer.matched);
        let Some(reached) = reached else {
            return;
        };
        // Only an entry of the current term is committed by counting: another leader can still
        // replace an entry of an earlier term, even one that a majority has.
        if reached > self.commit && self.log.term_at(reached) == Some(self.term()) {
            self.commit = reached;
        }
    }

    fn run_heartbeat(&mut self) {
        let can_read = self.has_committed_in_term();
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let is_due = self.now >= leader.heartbeat_due;
        let reads_wait = can_read && leader.reads.needs_round();
        if !is_due && !reads_wait {
            return;
        }
        leader.round = HeartbeatRound(leader.round.0.saturating_add(1));
        leader.heartbeat_due = self.now.after(self.settings.heartbeat_interval);
        if can_read {
            leader.reads.join_round(leader.round, self.commit);
        }
        for progress in leader.peers.values_mut() {
            progress.expire(self.now, &self.settings);
            progress.check_caught_up(self.commit, self.now);
        }
        // Peers acknowledge to the leader. They learn the leader's own acknowledgement only from
        // this record, and need it to reject the leader's disk if it returns from an older copy.
        let own = ObservedAck {
            keeper: self.id.clone(),
            start: self.start,
            term: self.hard_state.term,
            index: self.writes.durable_index(),
        };
        let mut records = self.identities.observed_acks(&leader.peers);
        records.push(own);
        let is_repeat = leader.round.0.is_multiple_of(ACK_REPEAT_ROUNDS);
        let witnessed = if is_repeat || records != leader.sent_acks {
            leader.sent_acks.clone_from(&records);
            records
        } else {
            Vec::new()
        };
        let heartbeat = Heartbeat {
            term: self.hard_state.term,
            round: leader.round,
            sent_at: self.now,
            witnessed,
        };
        let peers: Vec<KeeperId> = leader.peers.keys().cloned().collect();
        for peer in peers {
            self.send(peer, AgreementMessage::Heartbeat(heartbeat.clone()));
        }
    }

    /// Whether an entry of the current term is committed.
    pub(super) fn has_committed_in_term(&self) -> bool {
        match &self.role {
            RoleState::Leader(leader) => self.commit >= leader.term_start,
            _ => false,
        }
    }

    /// Updates `peers` to the current membership.
    pub(super) fn refresh_peers(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let membership = self.log.membership();
        leader.peers.retain(|peer, _| !membership.supersedes(peer));
        let removed_timeout = self
            .settings
            .election_timeout
            .saturating_mul(REMOVED_PEER_ELECTION_TIMEOUTS);
        let removed = RemovedPeer {
            removed_at: self.log.membership_index(),
            due: self.now.after(removed_timeout),
        };
        for (peer, progress) in &mut leader.peers {
            let is_member = membership.contains(peer);
            let removed = progress.removed.unwrap_or(removed);
            progress.removed = (!is_member).then_some(removed);
        }
        for keeper in membership.keepers().filter(|keeper| **keeper != self.id) {
            if !leader.peers.contains_key(keeper) {
                let progress = PeerProgress::new(self.log.last_index(), self.now);
                leader.peers.insert(keeper.clone(), progress);
            }
        }
    }

    fn drop_removed_peers(&mut self) {
        if let RoleState::Leader(leader) = &mut self.role {
            leader
                .peers
                .retain(|_, peer| !peer.is_removal_complete(self.now));
        }
    }

    /// Handles the reply to an append.
    pub(super) fn on_append_reply(&mut self, from: &KeeperId, reply: &AppendReply) {
        if reply.term > self.term() {
            self.follow(reply.term, None);
            return;
        }
        if reply.term < self.term() {
            return;
        }
        match reply.outcome {
            AppendOutcome::Matched(index) => self.on_matched(from, index),
            AppendOutcome::Mismatch {
                refused,
                hint_index,
                hint_term,
            } => {
                let (index, _) = self.log.conflict_hint(hint_index, hint_term);
                let next = index.next().min(refused);
                self.on_mismatch(from, refused, next);
            }
            AppendOutcome::StaleTerm => {}
        }
    }

    pub(super) fn on_matched(&mut self, from: &KeeperId, index: LogIndex) {
        if index > self.log.last_index() {
            self.drop_message(from.clone(), MessageDropReason::Malformed);
            return;
        }
        let term = self.term();
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(progress) = leader.peers.get_mut(from) {
            progress.record_matched(index, self.now);
            self.identities.record_ack(from, term, index);
        }
    }

    fn on_mismatch(&mut self, from: &KeeperId, refused: LogIndex, next: LogIndex) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.peers.get_mut(from) else {
            return;
        };
        let is_stale = match progress.mode {
            SendMode::Probe => refused != progress.next.previous(),
            SendMode::Stream => refused <= progress.matched,
            SendMode::Snapshot { .. } => true,
        };
        if !is_stale {
            progress.probe_from(next, self.now);
        }
    }

    /// Handles the reply to a heartbeat.
    pub(super) fn on_heartbeat_reply(&mut self, from: &KeeperId, reply: &HeartbeatReply) {
        if reply.term > self.term() {
            self.follow(reply.term, None);
            return;
        }
        if reply.term < self.term() {
            return;
        }
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if reply.round > leader.round {
            self.drop_message(from.clone(), MessageDropReason::Malformed);
            return;
        }
        if let Some(progress) = leader.peers.get_mut(from) {
            progress.contact_at = progress.contact_at.max(reply.sent_at.min(self.now));
            progress.answered_round = progress.answered_round.max(reply.round);
            progress.sent_commit = progress.sent_commit.min(reply.commit);
            progress.known_commit = progress.known_commit.max(reply.commit);
        }
    }

    /// Answers the requests whose entries were just delivered.
    pub(super) fn resolve_committed(&mut self) {
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        while leader
            .proposals
            .front()
            .is_some_and(|next| next.index <= commit)
        {
            let Some(pending) = leader.proposals.pop_front() else {
                break;
            };
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(pending.bytes);
            self.effects.push(AgreementEffect::Proposal {
                token: pending.token,
                outcome: ProposalOutcome::Committed(pending.index),
            });
        }
        if let Some(pending) = leader.change.take_if(|change| change.index <= commit) {
            self.effects.push(AgreementEffect::MembershipChange {
                token: pending.token,
                outcome: ProposalOutcome::Committed(pending.index),
            });
        }
    }

    /// Answers every request that is pending when the leadership ends.
    pub(super) fn resolve_deposed(&mut self, leader: LeaderState) {
        for pending in leader.proposals {
            self.effects.push(AgreementEffect::Proposal {
                token: pending.token,
                outcome: ProposalOutcome::Unknown,
            });
        }
        if let Some(pending) = leader.change {
            self.effects.push(AgreementEffect::MembershipChange {
                token: pending.token,
                outcome: ProposalOutcome::Unknown,
            });
        }
        for token in leader.reads.into_tokens() {
            let leader = self.leader.clone();
            let outcome = ReadOutcome::Refused(RefusalReason::NotLeader { leader });
            self.effects.push(AgreementEffect::Read { token, outcome });
        }
        if let Some(hand_over) = leader.hand_over {
            self.effects.push(AgreementEffect::HandOver {
                token: hand_over.token,
                outcome: HandOverOutcome::Done,
            });
        }
    }
}
