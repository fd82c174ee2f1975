//! Order rights: rights to give orders to backend servers, each with one holder and an increasing
//! number. Placement uses the order right for engines.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::clock::ReplicatedTime;
use crate::base::{FencingNumber, HostName, Incarnation, ServerName};

/// Maximum lease of a granted right.
const MAX_LEASE: Duration = Duration::from_secs(60);

/// Holder of an order right.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{host}#{incarnation}")]
pub struct OrderHolder {
    /// Host of the holder.
    pub host: HostName,
    /// Incarnation of the host's process.
    pub incarnation: Incarnation,
}

/// Requests or renews the right to give orders to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantOrderRight {
    /// Backend server that the orders go to.
    pub server: ServerName,
    /// Process that requests the right.
    pub holder: OrderHolder,
    /// Requested duration, at most a minute.
    pub lease: Duration,
}

/// Answer to [`GrantOrderRight`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderRightAnswer {
    /// The right is granted.
    ///
    /// The holder counts the lease from the time of its request, on its own monotonic clock, so
    /// that it stops before the keepers grant the right to another process.
    Granted {
        /// Number to put on orders; a new holder's number is higher than every earlier one.
        fencing: FencingNumber,
        /// Granted duration.
        lease: Duration,
    },
    /// Another process holds the right.
    Held {
        /// Current holder.
        holder: OrderHolder,
        /// Longest time until the right expires, unless the holder renews it.
        remaining: Duration,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OrderRight {
    holder: OrderHolder,
    fencing: FencingNumber,
    until: ReplicatedTime,
}

/// Current order rights.
///
/// Invariant: `fencing` is at least as high as the number of every right ever granted, so that a
/// dropped right is never granted again with an old number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRightTable {
    rights: BTreeMap<ServerName, OrderRight>,
    fencing: FencingNumber,
}

impl OrderRightTable {
    /// Grants a right unless another process holds it. A renewal keeps the number.
    pub fn grant(&mut self, request: &GrantOrderRight, now: ReplicatedTime) -> OrderRightAnswer {
        self.rights.retain(|_, right| now <= right.until);
        let lease = request.lease.min(MAX_LEASE);
        let until = now.after(lease);
        if let Some(right) = self.rights.get_mut(&request.server) {
            if right.holder != request.holder {
                return OrderRightAnswer::Held {
                    holder: right.holder.clone(),
                    remaining: right.until.since(now),
                };
            }
            right.until = right.until.max(until);
            let fencing = right.fencing;
            return OrderRightAnswer::Granted { fencing, lease };
        }
        self.fencing = self.fencing.next();
        let fencing = self.fencing;
        let right = OrderRight {
            holder: request.holder.clone(),
            fencing,
            until,
        };
        self.rights.insert(request.server.clone(), right);
        OrderRightAnswer::Granted { fencing, lease }
    }

    /// Returns the number of rights that are held or not yet dropped.
    pub fn len(&self) -> usize {
        self.rights.len()
    }

    /// Whether the table contains no rights.
    pub fn is_empty(&self) -> bool {
        self.rights.is_empty()
    }
}
