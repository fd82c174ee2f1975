//! Memory for bodies that are kept in whole, shared by all of them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::body::ReadFailure;

/// Bytes that count as progress of a body.
const PROGRESS_BYTES: usize = 16 << 10;
/// Time without progress after which a body gives way to others.
const SLOW_AFTER: Duration = Duration::from_secs(1);
/// Bodies up to this size may use the part of the memory that larger ones leave.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Reciprocal of the part of the memory that only small bodies use.
const SMALL_BODY_PART: usize = 4;

new_key_type! {
    /// Key of a body that is kept.
    struct BodyKey;
}

/// Which body gives way when the memory is used up and none is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverflowPolicy {
    /// The one that asks for memory: it may come again, and those before it have come further. The last
    /// quarter of the memory is for small bodies, so that large ones do not displace them.
    Newest,
    /// The largest of those that arrive: bytes without an end must not displace short bodies.
    Largest,
}

/// Limit of the memory for all bodies that are kept at the same time.
///
/// A limit for each body does not bound their sum. If the memory is used up, bodies without progress
/// give way first, the one without it for the longest time before the others; then one by the policy.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    state: Arc<Mutex<MemoryState>>,
    max_bytes: usize,
    policy: OverflowPolicy,
}

/// Invariant: `total` is the sum of the sizes of `bodies`, and at most the limit after each change.
#[derive(Debug, Default)]
struct MemoryState {
    bodies: SlotMap<BodyKey, BodyRecord>,
    total: usize,
    /// Bodies that gave way or found no memory.
    refused: u64,
}

#[derive(Debug)]
struct BodyRecord {
    size: usize,
    phase: BodyPhase,
    /// Bytes that have moved since `progressed_at`.
    moved: usize,
    progressed_at: Instant,
    /// Notified when the body gives way.
    given_up: Arc<Notify>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyPhase {
    /// It is being read.
    Arriving,
    /// It is complete, and in use.
    Held,
    /// It is being written to a client.
    Leaving,
}

/// Memory of one body; dropping it frees the memory.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    key: BodyKey,
    given_up: Arc<Notify>,
}

impl BodyMemory {
    /// Creates a limit of `max_bytes` for all bodies together.
    pub fn new(max_bytes: usize, policy: OverflowPolicy) -> Self {
        Self {
            state: Arc::default(),
            max_bytes,
            policy,
        }
    }

    /// Starts a body without bytes.
    pub fn reserve(&self, now: Instant) -> BodyReservation {
        let given_up = Arc::new(Notify::new());
        let record = BodyRecord {
            size: 0,
            phase: BodyPhase::Arriving,
            moved: 0,
            progressed_at: now,
            given_up: Arc::clone(&given_up),
        };
        BodyReservation {
            key: self.lock().bodies.insert(record),
            memory: self.clone(),
            given_up,
        }
    }

    /// Memory of all bodies in bytes.
    pub fn used_bytes(&self) -> usize {
        self.lock().total
    }

    /// Number of bodies so far that gave way or found no memory.
    pub fn refused_bodies(&self) -> u64 {
        self.lock().refused
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Memory that bodies may use together when one of them has `size` bytes.
    fn limit_for(&self, size: usize) -> usize {
        match self.policy {
            OverflowPolicy::Newest if size > SMALL_BODY_BYTES => {
                self.max_bytes - self.max_bytes / SMALL_BODY_PART
            }
            _ => self.max_bytes,
        }
    }
}

impl BodyReservation {
    /// Adds `bytes` to the memory of the body.
    ///
    /// # Errors
    /// [`ReadFailure::TooLarge`] if the body will never fit, and [`ReadFailure::MemoryUsedUp`] if there is
    /// no room now, or if this body gave way. Its reader must drop what it has read.
    pub fn grow(&self, now: Instant, bytes: usize) -> Result<(), ReadFailure> {
        let mut state = self.memory.lock();
        let Some(record) = state.bodies.get_mut(self.key) else {
            return Err(ReadFailure::MemoryUsedUp);
        };
        let limit = self.memory.limit_for(record.size + bytes);
        if record.size + bytes > limit {
            return Err(ReadFailure::TooLarge { limit });
        }
        record.size += bytes;
        state.total += bytes;
        while state.total > limit {
            let victim = state.slowest(now, self.memory.policy);
            let victim = victim.or_else(|| state.overflow_victim(self.key, self.memory.policy));
            state.give_up(victim.unwrap_or(self.key));
            if !state.bodies.contains_key(self.key) {
                return Err(ReadFailure::MemoryUsedUp);
            }
        }
        Ok(())
    }

