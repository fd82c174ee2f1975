//! Recovers the state of a data folder after a stop or crash.

use std::collections::VecDeque;

use pollendrift_coordination::agreement::{HardState, LogEntry, LogIndex};

use crate::error::StoreError;
use crate::files::FileSystem;
use crate::frame::{FrameScan, scan_frame};
use crate::identity::path_of;
use crate::log_store::StoreSnapshot;
use crate::record::{LogRecord, SegmentHead, decode_record};
use crate::segment::{
    FileKind, FileStart, LOCK_NAME, TEMPORARY_SUFFIX, read_start, segment_name, segment_number,
    snapshot_index, snapshot_name,
};
use crate::snapshot::{SnapshotFile, read_snapshot};

/// Recovered state with which a keeper starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// Newest hard state.
    pub hard: HardState,
    /// Newest snapshot; `None` if none was taken.
    pub snapshot: Option<StoreSnapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}

/// An incomplete last frame whose write a crash interrupted. The keeper never acknowledged its
/// content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// Path of the segment.
    pub path: String,
    /// Offset at which recovery truncates the file, in bytes.
    pub offset: u64,
    /// Number of bytes that recovery removes.
    pub bytes: u64,
}

/// Findings of recovery, for the log and the diagnostic dump.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Whether the folder contained no log and has been formatted.
    pub fresh: bool,
    /// Number of segments read.
    pub segments: u64,
    /// Number of frames read.
    pub frames: u64,
    /// Incomplete end of the last segment that recovery removed.
    pub torn_tail: Option<TornTail>,
    /// Names of removed files that an interrupted snapshot or segment change left behind.
    pub removed: Vec<String>,
}

/// Log state after applying the frames of the segments.
#[derive(Default)]
pub(crate) struct ReplayedLog {
    /// Index of the first entry in `entries`, or of the next entry if it is empty.
    base: LogIndex,
    entries: VecDeque<LogEntry>,
    pub(crate) hard: HardState,
    /// Sequence number of the next frame.
    pub(crate) frame: u64,
    sealed: bool,
}

impl ReplayedLog {
    /// Index of the next entry to append.
    pub(crate) fn next(&self) -> LogIndex {
        LogIndex(self.base.0.saturating_add(self.entries.len() as u64))
    }

    fn apply(&mut self, record: LogRecord) -> Result<(), String> {
        if record.number != self.frame {
            return Err(format!(
                "found frame {}, expected frame {}",
                record.number, self.frame
            ));
        }
        self.frame = self.frame.saturating_add(1);
        self.sealed = record.sealed;
        if let Some(hard) = record.hard {
            self.hard = hard;
        }
        if let Some(index) = record.restart_at {
            self.entries.clear();
            self.base = index;
        }
        if let Some(from) = record.truncate_from {
            self.truncate(from);
        }
        for entry in record.entries {
            let entry = LogEntry::from(entry);
            if entry.index != self.next() {
                return Err(format!(
                    "found entry {}, expected entry {}",
                    entry.index,
                    self.next()
                ));
            }
            self.entries.push_back(entry);
        }
        Ok(())
    }

    fn truncate(&mut self, from: LogIndex) {
        if from < self.base {
            self.base = from;
        }
        let keep = from.0.saturating_sub(self.base.0);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }
}

/// Number, start index and size of one segment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentSpan {
    pub(crate) number: u64,
    /// Index of the next entry when the segment was created.
    pub(crate) next: LogIndex,
    pub(crate) bytes: u64,
}

/// Complete result of recovery.
pub(crate) struct Replay {
    pub(crate) log: ReplayedLog,
    pub(crate) recovered: RecoveredLog,
    pub(crate) spans: Vec<SegmentSpan>,
    /// Number of the segment that receives new frames.
    pub(crate) last_segment: u64,
    pub(crate) snapshot_bytes: u64,
    /// Index after the snapshot at which the next append must restart the log.
    pub(crate) restart_at: Option<LogIndex>,
    pub(crate) report: RecoveryReport,
}

