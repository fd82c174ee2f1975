//! Log store that uses log segments in one data folder.

use std::sync::Arc;

use pollendrift_coordination::agreement::{HardState, LogIndex};
use pollendrift_coordination::base::{HostName, Incarnation, WallTime};

use crate::error::StoreError;
use crate::files::{FileSystem, FolderLock, StoreFile};
use crate::frame::encode_frame;
use crate::identity::{JoinedGroup, StoreIdentity, open_identity, path_of, write_identity};
use crate::log_store::{LogStore, PersistBatch, StoreSnapshot, StoreUsage, SyncMark};
use crate::record::{LogRecord, SegmentHead, StoredEntry, encode_record};
use crate::recovery::{RecoveredLog, RecoveryReport, Replay, SegmentSpan, replay_folder};
use crate::segment::{
    FileKind, LOCK_NAME, TEMPORARY_SUFFIX, encode_start, segment_name, segment_number,
    snapshot_index, snapshot_name,
};
use crate::settings::StoreSettings;
use crate::snapshot::write_snapshot;

/// Parameters for opening a data folder.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Host that opens the folder.
    pub host: HostName,
    /// Current wall-clock time, from which an empty folder gets its incarnation.
    pub wall: WallTime,
    /// Limits for file sizes.
    pub settings: StoreSettings,
}

/// An opened store and its recovered state.
pub struct OpenedStore {
    /// Store that accepts writes.
    pub store: SegmentStore,
    /// Recovered state with which the keeper starts.
    pub recovered: RecoveredLog,
    /// Findings of recovery.
    pub report: RecoveryReport,
}

/// Log segments, snapshots and identity in one data folder.
///
/// Invariant: `next`, `hard` and `mark.frame` describe the synced state until `stopped` is set. A
/// failed call sets `stopped`; after that the store does not use them.
pub struct SegmentStore {
    files: Box<dyn FileSystem>,
    settings: StoreSettings,
    identity: StoreIdentity,
    /// Closed segments and the current one, in order; never empty.
    spans: Vec<SegmentSpan>,
    current: Box<dyn StoreFile>,
    next: LogIndex,
    hard: HardState,
    mark: SyncMark,
    restart_at: Option<LogIndex>,
    /// Index of the last entry in the newest snapshot; 0 without a snapshot.
    snapshot_index: LogIndex,
    snapshot_bytes: u64,
    syncs: u64,
    stopped: Option<Arc<str>>,
    _lock: Box<dyn FolderLock>,
}

impl SegmentStore {
    /// Locks the folder, checks its identity, recovers the log and increments the number of opens.
    ///
    /// # Errors
    /// Fails if the folder is in use, belongs to another host, is a copy or is damaged, or if the
    /// disk failed. The error names the file and the recovery steps for the operator.
    pub fn open(
        files: Box<dyn FileSystem>,
        request: &OpenRequest,
    ) -> Result<OpenedStore, StoreError> {
        let folder = files.folder();
        let lock = files
            .lock(LOCK_NAME)
            .map_err(|error| StoreError::disk("locking the folder", &folder, error))?
            .ok_or_else(|| StoreError::Locked {
                folder: folder.clone(),
            })?;
        let has_log = has_log(files.as_ref())?;
        let opened = open_identity(files.as_ref(), &request.host, request.wall, has_log)?;
        if opened.fresh {
            create_segment(files.as_ref(), &first_head())?;
        }
        let mut replay = replay_folder(files.as_ref())?;
        replay.report.fresh = opened.fresh;
        let name = segment_name(replay.last_segment);
        let current = files.open(&name).map_err(|error| {
            let path = path_of(files.as_ref(), &name);
            StoreError::disk("opening the log", &path, error)
        })?;
        let Replay {
            log,
            recovered,
            spans,
            snapshot_bytes,
            restart_at,
            report,
            ..
        } = replay;
        let store = Self {
            mark: SyncMark {
                frame: log.frame,
                opens: opened.identity.opens,
            },
            files,
            settings: request.settings,
            identity: opened.identity,
            spans,
            current,
            next: restart_at.unwrap_or_else(|| log.next()),
            hard: log.hard,
            restart_at,
            snapshot_index: recovered
                .snapshot
                .as_ref()
                .map_or(LogIndex(0), |snapshot| snapshot.mark.index),
            snapshot_bytes,
            syncs: 0,
            stopped: None,
            _lock: lock,
        };
        Ok(OpenedStore {
            store,
            recovered,
            report,
        })
    }

    /// Identity of the data folder.
    #[must_use]
    pub fn identity(&self) -> &StoreIdentity {
        &self.identity
    }

    /// Mark of the last sync.
    #[must_use]
    pub fn mark(&self) -> SyncMark {
        self.mark
    }

