//! Leaves of servers, which are final for an incarnation and remembered after the lease.

use std::sync::Arc;
use std::time::Duration;

use super::record::AnnounceReceipt;
use super::{
    AnnouncedLoad, LeaseKey, LeaseScope, LeaseTable, MergeVerdict, ServerAnnounce, ServerLease,
    ServerState,
};
use crate::base::{Incarnation, MonotonicTime, SequenceNumber, ServerName};

/// Sequence number of the last announcement of an incarnation. A leave by name has no number; this one
/// is higher than any that another host has for the same incarnation.
const LAST_SEQUENCE: SequenceNumber = SequenceNumber(u64::MAX);
/// Time for which a leave is sent to hosts whose links come up: longer than servers serve after it.
const LEAVE_RESEND_TIME: Duration = Duration::from_secs(60);
/// Leaves of unknown servers are stored while the table is filled up to this part of its maximum, so
/// that calls with made-up names leave room for servers.
const MAX_UNKNOWN_LEAVES_DIVISOR: usize = 2;
/// Incarnation of a server of which this host knows only the name; lower than any start of a server.
const UNKNOWN_INCARNATION: Incarnation = Incarnation(0);

impl LeaseTable {
    /// Records that `server` told this host, by its name alone, that it leaves.
    ///
    /// An unknown server is stored as well, since other hosts may know it. It has neither an address
    /// nor an incarnation, and means the incarnation that was there before the leave.
    pub fn leave(&mut self, now: MonotonicTime, server: &ServerName) -> MergeVerdict {
        let announce = match self.get(server) {
            Some(lease) => lease.leaving_announce(),
            None if self.leases.len() >= self.settings.max_servers / MAX_UNKNOWN_LEAVES_DIVISOR => {
                return MergeVerdict::Full;
            }
            None => leave_by_name(server),
        };
        self.merge(now, announce)
    }

    /// Applies a leave by name to the lease with `key`, unless the server started after the leave.
    pub(super) fn merge_leave_by_name(
        &mut self,
        key: LeaseKey,
        receipt: AnnounceReceipt,
    ) -> MergeVerdict {
        let Some(lease) = self.leases.get(key) else {
            return MergeVerdict::Stale;
        };
        if lease.is_leaving() {
            return MergeVerdict::Left;
        }
        if lease.since > receipt.received_at {
            return MergeVerdict::Stale;
        }
        let announce = lease.leaving_announce();
        self.renew(key, announce, receipt, true)
    }
}

impl ServerAnnounce {
    /// Whether the announcement is a leave of a server of which only the name is known.
    pub(super) fn is_leave_by_name(&self) -> bool {
        self.state == ServerState::Leaving && self.address.is_empty()
    }

    /// The last announcement of the incarnation: it leaves.
    pub(super) fn into_leave(self) -> Self {
        Self {
            sequence: LAST_SEQUENCE,
            state: ServerState::Leaving,
            ..self
        }
    }
}

impl ServerLease {
    /// Whether the server has stated that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.announce.state == ServerState::Leaving
    }

    fn leaving_announce(&self) -> ServerAnnounce {
        self.announce.clone().into_leave()
    }

    /// Whether a receiver of `scope` is sent this lease. Keepers pass the leaves of other keepers on to
    /// each other: the keeper that received one may be lost before it has reached all of them. A leave
    /// is also sent for [`LEAVE_RESEND_TIME`], to hosts that were cut off when it was sent first.
    pub(super) fn is_sent_to(&self, now: MonotonicTime, scope: LeaseScope) -> bool {
        if self.is_leaving() && scope != LeaseScope::Own {
            return now.since(self.received_at) < LEAVE_RESEND_TIME;
        }
        !self.ended && scope.includes(self.from)
    }
}

fn leave_by_name(server: &ServerName) -> ServerAnnounce {
    let empty: Arc<str> = "".into();
    ServerAnnounce {
        server: server.clone(),
        incarnation: UNKNOWN_INCARNATION,
        sequence: LAST_SEQUENCE,
        address: Arc::clone(&empty),
        data_centre: "".into(),
        state: ServerState::Leaving,
        checks_fencing: false,
        offer: empty,
        load: AnnouncedLoad::default(),
    }
}