/// Reads all files, removes a torn tail and the files that an interrupted step left behind.
///
/// # Errors
/// Fails if a file is missing or damaged, or if the disk failed.
pub(crate) fn replay_folder(files: &dyn FileSystem) -> Result<Replay, StoreError> {
    let mut report = RecoveryReport::default();
    let names = list_names(files)?;
    let newest = names.iter().filter_map(|name| snapshot_index(name)).max();
    let snapshot = newest
        .map(|index| read_snapshot(files, &snapshot_name(index)))
        .transpose()?;
    remove_obsolete(files, &names, newest, &mut report)?;
    let first = snapshot.as_ref().map_or(1, |read| read.first_segment);
    let numbers = check_segments(files, &names, first, &mut report)?;
    let mut log = ReplayedLog::default();
    let mut spans = Vec::new();
    for (position, number) in numbers.iter().enumerate() {
        let last = position + 1 == numbers.len();
        let Some(span) = replay_segment(files, *number, last, &mut log, &mut report)? else {
            remove_file(files, &segment_name(*number), &mut report)?;
            continue;
        };
        spans.push(span);
    }
    let last = spans.last().ok_or_else(|| StoreError::Missing {
        path: path_of(files, &segment_name(first)),
        needed_by: path_of(files, "identity"),
    })?;
    if log.sealed {
        return Err(StoreError::Missing {
            path: path_of(files, &segment_name(last.number + 1)),
            needed_by: path_of(files, &segment_name(last.number)),
        });
    }
    let last_segment = last.number;
    rewrite_tail(files, &spans)?;
    let snapshot_bytes = snapshot.as_ref().map_or(0, |read| read.bytes);
    let (recovered, restart_at) = combine_snapshot(files, &log, snapshot)?;
    report.segments = spans.len() as u64;
    Ok(Replay {
        log,
        recovered,
        spans,
        last_segment,
        snapshot_bytes,
        restart_at,
        report,
    })
}

fn list_names(files: &dyn FileSystem) -> Result<Vec<String>, StoreError> {
    files
        .list()
        .map_err(|error| StoreError::disk("listing the folder", &files.folder(), error))
}

fn remove_obsolete(
    files: &dyn FileSystem,
    names: &[String],
    newest: Option<u64>,
    report: &mut RecoveryReport,
) -> Result<(), StoreError> {
    for name in names {
        let is_older = snapshot_index(name).is_some_and(|index| Some(index) != newest);
        let is_partial = name.ends_with(TEMPORARY_SUFFIX) && name != LOCK_NAME;
        if is_older || is_partial {
            remove_file(files, name, report)?;
        }
    }
    Ok(())
}

fn remove_file(
    files: &dyn FileSystem,
    name: &str,
    report: &mut RecoveryReport,
) -> Result<(), StoreError> {
    files.remove(name).map_err(|error| {
        StoreError::disk("removing an obsolete file", &path_of(files, name), error)
    })?;
    report.removed.push(name.to_owned());
    Ok(())
}

/// Returns the numbers of the segments to read, in order, and removes the segments before `first`,
/// which the snapshot covers. Fails if a segment is missing.
fn check_segments(
    files: &dyn FileSystem,
    names: &[String],
    first: u64,
    report: &mut RecoveryReport,
) -> Result<Vec<u64>, StoreError> {
    let mut numbers = Vec::new();
    for name in names {
        let Some(number) = segment_number(name) else {
            continue;
        };
        if number < first {
            remove_file(files, name, report)?;
            continue;
        }
        numbers.push(number);
    }
    for (expected, number) in (first..).zip(&numbers) {
        if expected != *number {
            return Err(StoreError::Missing {
                path: path_of(files, &segment_name(expected)),
                needed_by: path_of(files, &segment_name(*number)),
            });
        }
    }
    Ok(numbers)
}

/// Applies one segment; returns `None` if a crash came before the previous segment was sealed.
fn replay_segment(
    files: &dyn FileSystem,
    number: u64,
    last: bool,
    log: &mut ReplayedLog,
    report: &mut RecoveryReport,
) -> Result<Option<SegmentSpan>, StoreError> {
    let name = segment_name(number);
    let path = path_of(files, &name);
    let bytes = files
        .read(&name)
        .map_err(|error| StoreError::disk("reading the log", &path, error))?;
    let (head, start): (SegmentHead, usize) = match read_start(FileKind::Segment, &path, &bytes)? {
        FileStart::Complete(head, start) => (head, start),
        FileStart::Torn => {
            return Err(StoreError::damaged(
                &path,
                0,
                "segment header is incomplete",
            ));
        }
    };
    let first = log.frame == 0;
    let empty = start == bytes.len();
    if !first && !log.sealed && last && empty {
        return Ok(None);
    }
    if !first && !log.sealed {
        let before = path_of(files, &segment_name(number - 1));
        return Err(StoreError::damaged(
            &before,
            0,
            "segment has no final frame, but another segment follows",
        ));
    }
    check_head(&path, number, &head, log, first)?;
    if first {
        log.base = head.next;
        log.frame = head.frame;
        log.hard = head.hard;
    }
    log.sealed = false;
    let end = replay_frames(&path, &bytes, start, log, report)?;
    if end < bytes.len() && log.sealed {
        return Err(StoreError::damaged(
            &path,
            end as u64,
            "bytes after the final frame of the segment",
        ));
    }
    if end < bytes.len() {
        report.torn_tail = Some(TornTail {
            path: path.clone(),
            offset: end as u64,
            bytes: (bytes.len() - end) as u64,
        });
    }
    Ok(Some(SegmentSpan {
        number,
        next: head.next,
        bytes: end as u64,
    }))
}

