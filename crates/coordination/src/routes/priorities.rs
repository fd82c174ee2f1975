//! Ranks the priorities that customers and routes state for the drafts of one service.

use std::collections::{BTreeMap, BTreeSet};

use super::document::{CustomerKeys, Route, RouteDocument, RouteKind};
use crate::base::ServiceName;
use crate::limits::RequestPriority;

/// Returns the ranks of each service whose drafts have at least two different priorities.
pub(super) fn rank_priorities(document: &RouteDocument) -> BTreeMap<ServiceName, PriorityRanks> {
    let mut stated: BTreeMap<&ServiceName, BTreeSet<StatedPriority>> = BTreeMap::new();
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
        .map(|(service, stated)| (service.clone(), PriorityRanks::new(stated)))
        .collect()
}

/// Priorities that requests to `route` can have.
fn priorities_of(route: &Route, customers: Option<&[CustomerKeys]>) -> BTreeSet<StatedPriority> {
    let anonymous = StatedPriority::new(None, route);
    let Some(customers) = customers else {
        return BTreeSet::from([anonymous]);
    };
    let customers = customers.iter();
    let own = customers.map(|customer| StatedPriority::new(Some(customer), route));
    own.chain(route.public.then_some(anonymous)).collect()
}

/// Priority of a request as stated by its customer and its route; the lowest is the most urgent.
///
/// Requests are ordered by their customers first, and those of one customer by their routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StatedPriority {
    /// Priority of the customer; that of the route if the customer states none.
    customer: u8,
    route: u8,
}

impl StatedPriority {
    fn new(customer: Option<&CustomerKeys>, route: &Route) -> Self {
        let own = customer.and_then(|customer| customer.priority);
        Self {
            customer: own.unwrap_or(route.priority),
            route: route.priority,
        }
    }
}

/// Ranks of the priorities that the drafts of one service can have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PriorityRanks {
    ranks: BTreeMap<StatedPriority, RequestPriority>,
}

impl PriorityRanks {
    /// Divides the priorities evenly among the ranks, in their order.
    fn new(stated: BTreeSet<StatedPriority>) -> Self {
        let last = stated.len().saturating_sub(1).max(1);
        let rank = |index: usize| match (4 * index).div_ceil(last) {
            0 | 1 => RequestPriority::Urgent,
            2 | 3 => RequestPriority::Normal,
            _ => RequestPriority::Batch,
        };
        let stated = stated.into_iter().enumerate();
        Self {
            ranks: stated
                .map(|(index, stated)| (stated, rank(index)))
                .collect(),
        }
    }

    /// Returns the rank of a request of `customer` to `route`.
    pub fn rank(&self, customer: Option<&CustomerKeys>, route: &Route) -> RequestPriority {
        let stated = StatedPriority::new(customer, route);
        self.ranks.get(&stated).copied().unwrap_or_default()
    }
}
