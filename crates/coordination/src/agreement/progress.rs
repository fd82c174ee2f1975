//! How far each peer's log is known to agree with the leader's, and how it is sent more.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::entry::{LogIndex, SnapshotMetadata};
use super::message::HeartbeatRound;
use super::settings::AgreementSettings;
use crate::base::MonotonicTime;

/// How a peer is sent entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SendMode {
    /// One message at a time, until the logs are known to agree.
    Probe,
    /// Several messages ahead of their answers.
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
/// Invariants: `matched < next`; `inflight` rises and never holds more messages than the setting.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    pub(super) matched: LogIndex,
    pub(super) next: LogIndex,
    pub(super) mode: SendMode,
    /// Last entry of each unanswered message of the stream.
    pub(super) inflight: VecDeque<LogIndex>,
    /// Whether a probe or a chunk is unanswered.
    pub(super) waiting: bool,
    /// Commit index that the peer was told last.
    pub(super) sent_commit: LogIndex,
    /// When something was last answered, or sent after nothing was unanswered.
    pub(super) advanced_at: MonotonicTime,
    /// Sending time of the latest heartbeat that the peer answered.
    pub(super) contact_at: MonotonicTime,
    /// Latest heartbeat round that the peer answered.
    pub(super) answered_round: HeartbeatRound,
    /// When the peer last held all that was committed one check before.
    pub(super) caught_up_at: Option<MonotonicTime>,
    /// Commit index at that check.
    catch_up_goal: LogIndex,
    /// Commit index that the peer last said it knows.
    pub(super) known_commit: LogIndex,
    /// Set once the peer is no longer a member.
    pub(super) leaving: Option<LeavingPeer>,
}

/// A removed peer that is still sent the log until it knows of its removal.
///
/// Else it would believe to be a voter for ever, and ask for votes that nobody gives.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeavingPeer {
    /// Entry that removes it.
    pub(super) removed_at: LogIndex,
    /// When it is given up, as its disk may be gone.
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
            advanced_at: now,
            contact_at: now,
            answered_round: HeartbeatRound(0),
            caught_up_at: None,
            catch_up_goal: last_index,
            known_commit: LogIndex(0),
            leaving: None,
        }
    }

    /// Whether one more message may be sent before another answer.
    pub(super) fn can_send(&self, settings: &AgreementSettings) -> bool {
        match self.mode {
            SendMode::Probe | SendMode::Snapshot { .. } => !self.waiting,
            SendMode::Stream => self.inflight.len() < settings.max_inflight_appends,
        }
    }

    /// Notes a probe or a chunk.
    pub(super) fn note_waiting(&mut self, now: MonotonicTime) {
        self.waiting = true;
        self.advanced_at = now;
    }

    /// Notes a message of the stream that ends with `last`.
    pub(super) fn note_streamed(&mut self, last: LogIndex, now: MonotonicTime) {
        if self.inflight.is_empty() {
            self.advanced_at = now;
        }
        self.inflight.push_back(last);
        self.next = last.next();
    }

    /// The peer holds everything up to `matched`, synced.
    pub(super) fn note_matched(&mut self, matched: LogIndex, now: MonotonicTime) {
        self.advanced_at = now;
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

    /// The logs don't agree before `next`, or an answer was lost: go on there, one at a time.
    pub(super) fn probe_from(&mut self, next: LogIndex, now: MonotonicTime) {
        self.mode = SendMode::Probe;
        self.inflight.clear();
        self.waiting = false;
        self.next = next.max(self.matched.next());
        self.advanced_at = now;
    }

    /// Sends again what went unanswered for too long.
    pub(super) fn expire(&mut self, now: MonotonicTime, settings: &AgreementSettings) {
        let is_stalled = now.since(self.advanced_at) >= settings.resend_timeout;
        if !is_stalled {
            return;
        }
        self.waiting = false;
        if !self.inflight.is_empty() {
            self.probe_from(self.matched.next(), now);
        }
    }

    /// Notes whether the peer reached the commit index of the last check, and sets a new goal.
    pub(super) fn check_caught_up(&mut self, commit: LogIndex, now: MonotonicTime) {
        if self.matched >= self.catch_up_goal {
            self.caught_up_at = Some(now);
            self.catch_up_goal = commit;
        }
    }

    /// Whether the peer is removed, and knows it or is given up.
    pub(super) fn has_left(&self, now: MonotonicTime) -> bool {
        let is_done =
            |leaving: LeavingPeer| self.known_commit >= leaving.removed_at || now >= leaving.due;
        self.leaving.is_some_and(is_done)
    }

    /// Whether the peer answered within `window`.
    pub(super) fn is_in_contact(&self, now: MonotonicTime, window: Duration) -> bool {
        now.since(self.contact_at) < window
    }

    /// Whether the peer answered within `window` and lacked nothing committed for longer than that.
    pub(super) fn is_current(&self, now: MonotonicTime, window: Duration) -> bool {
        let is_caught_up = self.caught_up_at.is_some_and(|at| now.since(at) < window);
        is_caught_up && self.is_in_contact(now, window)
    }
}
