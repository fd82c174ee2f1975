//! Packs large frames, so that a long document takes a part of a small host's link.

use std::borrow::Cow;

use bytes::Bytes;
use lz4_flex::block;

use super::frame::FrameError;

/// Bytes from which on a frame is packed. Short frames shrink little.
const COMPRESS_FROM: usize = 4 * 1024;
/// Most bytes of a packed frame once it is unpacked; larger ones are not packed.
const MAX_DECOMPRESSED: usize = 16 * 1024 * 1024;

/// First byte of a frame as it is.
const UNCOMPRESSED: u8 = 0;
/// First byte of a packed frame; its length before packing follows, as four bytes.
const COMPRESSED: u8 = 1;

/// Bytes that travel for an encoded frame.
pub(super) fn compress(frame: &[u8], is_worth_it: bool) -> Bytes {
    let length = u32::try_from(frame.len()).ok();
    let length = length.filter(|_| (COMPRESS_FROM..=MAX_DECOMPRESSED).contains(&frame.len()));
    if let Some(length) = length.filter(|_| is_worth_it) {
        let packed = block::compress(frame);
        if packed.len() < frame.len() {
            let head = [&[COMPRESSED], &length.to_be_bytes()[..]].concat();
            return [&head[..], &packed].concat().into();
        }
    }
    [&[UNCOMPRESSED], frame].concat().into()
}

/// The encoded frame of bytes that travelled; any bytes are safe.
pub(super) fn decompress(bytes: &[u8]) -> Result<Cow<'_, [u8]>, FrameError> {
    let garbage = |reason: String| FrameError::Garbage { reason };
    match bytes.split_first() {
        Some((&UNCOMPRESSED, frame)) => Ok(Cow::Borrowed(frame)),
        Some((&COMPRESSED, rest)) => {
            let (length, packed) = rest
                .split_first_chunk()
                .ok_or_else(|| garbage("a packed frame without its length".to_owned()))?;
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_DECOMPRESSED {
                let bound = MAX_DECOMPRESSED;
                let bytes = length;
                return Err(FrameError::TooLarge { bytes, bound });
            }
            let frame =
                block::decompress(packed, length).map_err(|error| garbage(error.to_string()))?;
            if frame.len() != length {
                return Err(garbage("a packed frame of another length".to_owned()));
            }
            Ok(Cow::Owned(frame))
        }
        _ => Err(garbage("neither plain nor packed".to_owned())),
    }
}

#[cfg(test)]
mod tests;
