//! The evidence files of a keeper. They store records of the agreement group for longer than the
//! replicated state does.
//!
//! Records are stored in replicated order in segments `evidence/POSITION.jsonl`, one per line.
//! POSITION is the position of the first record. All calls block on the disk and must run on a
//! thread that may block.

mod segment;

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use pollendrift_coordination::base::{HostName, WallTime};
use pollendrift_coordination::evidence::{
    ChainAnchor, ChainHead, ChainWriter, EvidenceError, EvidenceExport, EvidenceFilter,
    EvidenceRecord, RetentionApplied, RetentionPolicy, SealedRecord,
};
use pollendrift_coordination::replicated::{EvidencePosition, IndexedRecord};
use serde::{Deserialize, Serialize};

use crate::clock::millis;
use segment::{Segment, SegmentSummary, SegmentWriter};

const FOLDER: &str = "evidence";
const STATE_FILE: &str = "dropped.json";
const TEMPORARY_STATE_FILE: &str = "dropped.json.new";

/// Size in bytes at which a new segment starts; retention drops complete segments only.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Reason why the evidence files can't be used.
#[derive(Debug, Display, Error)]
pub enum JournalError {
    /// A file operation failed.
    #[display("{}: {error}", path.display())]
    File {
        /// File or folder of the operation.
        path: PathBuf,
        /// Error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// An earlier append failed, so the end of the files is unknown.
    #[display("an earlier write failed; the evidence files must be reopened")]
    Failed,
    /// A line can't be encoded.
    #[display("{_0}")]
    Line(#[error(source)] EvidenceError),
    /// The file that records dropped positions and anchors can't be decoded or encoded.
    #[display("{}: {error}", path.display())]
    State {
        /// Path of the state file.
        path: PathBuf,
        /// Error of the JSON library.
        #[error(source)]
        error: serde_json::Error,
    },
}

impl JournalError {
    fn file(path: &Path, error: io::Error) -> Self {
        Self::File {
            path: path.to_owned(),
            error,
        }
    }
}

/// Records dropped by retention; stored in `dropped.json`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct DroppedState {
    /// Position before which all records are dropped.
    before: EvidencePosition,
    /// Last dropped record of each host's latest dropped incarnation. Earlier incarnations need no
    /// anchor: all their records precede those of the later incarnation in the replicated order.
    anchors: BTreeMap<HostName, ChainAnchor>,
}

/// A planned drop of old segments, and the evidence records that must be stored before it.
///
/// A crash after the records are stored but before the drop leaves records of a drop that is then
/// repeated. In the other order, a crash would leave an anchor without a record, which verification
/// would report as a removal.
#[derive(Clone, Debug)]
pub struct RetentionPlan {
    /// Records to store before the call of [`EvidenceJournal::apply`].
    pub records: Vec<RetentionApplied>,
    state: DroppedState,
}

/// Evidence files of one keeper.
///
/// Invariants: segments are ordered by their first positions; every position of a segment has a
/// line, which is empty if the record contained a line break.
#[derive(Debug)]
pub struct EvidenceJournal {
    host: HostName,
    folder: PathBuf,
    segments: BTreeMap<EvidencePosition, Segment>,
    state: DroppedState,
    next: EvidencePosition,
    writer: Option<SegmentWriter>,
    segment_bytes: u64,
    /// Whether an append has failed, so that the end of the files is unknown.
    failed: bool,
}

impl EvidenceJournal {
    /// Opens the evidence of `host` in its `data_folder`. Removes an incomplete last line, which a
    /// crash leaves: it was never reported as stored, and is appended again from the log.
    ///
    /// # Errors
    ///
    /// If the files can't be read.
    pub fn open(host: HostName, data_folder: &Path) -> Result<Self, JournalError> {
        Self::open_with(host, data_folder, SEGMENT_BYTES)
    }

