//! Memory for bodies that are read in whole, shared by all of them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slotmap::{SlotMap, new_key_type};

use crate::body::ReadFailure;

new_key_type! {
    /// Key of a body that is being read.
    struct BodyKey;
}

/// Limit of the memory for all bodies that are read at the same time.
///
/// A limit for each body does not bound their sum: a thousand servers may send bytes without end. If
/// the memory is used up, the largest body is given up, so that such bytes do not displace the short
/// answers of other servers.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    state: Arc<Mutex<MemoryState>>,
    max_bytes: usize,
}

/// Invariant: `total` is the sum of `sizes`, and at most the limit after each change.
#[derive(Debug, Default)]
struct MemoryState {
    sizes: SlotMap<BodyKey, usize>,
    total: usize,
}

/// Memory of one body; dropping it frees the memory.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    key: BodyKey,
}

impl BodyMemory {
    /// Creates a limit of `max_bytes` for all bodies together.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            state: Arc::default(),
            max_bytes,
        }
    }

    /// Starts a body without bytes.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation {
            key: self.lock().sizes.insert(0),
            memory: self.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BodyReservation {
    /// Adds `bytes` to the body.
    ///
    /// # Errors
    /// [`ReadFailure::MemoryUsedUp`] if this body was given up; its reader must drop what it has read.
    pub fn grow(&self, bytes: usize) -> Result<(), ReadFailure> {
        let mut state = self.memory.lock();
        if let Some(size) = state.sizes.get_mut(self.key) {
            *size += bytes;
            state.total += bytes;
        }
        while state.total > self.memory.max_bytes {
            let largest = state.sizes.iter().max_by_key(|(_, size)| **size);
            let Some(largest) = largest.map(|(key, _)| key) else {
                break;
            };
            state.free(largest);
        }
        if state.sizes.contains_key(self.key) {
            return Ok(());
        }
        Err(ReadFailure::MemoryUsedUp)
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.lock().free(self.key);
    }
}

impl MemoryState {
    fn free(&mut self, key: BodyKey) {
        self.total -= self.sizes.remove(key).unwrap_or(0);
    }
}

#[cfg(test)]
mod tests {
    use super::BodyMemory;

    /// Guards against endless bodies that displace short ones: the largest is given up, and only that.
    #[test]
    fn the_largest_body_is_given_up() {
        let memory = BodyMemory::new(100);
        let (short, long, endless) = (memory.reserve(), memory.reserve(), memory.reserve());
        assert!(short.grow(10).is_ok());
        assert!(long.grow(30).is_ok());
        assert!(endless.grow(50).is_ok());
        assert!(short.grow(20).is_ok(), "the endless one makes room");
        assert!(endless.grow(1).is_err());
        assert!(long.grow(30).is_ok());
        assert!(long.grow(30).is_err(), "it is the largest now");
        drop((long, endless));
        let next = memory.reserve();
        assert!(next.grow(70).is_ok());
        assert!(next.grow(1).is_err());
        assert!(short.grow(0).is_ok());
    }
}
