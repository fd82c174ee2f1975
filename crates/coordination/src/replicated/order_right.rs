//! The right to give orders to a backend server: one holder at a time, under a rising number.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::clock::ReplicatedTime;
use crate::base::{FencingNumber, HostName, Incarnation, ServerName};

/// Longest lease that is granted.
const MAX_LEASE: Duration = Duration::from_secs(60);

/// Who holds a right.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{host}#{incarnation}")]
pub struct OrderHolder {
    /// Host.
    pub host: HostName,
    /// Life of its process.
    pub incarnation: Incarnation,
}

/// Asks for the right to give orders to a backend server, or renews it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantOrderRight {
    /// The backend server.
    pub server: ServerName,
    /// Who asks.
    pub holder: OrderHolder,
    /// How long the right is asked for, at most a minute.
    pub lease: Duration,
}

/// Answer to [`GrantOrderRight`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderRightAnswer {
    /// The right is granted.
    ///
    /// The holder counts the lease from the moment at which it asked, on its own monotonic clock,
    /// so that it stops before the keepers let another one have it.
    Granted {
        /// Number to put on orders; a new holder's is above every earlier one.
        fencing: FencingNumber,
        /// How long it holds.
        lease: Duration,
    },
    /// Another one holds it.
    Held {
        /// Who.
        holder: OrderHolder,
        /// How long at most, if it is not renewed.
        remaining: Duration,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OrderRight {
    holder: OrderHolder,
    fencing: FencingNumber,
    until: ReplicatedTime,
}

/// All rights.
///
/// Invariant: `fencing` is at least as high as the number of every right ever granted, so that a
/// right which was dropped is never granted again under an old number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRightTable {
    rights: BTreeMap<ServerName, OrderRight>,
    fencing: FencingNumber,
}

impl OrderRightTable {
    /// Grants a right if nobody else holds it. A renewal keeps its number.
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

    /// Number of rights held or not yet dropped.
    pub fn len(&self) -> usize {
        self.rights.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.rights.is_empty()
    }
}
