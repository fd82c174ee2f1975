//! Checksummed frames; each frame is written and synced as one unit.
//!
//! Layout, little endian: magic, payload length, payload checksum, checksum of these twelve bytes,
//! then the payload. Frames are synced one by one, so a crash leaves at most one incomplete frame,
//! which is the last of its file.

use crate::error::StoreError;

/// Size of the frame header before the payload, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 16;
/// Maximum payload size in bytes, for writing and reading.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 256 * 1024 * 1024;

const FRAME_MAGIC: u32 = 0x7066_6472;
const CHECKED_HEADER_BYTES: usize = 12;
/// Sector size in bytes: the smallest unit that a disk can leave unwritten.
const SECTOR_BYTES: usize = 512;
/// Minimum size in bytes of an all-zero part of a payload in one sector for which the sector counts
/// as unwritten.
const MIN_UNWRITTEN_BYTES: usize = 16;

/// Result of reading a frame at an offset of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameScan<'bytes> {
    /// The file ends at the offset.
    End,
    /// A complete frame with valid checksums.
    Complete {
        /// Content of the frame.
        payload: &'bytes [u8],
        /// Offset after the frame.
        next: usize,
    },
    /// An incomplete frame whose write a crash interrupted.
    Torn,
    /// A frame that was complete and has changed since.
    Damaged {
        /// Check that failed.
        reason: &'static str,
    },
}

/// Encodes `payload` as one frame with its header.
pub(crate) fn encode_frame(payload: &[u8]) -> Result<Vec<u8>, StoreError> {
    let too_large = || StoreError::TooLarge {
        bytes: payload.len() as u64,
        bound: MAX_PAYLOAD_BYTES as u64,
    };
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(too_large());
    }
    let length = u32::try_from(payload.len()).map_err(|_| too_large())?;
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&FRAME_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let header_checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&header_checksum.to_le_bytes());
    bytes.extend_from_slice(payload);
    Ok(bytes)
}

/// Reads the frame at `offset` of a file's `bytes`; never fails or panics on any input.
///
/// A crash can only truncate the file or leave complete sectors of the last frame zero; such a
/// frame is torn. Any other invalid frame was complete once and is damaged. The header has its own
/// checksum, because a flipped bit of the length would otherwise look like a truncated file.
#[must_use]
pub fn scan_frame(bytes: &[u8], offset: usize) -> FrameScan<'_> {
    let Some(rest) = bytes.get(offset..) else {
        return FrameScan::End;
    };
    if rest.is_empty() {
        return FrameScan::End;
    }
    let Some((header, after)) = rest.split_at_checked(FRAME_HEADER_BYTES) else {
        return FrameScan::Torn;
    };
    let Some((length, checksum)) = read_header(header) else {
        return scan_invalid_header(bytes, offset, header);
    };
    let Some(payload) = after.get(..length) else {
        return FrameScan::Torn;
    };
    let next = offset + FRAME_HEADER_BYTES + length;
    if crc32fast::hash(payload) == checksum {
        return FrameScan::Complete { payload, next };
    }
    let is_last = next == bytes.len();
    if is_last && has_unwritten_sector(payload, offset + FRAME_HEADER_BYTES) {
        return FrameScan::Torn;
    }
    FrameScan::Damaged {
        reason: "payload checksum differs",
    }
}

fn read_header(header: &[u8]) -> Option<(usize, u32)> {
    let (checked, header_checksum) = header.split_at_checked(CHECKED_HEADER_BYTES)?;
    if crc32fast::hash(checked) != word_at(header_checksum, 0)? {
        return None;
    }
    if word_at(checked, 0)? != FRAME_MAGIC {
        return None;
    }
    let length = usize::try_from(word_at(checked, 4)?).ok()?;
    (length <= MAX_PAYLOAD_BYTES).then_some((length, word_at(checked, 8)?))
}

fn word_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let word = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(word.try_into().ok()?))
}

/// Classifies a frame whose header is invalid. A crash can leave a header completely unwritten, or
/// unwritten before or after a sector boundary inside it.
fn scan_invalid_header<'bytes>(
    bytes: &'bytes [u8],
    offset: usize,
    header: &[u8],
) -> FrameScan<'bytes> {
    let boundary = SECTOR_BYTES - offset % SECTOR_BYTES;
    let (before, after) = header.split_at(boundary.min(header.len()));
    let unwritten = is_zero(before) || (!after.is_empty() && is_zero(after));
    if unwritten && !complete_frame_follows(bytes, offset + 1) {
        return FrameScan::Torn;
    }
    FrameScan::Damaged {
        reason: "frame header checksum differs",
    }
}

/// Whether a complete frame starts at or after `from`; if so, the bytes before it were synced.
fn complete_frame_follows(bytes: &[u8], from: usize) -> bool {
    let magic = FRAME_MAGIC.to_le_bytes();
    (from..bytes.len().saturating_sub(FRAME_HEADER_BYTES - 1)).any(|offset| {
        let candidate = &bytes[offset..];
        if !candidate.starts_with(&magic) {
            return false;
        }
        let Some((length, checksum)) = read_header(&candidate[..FRAME_HEADER_BYTES]) else {
            return false;
        };
        candidate
            .get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length)
            .is_some_and(|payload| crc32fast::hash(payload) == checksum)
    })
}

fn has_unwritten_sector(payload: &[u8], start: usize) -> bool {
    let first = (SECTOR_BYTES - start % SECTOR_BYTES).min(payload.len());
    let (first_part, rest) = payload.split_at(first);
    std::iter::once(first_part)
        .chain(rest.chunks(SECTOR_BYTES))
        .any(|part| part.len() >= MIN_UNWRITTEN_BYTES && is_zero(part))
}

fn is_zero(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}
