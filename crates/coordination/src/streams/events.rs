//! Forwarding of event streams: only complete events, each once and in order.
//!
//! An engine may stop in the middle of an event. Another engine can only continue after a complete
//! event, so a caller with a partial event could not get the rest. Bytes are therefore forwarded
//! event by event, and the number of the last forwarded event is always known.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

use crate::base::number_type;

/// Maximum number of bytes of one event, far more than one step of an engine produces.
const MAX_EVENT_BYTES: usize = 32 * 1024;

number_type!(
    /// Number of an event in its stream; consecutive events have consecutive numbers.
    EventId(u64)
);

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number of the event, if it has one.
    pub id: Option<EventId>,
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
}

/// An event exceeds the maximum size.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("event of more than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Reason why an answer can't be forwarded behind the events that came before.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum EventFault {
    /// An event exceeds the maximum size.
    #[display("{_0}")]
    TooLong(#[error(not(source))] EventTooLong),
    /// Events are missing, or an event has no number that can be read.
    #[display("the chain skipped events")]
    Gap,
}

/// Whole events that the caller has not received yet, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// Bytes of the events; empty if there are none.
    pub bytes: Bytes,
    /// Progress of the caller once it has received `bytes`.
    pub progress: EventProgress,
    /// Why no event can follow `bytes`; `None` if events may follow.
    pub fault: Option<EventFault>,
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: BytesMut,
    /// Number of bytes of `buffer` already searched for the end of an event.
    searched: usize,
}

impl EventFramer {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` if the buffer contains none.
    ///
    /// # Errors
    /// If the buffer holds more than 32 KiB without the end of an event.
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

    /// Removes all complete events up to the first fault, and returns those that a caller with
    /// `progress` lacks.
    ///
    /// A fault is part of the batch and not an error, because the events before it are sound. The
    /// caller of this function must deliver them and only then record the batch's progress.
    pub fn next_batch(&mut self, progress: EventProgress) -> EventBatch {
        let mut progress = progress;
        let mut events: Vec<Bytes> = Vec::new();
        let fault = loop {
            let event = match self.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break None,
                Err(error) => break Some(EventFault::TooLong(error)),
            };
            match progress.take(event.id) {
                EventVerdict::Deliver => events.push(event.bytes),
                EventVerdict::Seen => {}
                EventVerdict::Gap => break Some(EventFault::Gap),
            }
        };
        let bytes = match events.as_mut_slice() {
            [event] => std::mem::take(event),
            events => events.concat().into(),
        };
        EventBatch {
            bytes,
            progress,
            fault,
        }
    }

    /// Whether the buffer contains bytes of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&self) -> Option<usize> {
        let from = self.searched;
        let rest = self.buffer.get(from..)?;
        let lf = rest.windows(2).position(|pair| pair == b"\n\n");
        let lf = lf.map(|at| from + at + 2);
        let crlf = rest.windows(4).position(|four| four == b"\r\n\r\n");
        let crlf = crlf.map(|at| from + at + 4);
        match (lf, crlf) {
            (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
            (lf, crlf) => lf.or(crlf),
        }
    }
}

fn find_id(event: &[u8]) -> Option<EventId> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(values.next()?).ok()?;
    text.trim().parse().ok().map(EventId)
}

/// Decision about an event of a forwarded stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// The event is the next one for the caller.
    Deliver,
    /// The caller already has the event.
    Seen,
    /// Events before it are missing, or it has no number although events of this stream need one.
    Gap,
}

/// The last event of one stream that the caller has, across all servers that produced a part of it.
///
/// Invariant: with `needs_numbers`, `last` is `None` only while the caller has no event, so that
/// another server that begins anew repeats nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventProgress {
    last: Option<EventId>,
    /// Whether each event must have a number.
    needs_numbers: bool,
}

impl EventProgress {
    /// Creates the progress of a caller that has all events up to `last`.
    pub fn after(last: Option<EventId>) -> Self {
        Self {
            last,
            needs_numbers: false,
        }
    }

    /// Creates the progress of a caller whose stream another server may continue.
    pub fn resumable_after(last: Option<EventId>) -> Self {
        Self {
            last,
            needs_numbers: true,
        }
    }

    /// Number of the last event that the caller has.
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Decides about the event numbered `id` and, for [`EventVerdict::Deliver`], records it as
    /// delivered.
    pub fn take(&mut self, id: Option<EventId>) -> EventVerdict {
        let verdict = match (self.last, id) {
            (Some(last), Some(id)) if id <= last => EventVerdict::Seen,
            (Some(last), Some(id)) if id == last.next() => EventVerdict::Deliver,
            (Some(_), _) => EventVerdict::Gap,
            (None, None) if self.needs_numbers => EventVerdict::Gap,
            (None, _) => EventVerdict::Deliver,
        };
        if verdict == EventVerdict::Deliver {
            self.last = id.or(self.last);
        }
        verdict
    }
}
