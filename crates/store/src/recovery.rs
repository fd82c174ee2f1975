//! Reads a data folder back after any end of the process.

use std::collections::VecDeque;

use pollendrift_coordination::agreement::{HardState, LogEntry, LogIndex};

use crate::error::StoreError;
use crate::files::FileSystem;
use crate::frame::{FrameScan, scan_frame};
use crate::identity::path_of;
use crate::log_store::StoreSnapshot;
use crate::record::{LogRecord, SegmentHead, decode_record};
use crate::segment::{
    FileKind, FileStart, LOCK_NAME, TEMPORARY_ENDING, read_start, segment_name, segment_number,
    snapshot_index, snapshot_name,
};
use crate::snapshot::{ReadSnapshot, read_snapshot};

/// What a keeper starts from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// Hard state in force.
    pub hard: HardState,
    /// Newest snapshot; `None` if none was taken.
    pub snapshot: Option<StoreSnapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}

/// A frame whose write a crash cut off; nothing that depended on it was ever answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// File.
    pub path: String,
    /// Where the file was cut, in bytes.
    pub offset: u64,
    /// Bytes that were cut off.
    pub bytes: u64,
}

/// What recovery found, for the log and the dump.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// The folder or its log was empty and has been formatted.
    pub fresh: bool,
    /// Segments read.
    pub segments: u64,
    /// Frames read.
    pub frames: u64,
    /// Cut end of the last segment.
    pub torn_tail: Option<TornTail>,
    /// Left-over files of an interrupted snapshot or segment change, now removed.
    pub removed: Vec<String>,
}

/// The log as the segments give it.
#[derive(Default)]
pub(crate) struct ReplayedLog {
    /// Index of the first entry in `entries`, or the next one to come.
    base: LogIndex,
    entries: VecDeque<LogEntry>,
    pub(crate) hard: HardState,
    /// Number of the next frame.
    pub(crate) frame: u64,
    sealed: bool,
}

impl ReplayedLog {
    /// Index at which the log goes on.
    pub(crate) fn next(&self) -> LogIndex {
        LogIndex(self.base.0.saturating_add(self.entries.len() as u64))
    }

