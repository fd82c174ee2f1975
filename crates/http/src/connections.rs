//! Open connections of one server, and which of them makes room for a new one.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time after which a connection without a complete head makes room. A client sends its head right after it
/// has connected.
const HEAD_GRACE: Duration = Duration::from_millis(10);
/// Time without a byte after which an incomplete body, or an answer that is not read, makes room.
const STALL_GRACE: Duration = Duration::from_secs(1);
/// Time after which an incomplete body makes room although bytes arrive.
const BODY_GRACE: Duration = Duration::from_secs(2);

/// Time after an answer within which the server closes a connection whose request it has not read.
const UNREAD_TIME: Duration = Duration::from_millis(100);

/// Bytes that are read on after an answer to a request whose body nobody has begun to read.
const DEFAULT_LINGER_BYTES: usize = 64 << 10;

new_key_type! {
    /// Key of an open connection.
    struct ConnectionKey;
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// No complete head has arrived.
    AwaitingHead { since: Instant, has_bytes: bool },
    /// The body of a request is being read.
    Receiving { since: Instant, moved_at: Instant },
    /// The body of a request could not be read, and the refusal is being written.
    Refusing,
    /// A request is in progress.
    Serving,
    /// The client does not read its answer, whose last part may be under way.
    Blocked { since: Instant, is_answered: bool },
    /// A request was answered before its body was complete.
    Unread { since: Instant },
    /// Open for further requests.
    Idle { since: Instant },
}

/// A connection of a server. Requests carry it among their extensions.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    phase: Arc<Mutex<ConnectionPhase>>,
    /// Bytes that are read on at most if a request is answered before it is complete.
    linger_bytes: Arc<AtomicUsize>,
    close: Arc<Notify>,
    make_room: Arc<Notify>,
}

impl ConnectionHandle {
    fn new(now: Instant) -> Self {
        let phase = ConnectionPhase::AwaitingHead {
            since: now,
            has_bytes: false,
        };
        Self {
            phase: Arc::new(Mutex::new(phase)),
            linger_bytes: Arc::new(AtomicUsize::new(DEFAULT_LINGER_BYTES)),
            close: Arc::default(),
            make_room: Arc::default(),
        }
    }

    /// Closes the connection when notified, whatever it is used for.
    pub fn close(&self) -> &Arc<Notify> {
        &self.close
    }

    /// Records that the body of the request is complete, or that reading it failed.
    pub fn record_body(&self, is_complete: bool) {
        let mut phase = self.phase();
        if matches!(*phase, ConnectionPhase::Receiving { .. }) {
            *phase = if is_complete {
                ConnectionPhase::Serving
            } else {
                ConnectionPhase::Refusing
            };
        }
    }

    /// Lets the server read on for twice the size that a body may have.
    pub(crate) fn allow_linger(&self, max_bytes: usize) {
        let bytes = max_bytes.saturating_mul(2);
        self.linger_bytes.fetch_max(bytes, Ordering::Relaxed);
    }

    pub(crate) fn linger_bytes(&self) -> usize {
        self.linger_bytes.load(Ordering::Relaxed)
    }

    /// Resolves when the connection should make room for another one, and has no request in progress.
    pub(crate) async fn must_make_room(&self) {
        loop {
            self.make_room.notified().await;
            // A request may have arrived since.
            if self.rank(Instant::now()).is_some() {
                return;
            }
        }
    }

    pub(crate) fn record_head(&self, now: Instant, has_body: bool) {
        *self.phase() = if has_body {
            ConnectionPhase::Receiving {
                since: now,
                moved_at: now,
            }
        } else {
            ConnectionPhase::Serving
        };
    }

    pub(crate) fn record_answered(&self, now: Instant) {
        let mut phase = self.phase();
        *phase = match *phase {
            ConnectionPhase::Receiving { .. } | ConnectionPhase::Refusing => {
                ConnectionPhase::Unread { since: now }
            }
            ConnectionPhase::Blocked { since, .. } => ConnectionPhase::Blocked {
                since,
                is_answered: true,
            },
            _ => ConnectionPhase::Idle { since: now },
        };
    }

    pub(crate) fn record_read(&self, now: Instant) {
        let mut phase = self.phase();
        match &mut *phase {
            ConnectionPhase::AwaitingHead { has_bytes, .. } => *has_bytes = true,
            ConnectionPhase::Receiving { moved_at, .. } => *moved_at = now,
            ConnectionPhase::Idle { .. } | ConnectionPhase::Unread { .. } => {
                *phase = ConnectionPhase::AwaitingHead {
                    since: now,
                    has_bytes: true,
                };
            }
            _ => {}
        }
    }

    pub(crate) fn record_blocked(&self, now: Instant) {
        let mut phase = self.phase();
        let is_answered = match *phase {
            ConnectionPhase::Serving => false,
            ConnectionPhase::Idle { .. } => true,
            _ => return,
        };
        *phase = ConnectionPhase::Blocked {
            since: now,
            is_answered,
        };
    }

    pub(crate) fn record_written(&self, now: Instant) {
        let mut phase = self.phase();
        if let ConnectionPhase::Blocked { is_answered, .. } = *phase {
            *phase = if is_answered {
                ConnectionPhase::Idle { since: now }
            } else {
                ConnectionPhase::Serving
            };
        }
    }