    /// Stores the group that the keeper has joined.
    ///
    /// # Errors
    /// Fails if the disk failed.
    pub fn join_group(&mut self, group: JoinedGroup) -> Result<(), StoreError> {
        self.run_unless_stopped(|store| {
            let mut identity = store.identity.clone();
            identity.group = Some(group);
            store.identity = write_identity(store.files.as_ref(), identity)?;
            store.syncs += 2;
            Ok(())
        })
    }

    /// Raises the incarnation above `above`, an incarnation of this host that the group knows and
    /// that conflicts with the current one.
    ///
    /// Has no effect if the keeper has joined a group, because it may have voted under its
    /// incarnation, or if the incarnation is already higher.
    ///
    /// # Errors
    /// Fails if the disk failed.
    pub fn raise_incarnation(&mut self, above: Incarnation) -> Result<(), StoreError> {
        self.run_unless_stopped(|store| {
            let mut identity = store.identity.clone();
            if identity.group.is_some() || identity.incarnation > above {
                return Ok(());
            }
            identity.incarnation = above.next();
            store.identity = write_identity(store.files.as_ref(), identity)?;
            store.syncs += 2;
            Ok(())
        })
    }

    /// Runs `step` unless an earlier step failed; a failure stops the store permanently.
    fn run_unless_stopped<T, F>(&mut self, step: F) -> Result<T, StoreError>
    where
        F: FnOnce(&mut Self) -> Result<T, StoreError>,
    {
        if let Some(first) = &self.stopped {
            return Err(StoreError::Stopped {
                first: first.clone(),
            });
        }
        let result = step(self);
        if let Err(error) = &result {
            self.stopped = Some(error.to_string().into());
        }
        result
    }

    fn write_record(&mut self, mut record: LogRecord) -> Result<(), StoreError> {
        record.number = self.mark.frame;
        let bytes = encode_frame(&encode_record(&record)?)?;
        let name = segment_name(self.current_span().number);
        let path = path_of(self.files.as_ref(), &name);
        self.current
            .append(&bytes)
            .map_err(|error| StoreError::disk("writing the log", &path, error))?;
        self.current
            .sync()
            .map_err(|error| StoreError::disk("syncing the log", &path, error))?;
        self.syncs += 1;
        self.mark.frame += 1;
        if let Some(span) = self.spans.last_mut() {
            span.bytes += bytes.len() as u64;
        }
        Ok(())
    }

    fn current_span(&self) -> SegmentSpan {
        self.spans.last().copied().unwrap_or(SegmentSpan {
            number: 1,
            next: LogIndex(1),
            bytes: 0,
        })
    }

    fn persist_batch(&mut self, batch: &PersistBatch) -> Result<SyncMark, StoreError> {
        if batch.is_empty() {
            return Ok(self.mark);
        }
        let next = self.check_continuity(batch)?;
        if self.current_span().bytes >= self.settings.segment_bytes {
            self.roll_segment()?;
        }
        self.write_record(LogRecord {
            hard: batch.hard.clone(),
            restart_at: self.restart_at,
            truncate_from: batch.truncate_from,
            entries: batch.entries.iter().map(StoredEntry::from).collect(),
            ..LogRecord::default()
        })?;
        self.restart_at = None;
        self.next = next;
        if let Some(hard) = &batch.hard {
            self.hard = hard.clone();
        }
        Ok(self.mark)
    }

    /// Checks that `batch` continues the log; returns the next index after it.
    fn check_continuity(&self, batch: &PersistBatch) -> Result<LogIndex, StoreError> {
        let mut expected = batch
            .truncate_from
            .map_or(self.next, |from| from.min(self.next));
        for entry in &batch.entries {
            if entry.index != expected {
                return Err(StoreError::Gap {
                    expected,
                    found: entry.index,
                });
            }
            expected = expected.next();
        }
        Ok(expected)
    }

    /// Creates the next segment, then seals the current one with a final frame.
    ///
    /// The sealing frame distinguishes a log whose last segment is missing from one that ends here.
    /// The new segment is created first: a crash before the sealing frame is written leaves an
    /// empty segment, which recovery removes.
    fn roll_segment(&mut self) -> Result<(), StoreError> {
        let head = SegmentHead {
            number: self.current_span().number + 1,
            frame: self.mark.frame + 1,
            next: self.restart_at.unwrap_or(self.next),
            hard: self.hard.clone(),
        };
        let (file, bytes) = create_segment(self.files.as_ref(), &head)?;
        self.syncs += 2;
        let restart_at = self.restart_at.take();
        self.write_record(LogRecord {
            restart_at,
            sealed: true,
            ..LogRecord::default()
        })?;
        self.current = file;
        self.spans.push(SegmentSpan {
            number: head.number,
            next: head.next,
            bytes,
        });
        Ok(())
    }

