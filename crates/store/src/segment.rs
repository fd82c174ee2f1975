//! Names, prefixes and heads of the store's files.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::StoreError;
use crate::frame::{FrameScan, encode_frame, scan_frame};
use crate::record::{decode_record, encode_record};

/// Format of all files of this version.
pub(crate) const STORE_FORMAT: u32 = 1;
/// Name of the lock file.
pub(crate) const LOCK_NAME: &str = "lock";
/// Ending of files that aren't whole yet.
pub(crate) const TEMPORARY_ENDING: &str = ".tmp";

const PREFIX_MAGIC: &[u8; 7] = b"PDRIFT\n";
/// Bytes of magic, kind and format before the first frame.
pub(crate) const PREFIX_BYTES: usize = 12;

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Identity,
    Segment,
    Snapshot,
}

impl FileKind {
    fn letter(self) -> u8 {
        match self {
            Self::Identity => b'I',
            Self::Segment => b'L',
            Self::Snapshot => b'S',
        }
    }
}

/// Name of log segment `number`.
pub(crate) fn segment_name(number: u64) -> String {
    format!("log-{number:020}.seg")
}

/// Number of the segment that `name` stands for.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    numbered(name, "log-", ".seg")
}

/// Name of the snapshot that ends at log index `index`.
pub(crate) fn snapshot_name(index: u64) -> String {
    format!("snapshot-{index:020}.snap")
}

/// Log index at which the snapshot `name` ends.
pub(crate) fn snapshot_index(name: &str) -> Option<u64> {
    numbered(name, "snapshot-", ".snap")
}

fn numbered(name: &str, start: &str, end: &str) -> Option<u64> {
    name.strip_prefix(start)?.strip_suffix(end)?.parse().ok()
}

/// Start of a file: the prefix and its head as the first frame.
pub(crate) fn encode_start<T>(kind: FileKind, head: &T) -> Result<Vec<u8>, StoreError>
where
    T: Serialize,
{
    let mut bytes = PREFIX_MAGIC.to_vec();
    bytes.push(kind.letter());
    bytes.extend_from_slice(&STORE_FORMAT.to_le_bytes());
    bytes.extend(encode_frame(&encode_record(head)?)?);
    Ok(bytes)
}

/// How the start of a file reads.
pub(crate) enum FileStart<T> {
    /// Its head, and the offset after it.
    Complete(T, usize),
    /// A crash cut the start off.
    Torn,
}

/// Reads prefix and head.
pub(crate) fn read_start<T>(
    kind: FileKind,
    path: &str,
    bytes: &[u8],
) -> Result<FileStart<T>, StoreError>
where
    T: DeserializeOwned,
{
    let Some((prefix, _)) = bytes.split_at_checked(PREFIX_BYTES) else {
        return Ok(FileStart::Torn);
    };
    if bytes.iter().all(|byte| *byte == 0) {
        return Ok(FileStart::Torn);
    }
    let (magic, format) = prefix.split_at(PREFIX_MAGIC.len() + 1);
    if !magic.starts_with(PREFIX_MAGIC) || magic.last() != Some(&kind.letter()) {
        return Err(StoreError::damaged(path, 0, "file type differs"));
    }
    let found = format.try_into().map(u32::from_le_bytes).unwrap_or(0);
    if found != STORE_FORMAT {
        return Err(StoreError::UnknownFormat {
            path: path.to_owned(),
            found,
            known: STORE_FORMAT,
        });
    }
    match scan_frame(bytes, PREFIX_BYTES) {
        FrameScan::Complete { payload, next } => {
            let head = decode_record(payload)
                .map_err(|reason| StoreError::damaged(path, PREFIX_BYTES as u64, reason))?;
            Ok(FileStart::Complete(head, next))
        }
        FrameScan::End | FrameScan::Torn => Ok(FileStart::Torn),
        FrameScan::Damaged { reason } => {
            Err(StoreError::damaged(path, PREFIX_BYTES as u64, reason))
        }
    }
}