    /// Whether a complete head has arrived on the connection.
    pub(crate) fn has_request(&self) -> bool {
        !matches!(*self.phase(), ConnectionPhase::AwaitingHead { .. })
    }

    /// Whether the body of the request could not be read.
    pub(crate) fn is_refusing(&self) -> bool {
        *self.phase() == ConnectionPhase::Refusing
    }

    /// Whether the client may be sending a request of which no more is read, as it has been answered.
    pub(crate) fn may_be_sending(&self, now: Instant) -> bool {
        match *self.phase() {
            ConnectionPhase::AwaitingHead { has_bytes, .. } => has_bytes,
            ConnectionPhase::Unread { since } => now.saturating_duration_since(since) < UNREAD_TIME,
            ConnectionPhase::Receiving { .. } | ConnectionPhase::Refusing => true,
            _ => false,
        }
    }

    fn phase(&self) -> MutexGuard<'_, ConnectionPhase> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Rank among the connections that may make room, lowest first; `None` if it must not.
    fn rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let is_over = |at: Instant, grace| now.saturating_duration_since(at) >= grace;
        match *self.phase() {
            ConnectionPhase::AwaitingHead { since, .. } if is_over(since, HEAD_GRACE) => {
                Some((0, since))
            }
            ConnectionPhase::Unread { since } => Some((0, since)),
            ConnectionPhase::Receiving { moved_at, .. } if is_over(moved_at, STALL_GRACE) => {
                Some((1, moved_at))
            }
            ConnectionPhase::Idle { since } => Some((2, since)),
            ConnectionPhase::Blocked { since, .. } if is_over(since, STALL_GRACE) => {
                Some((3, since))
            }
            ConnectionPhase::Receiving { since, .. } if is_over(since, BODY_GRACE) => {
                Some((4, since))
            }
            _ => None,
        }
    }
}

/// Open connections of one server, in total and from each address.
///
/// If there is no place for a new connection, one that has sent no complete head makes room, then one
/// whose body has stalled, an idle one, one whose client does not read, and one whose body is slow; of the
/// same kind the one that has been so for the longest time. Requests in progress are not cut off.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    state: Mutex<TableState>,
    /// Notified when a place becomes free.
    freed: Notify,
    max_total: usize,
    max_per_address: usize,
}

/// Invariant: `counts` has the number of records of each address, and none that is zero.
#[derive(Debug, Default)]
struct TableState {
    records: SlotMap<ConnectionKey, ConnectionRecord>,
    counts: BTreeMap<IpAddr, usize>,
}

#[derive(Debug)]
struct ConnectionRecord {
    address: IpAddr,
    handle: ConnectionHandle,
}

/// A place in the table, which is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    table: Arc<ConnectionTable>,
    key: ConnectionKey,
    pub(crate) handle: ConnectionHandle,
}

/// Outcome of the search for a place.
#[derive(Debug)]
pub(crate) enum ConnectionPlace {
    /// The new connection has a place.
    Taken(ConnectionGuard),
    /// Another connection was told to close, and its place is free soon.
    Clearing,
    /// All connections have requests in progress, or are new themselves.
    Full,
}

impl ConnectionTable {
    pub(crate) fn new(max_total: usize, max_per_address: usize) -> Self {
        Self {
            state: Mutex::default(),
            freed: Notify::new(),
            max_total,
            max_per_address,
        }
    }

    /// Finds a place at `now` for a connection from `address`.
    pub(crate) fn open(self: &Arc<Self>, now: Instant, address: IpAddr) -> ConnectionPlace {
        let mut state = self.lock();
        let count = state.counts.get(&address).copied().unwrap_or(0);
        let is_full_for = if count >= self.max_per_address {
            Some(Some(address))
        } else if state.records.len() >= self.max_total {
            Some(None)
        } else {
            None
        };
        if let Some(address) = is_full_for {
            return match state.clear_place(now, address) {
                true => ConnectionPlace::Clearing,
                false => ConnectionPlace::Full,
            };
        }
        let handle = ConnectionHandle::new(now);
        *state.counts.entry(address).or_insert(0) += 1;
        let record = ConnectionRecord {
            address,
            handle: handle.clone(),
        };
        ConnectionPlace::Taken(ConnectionGuard {
            key: state.records.insert(record),
            table: Arc::clone(self),
            handle,
        })
    }

    /// Resolves when a place has become free since the last call.
    pub(crate) async fn freed(&self) {
        self.freed.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableState {
    /// Tells a connection to close, of `address` if there is one; returns false if none may be closed.
    fn clear_place(&self, now: Instant, address: Option<IpAddr>) -> bool {
        let records = self.records.values();
        let eligible =
            records.filter(|record| address.is_none_or(|address| record.address == address));
        let ranked = eligible.filter_map(|record| {
            let rank = record.handle.rank(now)?;
            Some((rank, &record.handle))
        });
        let Some((_, handle)) = ranked.min_by_key(|(rank, _)| *rank) else {
            return false;
        };
        handle.make_room.notify_one();
        true
    }

    fn remove(&mut self, key: ConnectionKey) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        if let Some(count) = self.counts.get_mut(&record.address) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&record.address);
            }
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table.lock().remove(self.key);
        self.table.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
