//! Bytes of a body that is read in whole.

use bytes::Bytes;
use tokio::time::Instant;

use crate::body::ReadFailure;
use crate::body_memory::BodyReservation;

/// Bytes of a body up to a limit, in the memory of a reservation, if there is one.
///
/// Invariant: the reservation covers the capacity of `content`.
#[derive(Debug)]
pub struct BodyBuffer<'memory> {
    content: Vec<u8>,
    limit: usize,
    reservation: Option<&'memory BodyReservation>,
}

impl<'memory> BodyBuffer<'memory> {
    /// Creates an empty buffer for a body of at least `declared` bytes, and at most `limit`.
    ///
    /// # Errors
    /// [`ReadFailure::TooLarge`] if more is declared, and [`ReadFailure::MemoryUsedUp`], both before a byte
    /// is stored.
    pub fn new(
        now: Instant,
        declared: u64,
        limit: usize,
        reservation: Option<&'memory BodyReservation>,
    ) -> Result<Self, ReadFailure> {
        let mut buffer = Self {
            content: Vec::new(),
            limit,
            reservation,
        };
        buffer.ensure_capacity(now, usize::try_from(declared).unwrap_or(usize::MAX))?;
        Ok(buffer)
    }

    /// Adds a part of the body.
    ///
    /// # Errors
    /// As [`BodyBuffer::new`].
    pub fn push(&mut self, now: Instant, part: &[u8]) -> Result<(), ReadFailure> {
        let length = self.content.len().saturating_add(part.len());
        self.ensure_capacity(now, length)?;
        self.content.extend_from_slice(part);
        if let Some(reservation) = self.reservation {
            reservation.record_moved(now, part.len());
        }
        Ok(())
    }

    /// The complete body.
    pub fn finish(self) -> Bytes {
        self.content.into()
    }

    fn ensure_capacity(&mut self, now: Instant, length: usize) -> Result<(), ReadFailure> {
        if length > self.limit {
            return Err(ReadFailure::TooLarge { limit: self.limit });
        }
        let capacity = self.content.capacity();
        if length <= capacity {
            return Ok(());
        }
        let capacity_needed = length.max(capacity * 2).min(self.limit);
        if let Some(reservation) = self.reservation {
            reservation.grow(now, capacity_needed - capacity)?;
        }
        self.content
            .reserve_exact(capacity_needed - self.content.len());
        Ok(())
    }
}