    fn write_and_remove_covered(
        &mut self,
        snapshot: &StoreSnapshot,
        restart_frame: Option<u64>,
    ) -> Result<(), StoreError> {
        let after = snapshot.mark.index.next();
        let needed = self
            .spans
            .iter()
            .rfind(|span| span.next <= after)
            .or(self.spans.first())
            .map_or(1, |span| span.number);
        self.snapshot_index = snapshot.mark.index;
        self.snapshot_bytes = write_snapshot(self.files.as_ref(), snapshot, needed, restart_frame)?;
        self.syncs += 2;
        self.spans.retain(|span| span.number >= needed);
        self.remove_covered(snapshot.mark.index, needed)
    }

    /// Removes the segments and snapshots that the durable snapshot at `index` replaces.
    fn remove_covered(&mut self, index: LogIndex, needed: u64) -> Result<(), StoreError> {
        let folder = self.files.folder();
        let failed =
            |error| StoreError::disk("removing files that a snapshot replaces", &folder, error);
        let newest = snapshot_name(index.0);
        for name in self.files.list().map_err(failed)? {
            let is_old_segment = segment_number(&name).is_some_and(|number| number < needed);
            let is_old_snapshot = snapshot_index(&name).is_some() && name != newest;
            if is_old_segment || is_old_snapshot {
                self.files.remove(&name).map_err(failed)?;
            }
        }
        self.files.sync_folder().map_err(failed)?;
        self.syncs += 1;
        Ok(())
    }
}

impl LogStore for SegmentStore {
    fn persist(&mut self, batch: &PersistBatch) -> Result<SyncMark, StoreError> {
        self.run_unless_stopped(|store| store.persist_batch(batch))
    }

    fn save_snapshot(&mut self, snapshot: &StoreSnapshot) -> Result<SyncMark, StoreError> {
        self.run_unless_stopped(|store| {
            if snapshot.mark.index <= store.snapshot_index {
                return Ok(store.mark);
            }
            if snapshot.mark.index >= store.next {
                return Err(StoreError::Gap {
                    expected: store.next,
                    found: snapshot.mark.index.next(),
                });
            }
            store.write_and_remove_covered(snapshot, None)?;
            Ok(store.mark)
        })
    }

    fn install_snapshot(&mut self, snapshot: &StoreSnapshot) -> Result<SyncMark, StoreError> {
        self.run_unless_stopped(|store| {
            let after = snapshot.mark.index.next();
            if snapshot.mark.index < store.snapshot_index {
                return Err(StoreError::Gap {
                    expected: store.snapshot_index,
                    found: snapshot.mark.index,
                });
            }
            store.write_and_remove_covered(snapshot, Some(store.mark.frame))?;
            store.write_record(LogRecord {
                restart_at: Some(after),
                ..LogRecord::default()
            })?;
            store.restart_at = None;
            store.next = after;
            Ok(store.mark)
        })
    }

    fn next_index(&self) -> LogIndex {
        self.next
    }

    fn usage(&self) -> StoreUsage {
        StoreUsage {
            log_bytes: self.spans.iter().map(|span| span.bytes).sum(),
            snapshot_bytes: self.snapshot_bytes,
            segments: self.spans.len() as u64,
            syncs: self.syncs,
        }
    }
}

fn has_log(files: &dyn FileSystem) -> Result<bool, StoreError> {
    let names = files
        .list()
        .map_err(|error| StoreError::disk("listing the folder", &files.folder(), error))?;
    Ok(names
        .iter()
        .any(|name| segment_number(name).is_some() || snapshot_index(name).is_some()))
}

fn first_head() -> SegmentHead {
    SegmentHead {
        number: 1,
        frame: 1,
        next: LogIndex(1),
        hard: HardState::default(),
    }
}

/// Creates a segment and syncs its header and name before any later write. The file gets its name
/// last, so a segment always has a header.
fn create_segment(
    files: &dyn FileSystem,
    head: &SegmentHead,
) -> Result<(Box<dyn StoreFile>, u64), StoreError> {
    let name = segment_name(head.number);
    let path = path_of(files, &name);
    let failed = |error| StoreError::disk("opening a log segment", &path, error);
    let bytes = encode_start(FileKind::Segment, head)?;
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let mut file = files.create(&temporary).map_err(failed)?;
    file.append(&bytes).map_err(failed)?;
    file.sync().map_err(failed)?;
    files.rename(&temporary, &name).map_err(failed)?;
    files.sync_folder().map_err(failed)?;
    Ok((file, bytes.len() as u64))
}
