//! Limit on accepted connections whose first request is not answered yet.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep_until};

/// Time after which a connection no longer counts, even if its first request is not answered.
/// Clients that connect and send nothing, or whose answers take long, must not keep others out.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Slots of the new connections of one server.
pub(crate) struct NewConnections {
    slots: Arc<Semaphore>,
    /// Connections that may hold a slot, oldest first.
    open: VecDeque<OpenSlot>,
}

struct OpenSlot {
    deadline: Instant,
    permit: Weak<Mutex<Option<OwnedSemaphorePermit>>>,
}

/// Slot of one connection, freed by the first answer, by the timeout or by the last clone's drop.
#[derive(Clone)]
pub(crate) struct NewConnection {
    permit: Arc<Mutex<Option<OwnedSemaphorePermit>>>,
}

impl NewConnections {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(max)),
            open: VecDeque::new(),
        }
    }

    /// Waits for a free slot. A cancelled wait changes nothing.
    pub(crate) async fn free_slot(&mut self) -> OwnedSemaphorePermit {
        loop {
            self.free_expired(Instant::now());
            let oldest = self.open.front().map(|slot| slot.deadline);
            let expired = async {
                match oldest {
                    Some(deadline) => sleep_until(deadline).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // The semaphore is never closed.
                Ok(permit) = Arc::clone(&self.slots).acquire_owned() => return permit,
                () = expired => {}
            }
        }
    }

    /// Gives the slot to a connection accepted at `now`.
    pub(crate) fn open(&mut self, now: Instant, permit: OwnedSemaphorePermit) -> NewConnection {
        let permit = Arc::new(Mutex::new(Some(permit)));
        self.open.push_back(OpenSlot {
            deadline: now + FIRST_ANSWER_TIMEOUT,
            permit: Arc::downgrade(&permit),
        });
        NewConnection { permit }
    }

    /// Frees the slots of connections that are no longer new, and forgets those that ended.
    fn free_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.open.front() {
            let permit = oldest.permit.upgrade();
            if oldest.deadline > now && permit.as_ref().is_some_and(|permit| is_held(permit)) {
                return;
            }
            if let Some(permit) = permit {
                free(&permit);
            }
            self.open.pop_front();
        }
    }
}

impl NewConnection {
    /// Frees the slot: the connection's first request is answered, or does not come.
    pub(crate) fn free(&self) {
        free(&self.permit);
    }
}

fn is_held(permit: &Mutex<Option<OwnedSemaphorePermit>>) -> bool {
    let permit = permit.lock().unwrap_or_else(PoisonError::into_inner);
    permit.is_some()
}

fn free(permit: &Mutex<Option<OwnedSemaphorePermit>>) {
    let mut permit = permit.lock().unwrap_or_else(PoisonError::into_inner);
    permit.take();
}