    fn apply(&mut self, record: LogRecord) -> Result<(), String> {
        if record.number != self.frame {
            return Err(format!(
                "frame {} stands where frame {} belongs",
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
                return Err(format!("entry {} follows {}", entry.index, self.next()));
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

/// One segment and what is known of it without its frames.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentSpan {
    pub(crate) number: u64,
    /// Index at which the log went on when the segment was opened.
    pub(crate) next: LogIndex,
    pub(crate) bytes: u64,
}

/// Everything that recovery read.
pub(crate) struct Replay {
    pub(crate) log: ReplayedLog,
    pub(crate) recovered: RecoveredLog,
    pub(crate) spans: Vec<SegmentSpan>,
    /// The segment that is written to from now on.
    pub(crate) last_segment: u64,
    pub(crate) snapshot_bytes: u64,
    /// The next append must restart the log here, behind the snapshot.
    pub(crate) restart_at: Option<LogIndex>,
    pub(crate) report: RecoveryReport,
}

/// Reads everything, cuts a torn tail and removes what an interrupted step left behind.
pub(crate) fn replay_folder(files: &dyn FileSystem) -> Result<Replay, StoreError> {
    let mut report = RecoveryReport::default();
    let names = list_names(files)?;
    let newest = names.iter().filter_map(|name| snapshot_index(name)).max();
    let snapshot = newest
        .map(|index| read_snapshot(files, &snapshot_name(index)))
        .transpose()?;
    remove_leftovers(files, &names, newest, &mut report)?;
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
    let (recovered, restart_at) = join_snapshot(files, &log, snapshot)?;
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

fn remove_leftovers(
    files: &dyn FileSystem,
    names: &[String],
    newest: Option<u64>,
    report: &mut RecoveryReport,
) -> Result<(), StoreError> {
    for name in names {
        let older = snapshot_index(name).is_some_and(|index| Some(index) != newest);
        let partial = name.ends_with(TEMPORARY_ENDING) && name != LOCK_NAME;
        if older || partial {
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
        StoreError::disk("removing a left-over file", &path_of(files, name), error)
    })?;
    report.removed.push(name.to_owned());
    Ok(())
}

/// Numbers of the segments to read, in order; those before `first` lie behind the snapshot.
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

/// Applies one segment; `None` if a crash came before the segment ahead of it was sealed.
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
        FileStart::Torn => return Err(StoreError::damaged(&path, 0, "segment head is cut off")),
    };
    let first = log.frame == 0;
    let empty = start == bytes.len();
    if !first && !log.sealed && last && empty {
        return Ok(None);
    }
    if !first && !log.sealed {
        let before = path_of(files, &segment_name(number - 1));
        return Err(StoreError::damaged(&before, 0, "segment has lost its end"));
    }
    check_head(&path, number, &head, log, first)?;
    if first {
        log.base = head.next;
        log.frame = head.frame;
        log.hard = head.hard;
    }
    log.sealed = false;
    let whole = replay_frames(&path, &bytes, start, log, report)?;
    if whole < bytes.len() && log.sealed {
        return Err(StoreError::damaged(
            &path,
            whole as u64,
            "bytes behind the segment's end",
        ));
    }
    if whole < bytes.len() {
        report.torn_tail = Some(TornTail {
            path: path.clone(),
            offset: whole as u64,
            bytes: (bytes.len() - whole) as u64,
        });
    }
    Ok(Some(SegmentSpan {
        number,
        next: head.next,
        bytes: whole as u64,
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
        let reason = format!("holds segment {}", head.number);
        return Err(StoreError::damaged(path, 0, reason));
    }
    if !first && (head.frame != log.frame || head.next != log.next() || head.hard != log.hard) {
        let reason = "doesn't go on where the segment before it ends";
        return Err(StoreError::damaged(path, 0, reason));
    }
    Ok(())
}

/// Applies frames from `start`; returns the offset behind the last whole one.
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

/// Segments at the end that are written anew: a failed sync is in the last one or, if it was that
/// of a seal, in the one before.
const REWRITTEN_SEGMENTS: usize = 2;

/// Writes the end of the log anew, without a torn tail, and syncs it before anything is answered.
///
/// What was read may be in the page cache only: a killed process leaves frames that were never
/// synced, and a failed sync leaves frames whose pages count as clean, so that no later sync writes
/// them. A keeper that answered from either would forget it in a power cut.
fn rewrite_tail(files: &dyn FileSystem, spans: &[SegmentSpan]) -> Result<(), StoreError> {
    let first = spans.len().saturating_sub(REWRITTEN_SEGMENTS);
    for span in spans.iter().skip(first) {
        let name = segment_name(span.number);
        let path = path_of(files, &name);
        let failed = |error| StoreError::disk("writing the end of the log anew", &path, error);
        let mut bytes = files.read(&name).map_err(failed)?;
        bytes.truncate(usize::try_from(span.bytes).unwrap_or(usize::MAX));
        let temporary = format!("{name}{TEMPORARY_ENDING}");
        let mut file = files.create(&temporary).map_err(failed)?;
        file.append(&bytes).map_err(failed)?;
        file.sync().map_err(failed)?;
        files.rename(&temporary, &name).map_err(failed)?;
    }
    files
        .sync_folder()
        .map_err(|error| StoreError::disk("syncing the folder", &files.folder(), error))
}

/// Puts the snapshot before the log's entries.
///
/// A leader's snapshot is written before the frame that restarts the log behind it. A crash between
/// the two leaves a log that ends before the snapshot or contradicts it, at times only in entries
/// whose segments are gone: so the snapshot itself names the frame, and while that is missing the
/// log's entries are void. Any other log has to hold what its snapshot was taken of.
fn join_snapshot(
    files: &dyn FileSystem,
    log: &ReplayedLog,
    snapshot: Option<ReadSnapshot>,
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
    let holds_end = log.next() >= after && log.entries.iter().all(same_term);
    if !restarts && !holds_end {
        let path = path_of(files, &snapshot_name(mark.index.0));
        return Err(StoreError::damaged(
            &path,
            0,
            "log lacks the entry that the snapshot ends with",
        ));
    }
    let entries = if restarts {
        Vec::new()
    } else {
        let joined = log.entries.iter().filter(|entry| entry.index > mark.index);
        joined.cloned().collect()
    };
    let recovered = RecoveredLog {
        hard,
        snapshot: Some(read.snapshot),
        entries,
    };
    Ok((recovered, restarts.then_some(after)))
}