fn check_head(
    path: &str,
    number: u64,
    head: &SegmentHead,
    log: &ReplayedLog,
    first: bool,
) -> Result<(), StoreError> {
    if head.number != number {
        let reason = format!("file contains segment {}", head.number);
        return Err(StoreError::damaged(path, 0, reason));
    }
    if !first && (head.frame != log.frame || head.next != log.next() || head.hard != log.hard) {
        let reason = "segment header does not match the end of the previous segment";
        return Err(StoreError::damaged(path, 0, reason));
    }
    Ok(())
}

/// Applies the frames from offset `start`; returns the offset after the last complete frame.
fn replay_frames(
    path: &str,
    bytes: &[u8],
    start: usize,
    log: &mut ReplayedLog,
    report: &mut RecoveryReport,
) -> Result<usize, StoreError> {
    let mut offset = start;
    loop {
        match scan_frame(bytes, offset) {
            FrameScan::End | FrameScan::Torn => return Ok(offset),
            FrameScan::Damaged { reason } => {
                return Err(StoreError::damaged(path, offset as u64, reason));
            }
            FrameScan::Complete { payload, next } => {
                decode_record(payload)
                    .and_then(|record| log.apply(record))
                    .map_err(|reason| StoreError::damaged(path, offset as u64, reason))?;
                report.frames += 1;
                offset = next;
            }
        }
    }
}

/// Number of segments at the end of the log that recovery rewrites. A failed sync affects the last
/// segment or, if it was the sync of a sealing frame, the segment before it.
const REWRITTEN_SEGMENTS: usize = 2;

/// Rewrites the end of the log without a torn tail, and syncs it before the keeper sends any reply.
///
/// The frames that were read may exist only in the page cache: a killed process leaves frames that
/// were never synced, and a failed sync leaves frames whose pages count as clean, so that no later
/// sync writes them. A keeper that replied from such frames would lose them in a power failure.
fn rewrite_tail(files: &dyn FileSystem, spans: &[SegmentSpan]) -> Result<(), StoreError> {
    let first = spans.len().saturating_sub(REWRITTEN_SEGMENTS);
    for span in spans.iter().skip(first) {
        let name = segment_name(span.number);
        let path = path_of(files, &name);
        let failed = |error| StoreError::disk("rewriting the end of the log", &path, error);
        let mut bytes = files.read(&name).map_err(failed)?;
        bytes.truncate(usize::try_from(span.bytes).unwrap_or(usize::MAX));
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        let mut file = files.create(&temporary).map_err(failed)?;
        file.append(&bytes).map_err(failed)?;
        file.sync().map_err(failed)?;
        files.rename(&temporary, &name).map_err(failed)?;
    }
    files
        .sync_folder()
        .map_err(|error| StoreError::disk("syncing the folder", &files.folder(), error))
}

/// Combines the snapshot with the entries after it.
///
/// A snapshot from the leader is written before the frame that restarts the log after it. A crash
/// between the two leaves a log that ends before the snapshot or contradicts it, sometimes only in
/// entries whose segments are removed. Therefore the snapshot stores the number of this frame, and
/// while the frame is missing all entries of the log are invalid. In any other case the log must
/// contain the last entry of its snapshot.
fn combine_snapshot(
    files: &dyn FileSystem,
    log: &ReplayedLog,
    snapshot: Option<SnapshotFile>,
) -> Result<(RecoveredLog, Option<LogIndex>), StoreError> {
    let hard = log.hard.clone();
    let Some(read) = snapshot else {
        let entries = log.entries.iter().cloned().collect();
        let recovered = RecoveredLog {
            hard,
            snapshot: None,
            entries,
        };
        return Ok((recovered, None));
    };
    let mark = &read.snapshot.mark;
    let after = mark.index.next();
    if log.base > after && read.restart_frame != Some(log.frame) {
        return Err(StoreError::Missing {
            path: format!("{} log entries {} to {}", files.folder(), after, log.base),
            needed_by: path_of(files, &snapshot_name(mark.index.0)),
        });
    }
    let restarts = read.restart_frame == Some(log.frame);
    let same_term = |entry: &LogEntry| entry.index != mark.index || entry.term == mark.term;
    let contains_end = log.next() >= after && log.entries.iter().all(same_term);
    if !restarts && !contains_end {
        let path = path_of(files, &snapshot_name(mark.index.0));
        return Err(StoreError::damaged(
            &path,
            0,
            "log does not contain the last entry of the snapshot",
        ));
    }
    let entries = if restarts {
        Vec::new()
    } else {
        let later = log.entries.iter().filter(|entry| entry.index > mark.index);
        later.cloned().collect()
    };
    let recovered = RecoveredLog {
        hard,
        snapshot: Some(read.snapshot),
        entries,
    };
    Ok((recovered, restarts.then_some(after)))
}
