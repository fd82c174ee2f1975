//! Compresses large frames, so that a long document uses less of a small host's bandwidth.

use std::borrow::Cow;

use bytes::Bytes;
use lz4_flex::block;

use super::frame::FrameError;

/// Minimum size in bytes of a frame to compress; shorter frames shrink little.
const MIN_COMPRESSED: usize = 4 * 1024;
/// Maximum size in bytes of a compressed frame after decompression; larger frames are sent
/// uncompressed.
const MAX_DECOMPRESSED: usize = 16 * 1024 * 1024;

/// First byte of an uncompressed frame.
const UNCOMPRESSED: u8 = 0;
/// First byte of a compressed frame; four bytes with its uncompressed length in big-endian order
/// follow.
const COMPRESSED: u8 = 1;

/// Returns the bytes to send for an encoded frame. Compresses it if `is_enabled`, the size is
/// within the limits and the result is shorter.
pub(super) fn compress(frame: &[u8], is_enabled: bool) -> Bytes {
    let length = u32::try_from(frame.len()).ok();
    let length = length.filter(|_| (MIN_COMPRESSED..=MAX_DECOMPRESSED).contains(&frame.len()));
    if let Some(length) = length.filter(|_| is_enabled) {
        let compressed = block::compress(frame);
        if compressed.len() < frame.len() {
            let head = [&[COMPRESSED], &length.to_be_bytes()[..]].concat();
            return [&head[..], &compressed].concat().into();
        }
    }
    [&[UNCOMPRESSED], frame].concat().into()
}

/// Returns the encoded frame from received bytes; untrusted bytes are safe.
///
/// # Errors
/// The format is invalid, or the uncompressed length is over the limit.
pub(super) fn decompress(bytes: &[u8]) -> Result<Cow<'_, [u8]>, FrameError> {
    let garbage = |reason: String| FrameError::Garbage { reason };
    match bytes.split_first() {
        Some((&UNCOMPRESSED, frame)) => Ok(Cow::Borrowed(frame)),
        Some((&COMPRESSED, rest)) => {
            let (length, compressed) = rest
                .split_first_chunk()
                .ok_or_else(|| garbage("compressed frame without a length".to_owned()))?;
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_DECOMPRESSED {
                let bound = MAX_DECOMPRESSED;
                let bytes = length;
                return Err(FrameError::TooLarge { bytes, bound });
            }
            let frame = block::decompress(compressed, length)
                .map_err(|error| garbage(error.to_string()))?;
            if frame.len() != length {
                return Err(garbage("compressed frame with a wrong length".to_owned()));
            }
            Ok(Cow::Owned(frame))
        }
        _ => Err(garbage("unknown compression byte".to_owned())),
    }
}

#[cfg(test)]
mod tests;
