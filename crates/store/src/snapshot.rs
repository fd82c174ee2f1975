//! Snapshot files: written under a temporary name, synced, then renamed.

use crate::error::StoreError;
use crate::files::FileSystem;
use crate::frame::{FrameScan, encode_frame, scan_frame};
use crate::identity::path_of;
use crate::log_store::StoreSnapshot;
use crate::record::SnapshotHead;
use crate::segment::{
    FileKind, FileStart, TEMPORARY_SUFFIX, encode_start, read_start, snapshot_name,
};

/// Content of a snapshot file.
pub(crate) struct SnapshotFile {
    pub(crate) snapshot: StoreSnapshot,
    pub(crate) first_segment: u64,
    pub(crate) restart_frame: Option<u64>,
    pub(crate) bytes: u64,
}

/// Writes a snapshot and returns its size in bytes; the earlier snapshot remains.
///
/// Only a complete and synced file gets the name of a snapshot. After a crash the newest snapshot
/// is therefore either the earlier one or this one, and always complete.
pub(crate) fn write_snapshot(
    files: &dyn FileSystem,
    snapshot: &StoreSnapshot,
    first_segment: u64,
    restart_frame: Option<u64>,
) -> Result<u64, StoreError> {
    let name = snapshot_name(snapshot.mark.index.0);
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let path = path_of(files, &temporary);
    let failed = |error| StoreError::disk("writing a snapshot", &path, error);
    let head = SnapshotHead {
        mark: snapshot.mark.clone(),
        first_segment,
        restart_frame,
    };
    let start = encode_start(FileKind::Snapshot, &head)?;
    let state = encode_frame(&snapshot.state)?;
    let mut file = files.create(&temporary).map_err(failed)?;
    file.append(&start).map_err(failed)?;
    file.append(&state).map_err(failed)?;
    file.sync().map_err(failed)?;
    files.rename(&temporary, &name).map_err(failed)?;
    files.sync_folder().map_err(failed)?;
    Ok((start.len() + state.len()) as u64)
}

/// Reads a snapshot file. It was synced before it got its name, so any error in it is damage.
pub(crate) fn read_snapshot(
    files: &dyn FileSystem,
    name: &str,
) -> Result<SnapshotFile, StoreError> {
    let path = path_of(files, name);
    let bytes = files
        .read(name)
        .map_err(|error| StoreError::disk("reading a snapshot", &path, error))?;
    let (head, offset): (SnapshotHead, usize) = match read_start(FileKind::Snapshot, &path, &bytes)?
    {
        FileStart::Complete(head, offset) => (head, offset),
        FileStart::Torn => {
            return Err(StoreError::damaged(&path, 0, "snapshot file is incomplete"));
        }
    };
    let state = match scan_frame(&bytes, offset) {
        FrameScan::Complete { payload, next } if next == bytes.len() => payload.to_vec(),
        FrameScan::Damaged { reason } => {
            return Err(StoreError::damaged(&path, offset as u64, reason));
        }
        FrameScan::Complete { .. } => {
            return Err(StoreError::damaged(
                &path,
                offset as u64,
                "snapshot file has bytes after its state",
            ));
        }
        FrameScan::End | FrameScan::Torn => {
            return Err(StoreError::damaged(
                &path,
                offset as u64,
                "snapshot file is incomplete",
            ));
        }
    };
    Ok(SnapshotFile {
        snapshot: StoreSnapshot {
            mark: head.mark,
            state,
        },
        first_segment: head.first_segment,
        restart_frame: head.restart_frame,
        bytes: bytes.len() as u64,
    })
}
