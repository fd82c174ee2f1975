//! Names, prefixes and header records of the store's files.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::StoreError;
use crate::frame::{FrameScan, encode_frame, scan_frame};
use crate::record::{decode_record, encode_record};

/// Format number of all files that this version writes and reads.
pub(crate) const STORE_FORMAT: u32 = 1;
/// Name of the lock file.
pub(crate) const LOCK_NAME: &str = "lock";
/// File name suffix of files that are still being written.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

const PREFIX_MAGIC: &[u8; 7] = b"PDRIFT\n";
/// Size of magic, kind and format before the first frame, in bytes.
pub(crate) const PREFIX_BYTES: usize = 12;

/// Content type of a file, encoded as one letter in the prefix.
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

/// File name of log segment `number`.
pub(crate) fn segment_name(number: u64) -> String {
    format!("log-{number:020}.seg")
}

/// Segment number in the file name `name`; `None` if it names no segment.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    parse_number(name, "log-", ".seg")
}

/// File name of the snapshot whose last entry is `index`.
pub(crate) fn snapshot_name(index: u64) -> String {
    format!("snapshot-{index:020}.snap")
}

/// Index of the last entry in the snapshot `name`; `None` if it names no snapshot.
pub(crate) fn snapshot_index(name: &str) -> Option<u64> {
    parse_number(name, "snapshot-", ".snap")
}

fn parse_number(name: &str, prefix: &str, suffix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?
        .strip_suffix(suffix)?
        .parse()
        .ok()
}

/// Encodes the start of a file: the prefix, then `head` as the first frame.
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

/// Result of reading the start of a file.
pub(crate) enum FileStart<T> {
    /// The header record, and the offset after its frame.
    Complete(T, usize),
    /// A crash interrupted the write of the start.
    Torn,
}

/// Reads the prefix and the header record of a file.
///
/// # Errors
/// Fails if the file has another type or format, or if the header record is damaged.
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
        return Err(StoreError::damaged(
            path,
            0,
            "file prefix has another magic or file type",
        ));
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
