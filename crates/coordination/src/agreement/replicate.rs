//! Sending of entries: pipelined, in bounded batches, with a bounded number of unanswered messages.

use super::entry::{LogIndex, Term};
use super::log::ReplicatedLog;
use super::message::{AgreementMessage, AppendRequest};
use super::node::{AgreementNode, RoleState};
use super::progress::{PeerProgress, SendMode};
use super::settings::AgreementSettings;
use super::snapshot_transfer::next_chunk;
use crate::base::MonotonicTime;

/// State of the leader that determines the next message to a peer.
struct SendContext<'a> {
    log: &'a ReplicatedLog,
    settings: &'a AgreementSettings,
    term: Term,
    commit: LogIndex,
    now: MonotonicTime,
}

impl AgreementNode {
    /// Sends each peer the entries that it lacks, within its window.
    pub(super) fn replicate(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let context = SendContext {
            log: &self.log,
            settings: &self.settings,
            term: self.hard_state.term,
            commit: self.commit,
            now: self.now,
        };
        let mut outgoing = Vec::new();
        for (peer, progress) in &mut leader.peers {
            while let Some(message) = next_message(progress, &context) {
                outgoing.push((peer.clone(), message));
            }
        }
        for (peer, message) in outgoing {
            self.send(peer, message);
        }
    }
}

fn next_message(
    progress: &mut PeerProgress,
    context: &SendContext<'_>,
) -> Option<AgreementMessage> {
    if !progress.can_send(context.settings) {
        return None;
    }
    enter_snapshot_mode(progress, context.log);
    if let Some(chunk) = next_chunk(progress, context.term, context.settings) {
        progress.record_waiting(context.now);
        return Some(AgreementMessage::SnapshotChunk(chunk));
    }
    next_append(progress, context).map(AgreementMessage::Append)
}

/// Switches a peer to the snapshot if it needs an entry that the log no longer contains.
fn enter_snapshot_mode(progress: &mut PeerProgress, log: &ReplicatedLog) {
    let is_in_transfer = matches!(progress.mode, SendMode::Snapshot { .. });
    if is_in_transfer || progress.next > log.base_index() {
        return;
    }
    if let Some(snapshot) = log.snapshot() {
        progress.inflight.clear();
        progress.mode = SendMode::Snapshot {
            mark: snapshot.mark.clone(),
            bytes: snapshot.bytes.clone(),
            offset: 0,
        };
    }
}

fn next_append(progress: &mut PeerProgress, context: &SendContext<'_>) -> Option<AppendRequest> {
    let prev_index = progress.next.previous();
    let prev_term = context.log.term_at(prev_index)?;
    let entries = context.log.slice(
        progress.next,
        context.settings.max_append_entries,
        context.settings.max_append_bytes,
    );
    let last = entries.last().map_or(prev_index, |entry| entry.index);
    let commit = context.commit.min(last);
    let must_probe =
        progress.mode == SendMode::Probe && progress.matched < context.log.last_index();
    if entries.is_empty() && !must_probe && progress.sent_commit >= commit {
        return None;
    }
    progress.sent_commit = commit;
    match progress.mode {
        SendMode::Probe => progress.record_waiting(context.now),
        _ if !entries.is_empty() => progress.record_streamed(last, context.now),
        _ => {}
    }
    Some(AppendRequest {
        term: context.term,
        prev_index,
        prev_term,
        entries,
        commit: context.commit,
    })
}
