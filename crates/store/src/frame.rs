//! Checksummed frames: the unit that is written and synced as a whole.
//!
//! Layout, little endian: magic, payload length, payload checksum, checksum of these twelve bytes,
//! then the payload. Frames are synced one by one, so a crash can leave at most one frame
//! unfinished and that frame is the last of its file.

use crate::error::StoreError;

/// Bytes before the payload.
pub(crate) const FRAME_HEAD: usize = 16;
/// Largest payload that is written or read.
pub(crate) const FRAME_BOUND: usize = 256 * 1024 * 1024;

const FRAME_MAGIC: u32 = 0x7066_6472;
const CHECKED_HEAD: usize = 12;
/// Smallest unit in which a disk leaves data unwritten.
const SECTOR: usize = 512;
/// Zero bytes that a payload's part of a sector must have before the sector counts as unwritten.
const UNWRITTEN_RUN: usize = 16;

/// What stands at an offset of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameScan<'bytes> {
    /// Nothing: the file ends here.
    End,
    /// A whole frame.
    Complete {
        /// Its content.
        payload: &'bytes [u8],
        /// Offset after it.
        next: usize,
    },
    /// The start of a frame whose write a crash cut off.
    Torn,
    /// A frame that was whole once.
    Damaged {
        /// What doesn't fit.
        reason: &'static str,
    },
}

/// Encodes one frame.
pub(crate) fn encode_frame(payload: &[u8]) -> Result<Vec<u8>, StoreError> {
    let too_large = || StoreError::TooLarge {
        bytes: payload.len() as u64,
        bound: FRAME_BOUND as u64,
    };
    if payload.len() > FRAME_BOUND {
        return Err(too_large());
    }
    let length = u32::try_from(payload.len()).map_err(|_| too_large())?;
    let mut bytes = Vec::with_capacity(FRAME_HEAD + payload.len());
    bytes.extend_from_slice(&FRAME_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let head_checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&head_checksum.to_le_bytes());
    bytes.extend_from_slice(payload);
    Ok(bytes)
}

/// Reads the frame at `offset` of a file's `bytes`; any bytes give an answer.
///
/// A frame that a crash cut off is told from a damaged one by what a crash can do: leave the file
/// short, or leave whole sectors of the last frame zero. Anything else was whole once. A checksum
/// of its own guards the length, since a flipped length bit would pass for a short file.
#[must_use]
pub fn scan_frame(bytes: &[u8], offset: usize) -> FrameScan<'_> {
    let Some(rest) = bytes.get(offset..) else {
        return FrameScan::End;
    };
    if rest.is_empty() {
        return FrameScan::End;
    }
    let Some((head, after)) = rest.split_at_checked(FRAME_HEAD) else {
        return FrameScan::Torn;
    };
    let Some((length, checksum)) = read_head(head) else {
        return scan_bad_head(bytes, offset, head);
    };
    let Some(payload) = after.get(..length) else {
        return FrameScan::Torn;
    };
    let next = offset + FRAME_HEAD + length;
    if crc32fast::hash(payload) == checksum {
        return FrameScan::Complete { payload, next };
    }
    let last = next == bytes.len();
    if last && has_unwritten_sector(payload, offset + FRAME_HEAD) {
        return FrameScan::Torn;
    }
    FrameScan::Damaged {
        reason: "payload checksum differs",
    }
}

fn read_head(head: &[u8]) -> Option<(usize, u32)> {
    let (checked, head_checksum) = head.split_at_checked(CHECKED_HEAD)?;
    if crc32fast::hash(checked) != word_at(head_checksum, 0)? {
        return None;
    }
    if word_at(checked, 0)? != FRAME_MAGIC {
        return None;
    }
    let length = usize::try_from(word_at(checked, 4)?).ok()?;
    (length <= FRAME_BOUND).then_some((length, word_at(checked, 8)?))
}

fn word_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let word = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(word.try_into().ok()?))
}

/// A head can be unwritten as a whole, or up to or from a sector border inside it.
fn scan_bad_head<'bytes>(bytes: &'bytes [u8], offset: usize, head: &[u8]) -> FrameScan<'bytes> {
    let border = SECTOR - offset % SECTOR;
    let (before, after) = head.split_at(border.min(head.len()));
    let unwritten = is_zero(before) || (!after.is_empty() && is_zero(after));
    if unwritten && !whole_frame_follows(bytes, offset + 1) {
        return FrameScan::Torn;
    }
    FrameScan::Damaged {
        reason: "frame head checksum differs",
    }
}

/// Whether any whole frame stands behind `from`: then what stands before it was synced.
fn whole_frame_follows(bytes: &[u8], from: usize) -> bool {
    let magic = FRAME_MAGIC.to_le_bytes();
    (from..bytes.len().saturating_sub(FRAME_HEAD - 1)).any(|offset| {
        let candidate = &bytes[offset..];
        if !candidate.starts_with(&magic) {
            return false;
        }
        let Some((length, checksum)) = read_head(&candidate[..FRAME_HEAD]) else {
            return false;
        };
        candidate
            .get(FRAME_HEAD..FRAME_HEAD + length)
            .is_some_and(|payload| crc32fast::hash(payload) == checksum)
    })
}

fn has_unwritten_sector(payload: &[u8], start: usize) -> bool {
    let first = (SECTOR - start % SECTOR).min(payload.len());
    let (head, tail) = payload.split_at(first);
    std::iter::once(head)
        .chain(tail.chunks(SECTOR))
        .any(|part| part.len() >= UNWRITTEN_RUN && is_zero(part))
}

fn is_zero(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}
