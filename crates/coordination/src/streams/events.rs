//! Event streams that pass through: whole events only, each once and in order.
//!
//! An engine may stop in the middle of an event. A caller that got the half of it could not be
//! served on by another engine, which starts after a whole one. So bytes leave here event by event,
//! and the number of the last one is known at every moment.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

use crate::base::number_type;

/// Most bytes of one event; far above what a step of an engine makes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

number_type!(
    /// Number of an event in its stream; rises by one.
    EventId(u64)
);

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number, where it has one.
    pub id: Option<EventId>,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// An event is longer than accepted.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("event of more than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Cuts a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: BytesMut,
    /// Bytes of `buffer` that hold no end of an event.
    searched: usize,
}

impl EventFramer {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    ///
    /// # Errors
    /// More bytes came than one event may have.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLong> {
        let Some(end) = self.find_end() else {
            self.searched = self.buffer.len().saturating_sub(3);
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = find_id(&bytes);
        Ok(Some(StreamEvent { id, bytes }))
    }

    /// Whether bytes of an unfinished event wait.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&self) -> Option<usize> {
        let from = self.searched;
        let rest = self.buffer.get(from..)?;
        let plain = rest.windows(2).position(|pair| pair == b"\n\n");
        let plain = plain.map(|at| from + at + 2);
        let windows = rest.windows(4).position(|four| four == b"\r\n\r\n");
        let windows = windows.map(|at| from + at + 4);
        match (plain, windows) {
            (Some(plain), Some(windows)) => Some(plain.min(windows)),
            (plain, windows) => plain.or(windows),
        }
    }
}

fn find_id(event: &[u8]) -> Option<EventId> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(values.next()?).ok()?;
    text.trim().parse().ok().map(EventId)
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// The caller lacks it, and it is next.
    Deliver,
    /// The caller holds it.
    Seen,
    /// Events before it are missing, or it has no number though others have.
    Gap,
}

/// Which events of one stream the caller holds, over all servers that made a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventProgress {
    last: Option<EventId>,
}

impl EventProgress {
    /// Progress of a caller that holds events up to `last`.
    pub fn after(last: Option<EventId>) -> Self {
        Self { last }
    }

    /// Last event that the caller holds.
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Judges an event, and counts it as delivered where the verdict says so.
    pub fn take(&mut self, id: Option<EventId>) -> EventVerdict {
        let verdict = match (self.last, id) {
            (Some(last), Some(id)) if id <= last => EventVerdict::Seen,
            (Some(last), Some(id)) if id == last.next() => EventVerdict::Deliver,
            (Some(_), _) => EventVerdict::Gap,
            (None, _) => EventVerdict::Deliver,
        };
        if verdict == EventVerdict::Deliver {
            self.last = id.or(self.last);
        }
        verdict
    }
}
