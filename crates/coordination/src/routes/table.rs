//! A route document, indexed for lookups.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use derive_more::{Display, Error};

use super::document::{
    CallerBounds, CustomerKeys, Route, RouteDocument, ServiceSpec, SourceVersion, WeightedService,
};
use super::priorities::{PriorityRanks, rank_priorities};
use crate::base::ServiceName;

/// Reason why a request has no route or customer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum TableError {
    /// No route matches the host and path.
    #[display("no route serves this host and path")]
    UnknownRoute,
    /// The route requires a key, and the request has none.
    #[display("the route asks for a key")]
    KeyMissing,
    /// The route requires a key, and no customer has this one.
    #[display("no customer holds the key")]
    KeyUnknown,
}

/// A route document, indexed for lookups by host, service and key.
///
/// Invariant: the routes of a host are sorted by descending length of their prefixes.
#[derive(Debug)]
pub struct RouteTable {
    version: SourceVersion,
    bounds: CallerBounds,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<ServiceSpec>>,
    customers: Option<HashMap<Arc<str>, Arc<CustomerKeys>>>,
    /// Services whose drafts have different priorities.
    priorities: BTreeMap<ServiceName, PriorityRanks>,
}

impl RouteTable {
    /// Indexes a checked document.
    pub fn build(document: RouteDocument) -> Self {
        let priorities = rank_priorities(&document);
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in document.routes {
            let host = Arc::clone(&route.host);
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = document.services.into_iter();
        Self {
            version: document.version,
            bounds: document.bounds,
            routes,
            services: services
                .map(|service| (service.name.clone(), Arc::new(service)))
                .collect(),
            customers: document.customers.map(index_by_key),
            priorities,
        }
    }

    /// Version of the document.
    pub fn version(&self) -> SourceVersion {
        self.version
    }

    /// Limits on callers.
    pub fn bounds(&self) -> &CallerBounds {
        &self.bounds
    }

    /// Finds the route with the longest prefix of `path`.
    ///
    /// # Errors
    /// [`TableError::UnknownRoute`] if no route of `host` matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, TableError> {
        let routes = self.routes.get(host).into_iter().flatten();
        routes
            .into_iter()
            .find(|route| path.starts_with(&*route.prefix))
            .ok_or(TableError::UnknownRoute)
    }

    /// The customer of a request to `route`. Public routes look up keys as well, since the server
    /// receives the customer's name whenever it is known.
    ///
    /// # Errors
    /// [`TableError::KeyMissing`] or [`TableError::KeyUnknown`] if the route requires a key.
    pub fn customer(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<CustomerKeys>>, TableError> {
        let Some(customers) = &self.customers else {
            return Ok(None);
        };
        let customer = key.and_then(|key| customers.get(key));
        match (customer, key) {
            (Some(customer), _) => Ok(Some(customer)),
            (None, _) if route.public => Ok(None),
            (None, Some(_)) => Err(TableError::KeyUnknown),
            (None, None) => Err(TableError::KeyMissing),
        }
    }

    /// Chooses a service of `route` by weight. `draw` is a random number, a new one for each
    /// request.
    pub fn service(&self, route: &Route, draw: u64) -> Option<&Arc<ServiceSpec>> {
        let total: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut remaining = draw.checked_rem(total)?;
        for part in &route.split {
            let weight = u64::from(part.weight);
            if remaining < weight {
                return self.services.get(&part.service);
            }
            remaining -= weight;
        }
        None
    }

    /// Looks up a service that `route` sends requests to.
    pub fn service_of_route(&self, route: &Route, name: &ServiceName) -> Option<&Arc<ServiceSpec>> {
        let has_weight = |part: &&WeightedService| part.service == *name && part.weight > 0;
        let part = route.split.iter().find(has_weight)?;
        self.services.get(&part.service)
    }

    /// Looks up a service by name.
    pub fn service_named(&self, name: &ServiceName) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Ranks of the priorities of a service's drafts; `None` if all of them have the same.
    pub fn priority_ranks(&self, service: &ServiceName) -> Option<&PriorityRanks> {
        self.priorities.get(service)
    }

    /// Services whose drafts have different priorities.
    pub fn prioritized_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.priorities.keys()
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }
}

fn index_by_key(customers: Vec<CustomerKeys>) -> HashMap<Arc<str>, Arc<CustomerKeys>> {
    let mut by_key = HashMap::new();
    for customer in customers {
        let customer = Arc::new(customer);
        for key in &customer.keys {
            by_key.insert(Arc::clone(key), Arc::clone(&customer));
        }
    }
    by_key
}
