//! Replication progress of each peer, and the flow control of messages to it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::entry::{LogIndex, SnapshotMetadata};
use super::message::HeartbeatRound;
use super::settings::AgreementSettings;
use crate::base::MonotonicTime;

/// Flow control of messages to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SendMode {
    /// One message at a time, until the logs are known to match.
    Probe,
    /// Several unanswered messages at a time.
    Stream,
    /// A snapshot, one chunk at a time.
    Snapshot {
        mark: SnapshotMetadata,
        bytes: Arc<[u8]>,
        offset: u64,
    },
}

/// Replication state of one peer.
///
/// Invariants: `matched < next`; `inflight` is in ascending order and never longer than
/// `max_inflight_appends`.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    pub(super) matched: LogIndex,
    pub(super) next: LogIndex,
    pub(super) mode: SendMode,
    /// Index of the last entry of each unanswered message of the stream.
    pub(super) inflight: VecDeque<LogIndex>,
    /// Whether a probe or a snapshot chunk is unanswered.
    pub(super) waiting: bool,
    /// Commit index that was last sent to the peer.
    pub(super) sent_commit: LogIndex,
    /// Time from which the resend timeout runs: that of the last reply, or of the first message
    /// sent after every earlier message was answered.
    pub(super) resend_from: MonotonicTime,
    /// Sending time of the latest heartbeat that the peer answered.
    pub(super) contact_at: MonotonicTime,
    /// Latest heartbeat round that the peer answered.
    pub(super) answered_round: HeartbeatRound,
    /// Time at which the peer last reached `catch_up_goal`.
    pub(super) caught_up_at: Option<MonotonicTime>,
    /// Commit index that the peer must reach to count as caught up; set at each successful check.
    catch_up_goal: LogIndex,
    /// Highest commit index that the peer reported.
    pub(super) known_commit: LogIndex,
    /// Set once the peer is no longer a member.
    pub(super) removed: Option<RemovedPeer>,
}

/// A removed peer that is still sent the log until it knows of its removal.
///
/// Without this it would consider itself a voter forever and request votes that nobody grants.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemovedPeer {
    /// Index of the entry that removes it.
    pub(super) removed_at: LogIndex,
    /// Time at which the leader stops sending, since the peer's disk may be lost.
    pub(super) due: MonotonicTime,
}

impl PeerProgress {
    pub(super) fn new(last_index: LogIndex, now: MonotonicTime) -> Self {
        Self {
            matched: LogIndex(0),
            next: last_index.next(),
            mode: SendMode::Probe,
            inflight: VecDeque::new(),
            waiting: false,
            sent_commit: LogIndex(0),
            resend_from: now,
            contact_at: now,
            answered_round: HeartbeatRound(0),
            caught_up_at: None,
            catch_up_goal: last_index,
            known_commit: LogIndex(0),
            removed: None,
        }
    }

    /// Whether one more message may be sent before the next reply.
    pub(super) fn can_send(&self, settings: &AgreementSettings) -> bool {
        match self.mode {
            SendMode::Probe | SendMode::Snapshot { .. } => !self.waiting,
            SendMode::Stream => self.inflight.len() < settings.max_inflight_appends,
        }
    }

    /// Records that a probe or a snapshot chunk was sent.
    pub(super) fn record_waiting(&mut self, now: MonotonicTime) {
        self.waiting = true;
        self.resend_from = now;
    }

    /// Records that a message of the stream was sent, whose last entry is `last`.
    pub(super) fn record_streamed(&mut self, last: LogIndex, now: MonotonicTime) {
        if self.inflight.is_empty() {
            self.resend_from = now;
        }
        self.inflight.push_back(last);
        self.next = last.next();
    }

    /// Records that the peer has synced everything up to `matched`.
    pub(super) fn record_matched(&mut self, matched: LogIndex, now: MonotonicTime) {
        self.resend_from = now;
        self.matched = self.matched.max(matched);
        while self.inflight.front().is_some_and(|last| *last <= matched) {
            self.inflight.pop_front();
        }
        if self.mode == SendMode::Probe {
            self.mode = SendMode::Stream;
            self.waiting = false;
            self.next = self.matched.next();
        }
        self.next = self.next.max(self.matched.next());
    }

    /// Continues at `next` in probe mode, after a mismatch or a lost reply.
    pub(super) fn probe_from(&mut self, next: LogIndex, now: MonotonicTime) {
        self.mode = SendMode::Probe;
        self.inflight.clear();
        self.waiting = false;
        self.next = next.max(self.matched.next());
        self.resend_from = now;
    }

    /// Allows a resend after `resend_timeout` without progress.
    pub(super) fn expire(&mut self, now: MonotonicTime, settings: &AgreementSettings) {
        let is_stalled = now.since(self.resend_from) >= settings.resend_timeout;
        if !is_stalled {
            return;
        }
        self.waiting = false;
        if !self.inflight.is_empty() {
            self.probe_from(self.matched.next(), now);
        }
    }

    /// Checks whether the peer reached the goal; if so, sets `commit` as the next goal.
    pub(super) fn check_caught_up(&mut self, commit: LogIndex, now: MonotonicTime) {
        if self.matched >= self.catch_up_goal {
            self.caught_up_at = Some(now);
            self.catch_up_goal = commit;
        }
    }

    /// Whether the peer is removed, and either knows it or exceeded its time limit.
    pub(super) fn is_removal_complete(&self, now: MonotonicTime) -> bool {
        let is_done =
            |removed: RemovedPeer| self.known_commit >= removed.removed_at || now >= removed.due;
        self.removed.is_some_and(is_done)
    }

    /// Whether the peer answered within `window`.
    pub(super) fn is_in_contact(&self, now: MonotonicTime, window: Duration) -> bool {
        now.since(self.contact_at) < window
    }

    /// Whether the peer answered within `window` and reached its catch-up goal within it.
    pub(super) fn is_current(&self, now: MonotonicTime, window: Duration) -> bool {
        let is_caught_up = self.caught_up_at.is_some_and(|at| now.since(at) < window);
        is_caught_up && self.is_in_contact(now, window)
    }
}
