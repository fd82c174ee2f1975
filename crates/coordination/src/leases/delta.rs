//! Deltas that spread leases between entries.
//!
//! Each host tells every other what it heard from servers themselves, with the age of the news, so
//! that a lease ends on every host by that host's own clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{HeardFrom, LeaseTable, MergeVerdict, ServerAnnounce};
use crate::base::MonotonicTime;

/// How far one receiver has been told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DeltaCursor(pub u64);

/// One lease that changed or was renewed since the cursor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseDelta {
    /// The announcement.
    pub announce: ServerAnnounce,
    /// Time since the announcement was heard, in the sender's time.
    pub age: Duration,
}

impl LeaseTable {
    /// Up to `limit` leases that this host heard of itself after `cursor`, oldest first, and the
    /// new cursor.
    ///
    /// What peers told is left out: each host tells every other, so passing it on would only
    /// multiply messages. Ended leases are left out too: every host ends a lease by its own clock,
    /// so no message is needed and none that is lost can keep a silent server alive.
    pub fn delta(
        &self,
        now: MonotonicTime,
        cursor: DeltaCursor,
        limit: usize,
    ) -> (Vec<LeaseDelta>, DeltaCursor) {
        let mut deltas = Vec::new();
        let mut reached = cursor;
        for (version, key) in self.by_version.range(cursor.0.saturating_add(1)..) {
            if deltas.len() >= limit {
                break;
            }
            reached = DeltaCursor(*version);
            let lease = self.leases.get(*key);
            let Some(lease) = lease.filter(|lease| !lease.ended && lease.from == HeardFrom::Server)
            else {
                continue;
            };
            deltas.push(LeaseDelta {
                announce: lease.announce.clone(),
                age: now.since(lease.heard_at),
            });
        }
        (deltas, reached)
    }

    /// Takes a delta from another host; `transit` is the longest time that it may have travelled.
    pub fn merge_delta(
        &mut self,
        now: MonotonicTime,
        delta: LeaseDelta,
        transit: Duration,
    ) -> MergeVerdict {
        let age = delta.age.saturating_add(transit);
        self.merge_heard(now, delta.announce, age, HeardFrom::Peer)
    }
}