    /// Opens the evidence with segments of `segment_bytes` instead of the default size.
    ///
    /// # Errors
    ///
    /// If the files can't be read.
    pub fn open_with(
        host: HostName,
        data_folder: &Path,
        segment_bytes: u64,
    ) -> Result<Self, JournalError> {
        let folder = data_folder.join(FOLDER);
        fs::create_dir_all(&folder).map_err(|error| JournalError::file(&folder, error))?;
        let state = read_state(&folder)?;
        let mut segments = segment::list(&folder)?;
        let kept = segments.split_off(&state.before);
        for dropped in segments.values() {
            dropped.remove()?;
        }
        let next = match kept.last_key_value() {
            Some((first, last)) => EvidencePosition(first.0 + last.repair()?),
            None => state.before,
        };
        Ok(Self {
            host,
            folder,
            segments: kept,
            state,
            next,
            writer: None,
            segment_bytes,
            failed: false,
        })
    }

    /// Position of the next record to append.
    pub fn next(&self) -> EvidencePosition {
        self.next
    }

    /// Appends records in replicated order and syncs them. Skips records that are already stored.
    /// Missing positions leave a gap, which the files of other keepers cover.
    ///
    /// # Errors
    ///
    /// If this append or an earlier one fails. The files must then be reopened: after a failed sync
    /// the operating system may drop written data, and a later sync would still succeed.
    pub fn append(&mut self, records: &[IndexedRecord]) -> Result<EvidencePosition, JournalError> {
        if self.failed {
            return Err(JournalError::Failed);
        }
        self.failed = true;
        let first_new = records.partition_point(|record| record.position < self.next);
        for record in records.iter().skip(first_new) {
            let mut writer = self.writer_for(record.position)?;
            writer.line(&record.record)?;
            self.writer = Some(writer);
            self.next = EvidencePosition(record.position.0 + 1);
        }
        if let Some(writer) = &mut self.writer {
            writer.sync()?;
        }
        self.failed = false;
        Ok(self.next)
    }

    /// Writes all stored records to `out` as an export: anchors, records, heads, end.
    ///
    /// # Errors
    ///
    /// If the files can't be read or `out` can't be written.
    pub fn export<W>(&self, now: WallTime, out: &mut W) -> Result<(), JournalError>
    where
        W: Write,
    {
        let mut export = EvidenceExport::default();
        let mut heads: BTreeMap<ChainWriter, ChainHead> = BTreeMap::new();
        for anchor in self.state.anchors.values() {
            self.write(
                out,
                &export.anchor(anchor.clone()).map_err(JournalError::Line)?,
            )?;
            heads.insert(anchor.writer.clone(), head_of(anchor));
        }
        for segment in self.segments.values() {
            for line in segment.lines()? {
                let line = line?;
                // Exports an unreadable line unchanged, so that verification reports it.
                if let Ok(sealed) = SealedRecord::parse(&line) {
                    heads.insert(sealed.record.writer.clone(), sealed.head());
                }
                export.count_record();
                self.write(out, &line)?;
            }
        }
        for head in heads.into_values() {
            self.write(out, &export.head(head).map_err(JournalError::Line)?)?;
        }
        self.write(out, &export.end(now).map_err(JournalError::Line)?)
    }

    /// Returns up to `limit` records that match `filter`, oldest first.
    ///
    /// # Errors
    ///
    /// If the files can't be read.
    pub fn find(
        &self,
        filter: &EvidenceFilter,
        limit: usize,
    ) -> Result<Vec<EvidenceRecord>, JournalError> {
        let mut found = Vec::new();
        for segment in self.segments.values() {
            for line in segment.lines()? {
                if found.len() == limit {
                    return Ok(found);
                }
                let Ok(sealed) = SealedRecord::parse(&line?) else {
                    continue;
                };
                if filter.matches(&sealed.record) {
                    found.push(sealed.record);
                }
            }
        }
        Ok(found)
    }

    /// Plans to drop the oldest segments that exceed the limits of `policy`; `None` if none does.
    /// Never drops the last segment, which is still written.
    ///
    /// # Errors
    ///
    /// If the files can't be read.
    pub fn plan_retention(
        &mut self,
        now: WallTime,
        policy: &RetentionPolicy,
    ) -> Result<Option<RetentionPlan>, JournalError> {
        let max_age = millis(policy.max_age);
        let mut bytes: u64 = 0;
        for segment in self.segments.values() {
            bytes = bytes.saturating_add(segment.bytes()?);
        }
        let mut state = self.state.clone();
        let mut records = Vec::new();
        let firsts: Vec<_> = self.segments.keys().copied().collect();
        for pair in firsts.windows(2) {
            let [first, following] = pair else { continue };
            let Some(segment) = self.segments.get_mut(first) else {
                continue;
            };
            let summary = segment.summary()?.clone();
            let old = now.0.saturating_sub(summary.newest.0) > max_age;
            if !old && bytes <= policy.max_bytes {
                break;
            }
            let reason = if old {
                "older than retain_age"
            } else {
                "beyond retain_bytes"
            };
            bytes = bytes.saturating_sub(segment.bytes()?);
            state.before = *following;
            records.extend(self.record_drop(&mut state, &summary, reason));
        }
        let has_drop = !records.is_empty() || state.before != self.state.before;
        Ok(has_drop.then_some(RetentionPlan { records, state }))
    }

