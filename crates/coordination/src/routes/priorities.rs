//! Ranks the priorities that routes and customers state for the drafts of one service.

use std::collections::{BTreeMap, BTreeSet};

use super::document::{CustomerKeys, Route, RouteDocument, RouteKind};
use crate::base::ServiceName;
use crate::limits::RequestPriority;

/// Returns the ranks of each service whose drafts have at least two different priorities.
pub(super) fn rank_priorities(document: &RouteDocument) -> BTreeMap<ServiceName, PriorityRanks> {
    let mut stated: BTreeMap<&ServiceName, BTreeSet<u8>> = BTreeMap::new();
    let customers = document.customers.as_deref();
    for route in &document.routes {
        if !matches!(route.kind, RouteKind::Stream { .. }) {
            continue;
        }
        let priorities = priorities_of(route, customers);
        for part in route.split.iter().filter(|part| part.weight > 0) {
            stated.entry(&part.service).or_default().extend(&priorities);
        }
    }
    let differing = stated.into_iter().filter(|(_, stated)| stated.len() > 1);
    differing
        .map(|(service, stated)| (service.clone(), PriorityRanks { stated }))
        .collect()
}

/// Priorities that requests to `route` can have: a customer's own, or else the route's.
fn priorities_of(route: &Route, customers: Option<&[CustomerKeys]>) -> BTreeSet<u8> {
    let Some(customers) = customers else {
        return BTreeSet::from([route.priority]);
    };
    let public = route.public.then_some(route.priority);
    let customers = customers.iter();
    let own = customers.map(|customer| customer.priority.unwrap_or(route.priority));
    own.chain(public).collect()
}

/// Priorities of the drafts of one service, in the order of their urgency.
///
/// Invariant: contains at least two priorities.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PriorityRanks {
    stated: BTreeSet<u8>,
}

impl PriorityRanks {
    /// Returns the rank of a stated priority: the most urgent one is urgent, the least urgent one is
    /// batch, and those between are normal.
    pub fn rank(&self, priority: u8) -> RequestPriority {
        let first = self.stated.first().copied().unwrap_or_default();
        let last = self.stated.last().copied().unwrap_or(u8::MAX);
        if priority <= first {
            return RequestPriority::Urgent;
        }
        if priority >= last {
            return RequestPriority::Batch;
        }
        RequestPriority::Normal
    }
}