    /// Records that `bytes` of the body have been read or written.
    pub fn record_moved(&self, now: Instant, bytes: usize) {
        let mut state = self.memory.lock();
        if let Some(record) = state.bodies.get_mut(self.key) {
            record.moved += bytes;
            if record.moved >= PROGRESS_BYTES {
                record.moved = 0;
                record.progressed_at = now;
            }
        }
    }

    /// Records that the body is complete and in use: it no longer gives way.
    pub fn hold(&self) {
        let mut state = self.memory.lock();
        if let Some(record) = state.bodies.get_mut(self.key) {
            record.phase = BodyPhase::Held;
        }
    }

    /// Records that the body is written to a client from `now` on; `given_up` is notified if it gives way.
    pub fn leave(&self, now: Instant, given_up: Arc<Notify>) {
        let mut state = self.memory.lock();
        if let Some(record) = state.bodies.get_mut(self.key) {
            record.phase = BodyPhase::Leaving;
            record.moved = 0;
            record.progressed_at = now;
            record.given_up = given_up;
        }
    }

    /// Ties the memory to `bytes`: it is free once these and all clones of them are dropped.
    pub fn keep_with(self, bytes: Bytes) -> Bytes {
        Arc::new(self).keep_shared_with(bytes)
    }

    /// As [`BodyReservation::keep_with`], for a reservation that is used on.
    pub(crate) fn keep_shared_with(self: Arc<Self>, bytes: Bytes) -> Bytes {
        Bytes::from_owner(KeptBytes {
            bytes,
            _reservation: self,
        })
    }

    /// Resolves when the body, which is being read, gives way.
    pub async fn given_up(&self) {
        self.given_up.notified().await;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.lock().free(self.key);
    }
}

/// Bytes in the memory of a reservation.
struct KeptBytes {
    bytes: Bytes,
    _reservation: Arc<BodyReservation>,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyRecord {
    fn is_slow(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.progressed_at) >= SLOW_AFTER
    }
}

impl MemoryState {
    /// The body that has made no progress for the longest time, if one is slow. Answers that arrive slowly
    /// are up to their servers, and have deadlines.
    fn slowest(&self, now: Instant, policy: OverflowPolicy) -> Option<BodyKey> {
        let may_give_way = |record: &BodyRecord| match record.phase {
            BodyPhase::Arriving => policy == OverflowPolicy::Newest,
            BodyPhase::Held => false,
            BodyPhase::Leaving => true,
        };
        let slow = self
            .bodies
            .iter()
            .filter(|(_, record)| record.size > 0 && record.is_slow(now) && may_give_way(record));
        let slowest = slow.min_by_key(|(_, record)| record.progressed_at);
        slowest.map(|(key, _)| key)
    }

    fn overflow_victim(&self, asking: BodyKey, policy: OverflowPolicy) -> Option<BodyKey> {
        if policy == OverflowPolicy::Newest {
            return Some(asking);
        }
        let arriving = self
            .bodies
            .iter()
            .filter(|(_, record)| record.phase == BodyPhase::Arriving);
        let largest = arriving.max_by_key(|(_, record)| record.size);
        largest.map(|(key, _)| key)
    }

    fn give_up(&mut self, key: BodyKey) {
        if let Some(record) = self.bodies.get(key) {
            record.given_up.notify_one();
        }
        self.refused += 1;
        self.free(key);
    }

    fn free(&mut self, key: BodyKey) {
        self.total -= self.bodies.remove(key).map_or(0, |record| record.size);
    }
}

#[cfg(test)]
mod tests;
