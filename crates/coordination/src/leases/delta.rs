//! Deltas that spread leases between entries.
//!
//! A full announcement travels only when it changed; a renewal is four numbers. A receiver that
//! lacks the announcement a renewal speaks of asks for it by name.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{LeaseTable, MergeVerdict, ServerAnnounce};
use crate::base::{Incarnation, MonotonicTime, SequenceNumber, ServerName};

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
    /// Up to `limit` leases that changed after `cursor`, oldest change first, and the new cursor.
    ///
    /// Ended leases are left out: every entry ends a lease by its own clock, so no message is
    /// needed and none that is lost can keep a silent server alive.
    pub fn delta(
        &self,
        now: MonotonicTime,
        cursor: DeltaCursor,
        limit: usize,
    ) -> (Vec<LeaseDelta>, DeltaCursor) {
        let mut deltas = Vec::new();
        let mut reached = cursor;
        for (version, key) in self
            .by_version
            .range(cursor.0.saturating_add(1)..)
            .take(limit)
        {
            reached = DeltaCursor(*version);
            let Some(lease) = self.leases.get(*key).filter(|lease| !lease.ended) else {
                continue;
            };
            deltas.push(LeaseDelta {
                announce: lease.announce.clone(),
                age: now.since(lease.heard_at),
            });
        }
        (deltas, reached)
    }

    /// Takes a delta from another entry; `transit` is the longest time that it may have travelled.
    pub fn merge_delta(
        &mut self,
        now: MonotonicTime,
        delta: LeaseDelta,
        transit: Duration,
    ) -> MergeVerdict {
        self.merge(now, delta.announce, delta.age.saturating_add(transit))
    }

    /// Whether an announcement of this rank would be news to this table.
    pub fn lacks(
        &self,
        server: &ServerName,
        incarnation: Incarnation,
        sequence: SequenceNumber,
    ) -> bool {
        self.outranks(server, incarnation, sequence)
    }
}
