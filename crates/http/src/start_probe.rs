//! Recognises chunks and heads at the start of a body that has no framing by its head.

use bytes::{Bytes, BytesMut};

/// Longest size of a chunk that is recognised, in digits.
const MAX_SIZE_DIGITS: usize = 8;
/// Maximum size of a first chunk that is recognised, in bytes; they are held back until its end.
const MAX_HELD_BYTES: usize = 16 * 1024;
/// Length of a status line up to its status.
const STATUS_LINE_START: usize = b"HTTP/1.1 200".len();

/// Holds back the start of a body until it is known what it is.
///
/// A head whose transfer coding has lost its name leaves a body that ends with its connection and has the
/// sizes of its chunks between its bytes. An interim head whose status has become a final one leaves the
/// head of the answer as its body.
#[derive(Debug, Default)]
pub(crate) struct StartProbe {
    held: BytesMut,
}

/// What the start of a body is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyStart {
    /// More bytes are needed.
    Undecided,
    /// A chunk: its size, as many bytes, and a line break.
    Chunk,
    /// The status line of an answer.
    Head,
    /// Neither; contains all bytes so far.
    Bytes(Bytes),
}

impl StartProbe {
    /// Adds the next bytes of the body.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> BodyStart {
        self.held.extend_from_slice(bytes);
        match (begins_chunk(&self.held), begins_head(&self.held)) {
            (Some(true), _) => BodyStart::Chunk,
            (_, Some(true)) => BodyStart::Head,
            (Some(false), Some(false)) => BodyStart::Bytes(self.take()),
            (None, _) | (_, None) => BodyStart::Undecided,
        }
    }

    /// Returns the bytes that are held back at the end of the body.
    pub(crate) fn take(&mut self) -> Bytes {
        std::mem::take(&mut self.held).freeze()
    }
}

/// Whether `bytes` begin with a chunk; `None` if more of them are needed.
fn begins_chunk(bytes: &[u8]) -> Option<bool> {
    let digits = bytes
        .iter()
        .take_while(|byte| byte.is_ascii_hexdigit())
        .count();
    if digits > MAX_SIZE_DIGITS {
        return Some(false);
    }
    let (size, rest) = bytes.split_at(digits);
    if !b"\r\n".starts_with(&rest[..rest.len().min(2)]) || (digits == 0 && !rest.is_empty()) {
        return Some(false);
    }
    let data = rest.get(2..)?;
    let size = std::str::from_utf8(size).ok()?;
    let size = usize::from_str_radix(size, 16).ok()?;
    if size > MAX_HELD_BYTES {
        return Some(false);
    }
    let end = data.get(size..size + 2)?;
    Some(end == b"\r\n")
}

/// Whether `bytes` begin with the status line of an answer; `None` if more of them are needed.
pub(crate) fn begins_head(bytes: &[u8]) -> Option<bool> {
    let start = &bytes[..bytes.len().min(STATUS_LINE_START)];
    let is_pattern = start.iter().enumerate().all(|(index, byte)| match index {
        7 => matches!(byte, b'0' | b'1'),
        9.. => byte.is_ascii_digit(),
        _ => b"HTTP/1.x ".get(index) == Some(byte),
    });
    match is_pattern {
        true if start.len() < STATUS_LINE_START => None,
        is_pattern => Some(is_pattern),
    }
}

#[cfg(test)]
mod tests {
    use super::{BodyStart, StartProbe};

    // Guards against bytes of a body that are lost or taken for chunks or heads, however they are divided.
    #[test]
    fn the_start_of_a_body_is_recognised_in_any_parts() {
        let chunked = [
            "5\r\nwhole\r\n0\r\n\r\n",
            "0\r\n\r\n",
            "1A\r\nabcdefghijklmnopqrstuvwxyz\r\n",
        ];
        let heads = ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 503"];
        let plain = [
            "data: a\n\n",
            "HTTP/1.1 is a protocol",
            "HTTP/2.0 200",
            "HTTP/1.1",
            "HTTP",
            "id: 1\n\n",
            "deadbeef",
            "42\r\nis a number\r\n",
            "5\nwhole\n",
            "20261206\r\n1\r\n",
            "",
            "\r\n",
            "5",
        ];
        let chunked = chunked.map(|body| (body, Some(BodyStart::Chunk)));
        let heads = heads.map(|body| (body, Some(BodyStart::Head)));
        let plain = plain.map(|body| (body, None));
        for (body, recognised) in chunked.into_iter().chain(heads).chain(plain) {
            for part in 1..=body.len().max(1) {
                let mut probe = StartProbe::default();
                let mut start = BodyStart::Undecided;
                let mut parts = body.as_bytes().chunks(part);
                let mut passed = Vec::new();
                while start == BodyStart::Undecided
                    && let Some(bytes) = parts.next()
                {
                    start = probe.push(bytes);
                }
                if let BodyStart::Bytes(bytes) = &start {
                    passed.extend_from_slice(bytes);
                }
                passed.extend_from_slice(&probe.take());
                passed.extend(parts.flatten());
                let found = Some(&start)
                    .filter(|start| matches!(start, BodyStart::Chunk | BodyStart::Head));
                assert_eq!(found, recognised.as_ref(), "{body:?} by {part}");
                assert_eq!(passed, body.as_bytes(), "{body:?} by {part}");
            }
        }
    }
}