    /// Drops the segments of `plan`. Its records must be stored before this call.
    ///
    /// # Errors
    ///
    /// If the disk fails; remaining segments are dropped when the files are opened again.
    pub fn apply(&mut self, plan: RetentionPlan) -> Result<(), JournalError> {
        write_state(&self.folder, &plan.state)?;
        let kept = self.segments.split_off(&plan.state.before);
        let dropped = std::mem::replace(&mut self.segments, kept);
        self.state = plan.state;
        for segment in dropped.values() {
            segment.remove()?;
        }
        Ok(())
    }

    fn record_drop(
        &self,
        state: &mut DroppedState,
        summary: &SegmentSummary,
        reason: &str,
    ) -> Vec<RetentionApplied> {
        let mut records = Vec::new();
        for head in summary.heads.values() {
            let anchor = ChainAnchor {
                writer: head.writer.clone(),
                through: head.sequence,
                digest: head.digest,
            };
            let host = head.writer.host.clone();
            let known = state.anchors.get(&host);
            if known.is_none_or(|known| known.writer.incarnation <= anchor.writer.incarnation) {
                state.anchors.insert(host, anchor);
            }
            records.push(RetentionApplied {
                keeper: self.host.clone(),
                chain: head.writer.clone(),
                through: head.sequence,
                digest: head.digest,
                reason: reason.into(),
            });
        }
        records
    }

    /// Returns the writer of the segment for `position`. Syncs a full segment before it starts the
    /// next one.
    fn writer_for(&mut self, position: EvidencePosition) -> Result<SegmentWriter, JournalError> {
        if let Some(mut writer) = self.writer.take() {
            if position == self.next && writer.bytes() < self.segment_bytes {
                return Ok(writer);
            }
            writer.sync()?;
        }
        if let Some((_, last)) = self.segments.last_key_value()
            && position == self.next
            && last.bytes()? < self.segment_bytes
        {
            return last.append();
        }
        let segment = Segment::new(&self.folder, position);
        let writer = segment.append()?;
        segment::sync_folder(&self.folder)?;
        self.segments.insert(position, segment);
        Ok(writer)
    }

    fn write<W>(&self, out: &mut W, line: &str) -> Result<(), JournalError>
    where
        W: Write,
    {
        writeln!(out, "{line}").map_err(|error| JournalError::file(&self.folder, error))
    }
}

fn head_of(anchor: &ChainAnchor) -> ChainHead {
    ChainHead {
        writer: anchor.writer.clone(),
        sequence: anchor.through,
        digest: anchor.digest,
    }
}

fn read_state(folder: &Path) -> Result<DroppedState, JournalError> {
    let path = folder.join(STATE_FILE);
    match fs::read(&path) {
        Ok(bytes) => {
            serde_json::from_slice(&bytes).map_err(|error| JournalError::State { path, error })
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(DroppedState::default()),
        Err(error) => Err(JournalError::file(&path, error)),
    }
}

/// Replaces the state atomically: writes and syncs a temporary file, then renames it.
fn write_state(folder: &Path, state: &DroppedState) -> Result<(), JournalError> {
    let (path, temporary) = (folder.join(STATE_FILE), folder.join(TEMPORARY_STATE_FILE));
    let text = serde_json::to_vec(state).map_err(|error| JournalError::State {
        path: path.clone(),
        error,
    })?;
    let written = fs::File::create(&temporary).and_then(|mut file| {
        file.write_all(&text)?;
        file.sync_all()
    });
    written
        .and_then(|()| fs::rename(&temporary, &path))
        .map_err(|error| JournalError::file(&path, error))?;
    segment::sync_folder(folder)
}
