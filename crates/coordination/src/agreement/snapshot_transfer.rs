//! Snapshots: recording them, and sending them in bounded chunks to peers that lag too far.

use std::sync::Arc;

use super::entry::{KeeperId, LogIndex, Membership, SnapshotMetadata, Term};
use super::interface::{AgreementEffect, MessageDropReason, StoredSnapshot};
use super::message::{AgreementMessage, SnapshotChunk, SnapshotOutcome, SnapshotReply};
use super::node::{AgreementNode, RoleState};
use super::persist::PendingAction;
use super::progress::{PeerProgress, SendMode};
use super::settings::AgreementSettings;

/// A partially received snapshot.
///
/// Invariant: `bytes.len() <= total`, and `total` is at most `max_snapshot_bytes`.
#[derive(Debug)]
pub(super) struct SnapshotAssembly {
    mark: SnapshotMetadata,
    total: u64,
    bytes: Vec<u8>,
}

/// The next chunk for a peer; `None` unless a snapshot transfer to it is in progress.
pub(super) fn next_chunk(
    progress: &PeerProgress,
    term: Term,
    settings: &AgreementSettings,
) -> Option<SnapshotChunk> {
    let SendMode::Snapshot {
        mark,
        bytes,
        offset,
    } = &progress.mode
    else {
        return None;
    };
    let start = usize::try_from(*offset).ok()?.min(bytes.len());
    let end = start
        .saturating_add(settings.snapshot_chunk_bytes)
        .min(bytes.len());
    Some(SnapshotChunk {
        term,
        mark: mark.clone(),
        offset: *offset,
        total: length(bytes),
        bytes: Arc::from(bytes.get(start..end)?),
    })
}

impl AgreementNode {
    /// Stores the caller's snapshot and compacts the log.
    pub(super) fn snapshot_taken(&mut self, index: LogIndex, bytes: Arc<[u8]>) {
        if index <= self.log.snapshot_index() || index > self.delivered {
            return;
        }
        let Some(mark) = self.log.metadata_at(index) else {
            return;
        };
        let snapshot = StoredSnapshot { mark, bytes };
        self.writes.set_snapshot(snapshot.clone());
        self.log
            .store_snapshot(snapshot, self.settings.retained_entries);
    }

    /// Requests a snapshot once enough entries were delivered since the last one.
    pub(super) fn request_snapshot(&mut self) {
        let since = self.log.snapshot_index().max(self.snapshot_requested_at);
        let delivered = self.delivered.0.saturating_sub(since.0);
        if delivered < self.settings.snapshot_after_entries {
            return;
        }
        self.snapshot_requested_at = self.delivered;
        let index = self.delivered;
        self.effects
            .push(AgreementEffect::SnapshotRequested { index });
    }

    /// Stores a chunk; the last one installs the snapshot in place of the log.
    pub(super) fn on_snapshot_chunk(&mut self, from: KeeperId, chunk: SnapshotChunk) {
        if !self.is_acceptable(&chunk) {
            self.drop_message(from, MessageDropReason::Malformed);
            return;
        }
        if !self.accept_leader(&from, chunk.term) {
            return;
        }
        let index = chunk.mark.index;
        let outcome = self.assemble(chunk);
        let reply = SnapshotReply {
            term: self.term(),
            index,
            outcome,
        };
        self.send_after_persist(from, AgreementMessage::SnapshotReply(reply));
    }

    fn is_acceptable(&self, chunk: &SnapshotChunk) -> bool {
        let limit = u64::try_from(self.settings.max_snapshot_bytes).unwrap_or(u64::MAX);
        let end = chunk.offset.checked_add(length(&chunk.bytes));
        let fits = end.is_some_and(|end| end <= chunk.total) && chunk.total <= limit;
        fits && chunk.mark.term <= chunk.term && is_valid(&chunk.mark.membership)
    }

    fn assemble(&mut self, chunk: SnapshotChunk) -> SnapshotOutcome {
        if chunk.mark.index <= self.commit {
            self.snapshot_assembly = None;
            return SnapshotOutcome::Installed(self.commit);
        }
        let differs = |assembly: &SnapshotAssembly| {
            assembly.mark != chunk.mark || assembly.total != chunk.total
        };
        if self.snapshot_assembly.as_ref().is_none_or(differs) {
            self.snapshot_assembly = Some(SnapshotAssembly {
                mark: chunk.mark.clone(),
                total: chunk.total,
                bytes: Vec::new(),
            });
        }
        let Some(mut assembly) = self.snapshot_assembly.take() else {
            return SnapshotOutcome::Continue(0);
        };
        if chunk.offset == length(&assembly.bytes) {
            assembly.bytes.extend_from_slice(&chunk.bytes);
        }
        let received = length(&assembly.bytes);
        if received < assembly.total {
            self.snapshot_assembly = Some(assembly);
            return SnapshotOutcome::Continue(received);
        }
        let index = assembly.mark.index;
        self.install(StoredSnapshot {
            mark: assembly.mark,
            bytes: Arc::from(assembly.bytes),
        });
        SnapshotOutcome::Installed(index)
    }

    fn install(&mut self, snapshot: StoredSnapshot) {
        let index = snapshot.mark.index;
        let kept_suffix = self.log.install_snapshot(snapshot.clone());
        self.writes.replace_log(index, kept_suffix);
        self.writes.set_snapshot(snapshot.clone());
        self.commit = index;
        self.delivered = index;
        self.installs_pending = self.installs_pending.saturating_add(1);
        self.after_persist(PendingAction::Install(snapshot));
    }

    /// Handles the receiver's reply: continues with the next chunk, or returns to sending entries.
    pub(super) fn on_snapshot_reply(&mut self, from: &KeeperId, reply: &SnapshotReply) {
        if reply.term > self.term() {
            self.follow(reply.term, None);
            return;
        }
        if reply.term < self.term() {
            return;
        }
        if let SnapshotOutcome::Installed(index) = reply.outcome {
            self.on_installed(from, index);
            return;
        }
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.peers.get_mut(from) else {
            return;
        };
        if let SendMode::Snapshot {
            mark,
            bytes,
            offset,
        } = &mut progress.mode
            && let SnapshotOutcome::Continue(expected) = reply.outcome
            && mark.index == reply.index
            && expected < length(bytes)
            && expected != *offset
        {
            *offset = expected;
            progress.waiting = false;
            progress.resend_from = self.now;
        }
    }

    fn on_installed(&mut self, from: &KeeperId, index: LogIndex) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(progress) = leader.peers.get_mut(from)
            && let SendMode::Snapshot { mark, .. } = &progress.mode
            && index >= mark.index
        {
            progress.probe_from(index.next(), self.now);
        }
        self.on_matched(from, index);
    }
}

fn is_valid(membership: &Membership) -> bool {
    !membership.voters.is_empty() && membership.voters.is_disjoint(&membership.learners)
}

fn length(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
