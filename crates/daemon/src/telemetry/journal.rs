//! The evidence files of a keeper: what the agreement group recorded, kept beyond its memory.
//!
//! Records lie in the agreed order in segments `evidence/POSITION.jsonl`, one line each, named by
//! the position of the first. All calls block on the disk and belong on a thread of their own.

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
const STATE_DRAFT: &str = "dropped.json.new";

/// Bytes after which a segment ends; retention drops whole segments.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Why the evidence files can't be used.
#[derive(Debug, Display, Error)]
pub enum JournalError {
    /// The disk.
    #[display("{}: {error}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system says.
        #[error(source)]
        error: io::Error,
    },
    /// An earlier append failed.
    #[display("evidence files failed before and must be opened anew")]
    Failed,
    /// A line can't be written.
    #[display("{_0}")]
    Line(#[error(source)] EvidenceError),
    /// The file that says what was dropped can't be read.
    #[display("{}: {error}", path.display())]
    State {
        /// The file.
        path: PathBuf,
        /// What the decoder says.
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

/// What retention has dropped.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct DroppedState {
    /// Position before which everything is dropped.
    before: EvidencePosition,
    /// Last dropped record of each host's latest dropped life. Earlier lives need none: the agreed
    /// order has all their records before those of the later life.
    anchors: BTreeMap<HostName, ChainAnchor>,
}

/// A drop that is planned, and the records to be made of it first.
///
/// The records come first: a crash in between leaves records of a drop that is repeated, not an
/// anchor that nobody vouches for, which verification would call a removal.
#[derive(Clone, Debug)]
pub struct RetentionPlan {
    /// Records to be stored before [`EvidenceJournal::apply`].
    pub records: Vec<RetentionApplied>,
    state: DroppedState,
}

/// Evidence files of one keeper.
///
/// Invariants: segments are in order of their first positions; every position of a segment has a
/// line, empty where the record was no line of text.
#[derive(Debug)]
pub struct EvidenceJournal {
    host: HostName,
    folder: PathBuf,
    segments: BTreeMap<EvidencePosition, Segment>,
    state: DroppedState,
    next: EvidencePosition,
    writer: Option<SegmentWriter>,
    segment_bytes: u64,
    /// Whether an append has failed, so that the files' end is not known.
    failed: bool,
}

impl EvidenceJournal {
    /// Opens the evidence of `host` in its `data_folder`. A last line that was cut off by a crash
    /// is removed: it was never reported as stored, and comes again.
    ///
    /// # Errors
    ///
    /// If the files can't be read.
    pub fn open(host: HostName, data_folder: &Path) -> Result<Self, JournalError> {
        Self::open_with(host, data_folder, SEGMENT_BYTES)
    }

    /// Opens with segments of another size.
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

    /// Position of the record that is to be appended next.
    pub fn next(&self) -> EvidencePosition {
        self.next
    }

    /// Appends records in the agreed order and syncs them; those that are stored already are
    /// passed over. Positions that are missing leave a hole, which the other keepers' files fill.
    ///
    /// # Errors
    ///
    /// If the disk fails, now or before. The files must then be opened anew: after a failed sync
    /// the system may have dropped what was written, and a later sync would not say so.
    pub fn append(&mut self, records: &[IndexedRecord]) -> Result<EvidencePosition, JournalError> {
        if self.failed {
            return Err(JournalError::Failed);
        }
        self.failed = true;
        let new = records.partition_point(|record| record.position < self.next);
        for record in records.iter().skip(new) {
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

    /// Writes everything as an export.
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
                // A line that can't be read goes out as it is: verification names it.
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

    /// Up to `limit` records that `filter` matches, oldest first.
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

    /// Plans to drop the oldest segments that `policy` makes old; `None` if there are none. The
    /// segment that is written is never dropped.
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
            records.extend(self.applied(&mut state, &summary, reason));
        }
        let planned = !records.is_empty() || state.before != self.state.before;
        Ok(planned.then_some(RetentionPlan { records, state }))
    }

    /// Drops what was planned, once its records are stored.
    ///
    /// # Errors
    ///
    /// If the disk fails; what is left is dropped when the files are opened again.
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

    fn applied(
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
            let later = state.anchors.get(&host);
            if later.is_none_or(|known| known.writer.incarnation <= anchor.writer.incarnation) {
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

    /// The writer of the segment that takes `position`; a full one is synced and left.
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

/// Replaces the state whole: it is written beside, synced, and renamed over the old one.
fn write_state(folder: &Path, state: &DroppedState) -> Result<(), JournalError> {
    let (path, draft) = (folder.join(STATE_FILE), folder.join(STATE_DRAFT));
    let text = serde_json::to_vec(state).map_err(|error| JournalError::State {
        path: path.clone(),
        error,
    })?;
    let written = fs::File::create(&draft).and_then(|mut file| {
        file.write_all(&text)?;
        file.sync_all()
    });
    written
        .and_then(|()| fs::rename(&draft, &path))
        .map_err(|error| JournalError::file(&path, error))?;
    segment::sync_folder(folder)
}
