//! A document laid out for requests.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::{Display, Error};

use super::document::{
    CallerBounds, CustomerKeys, Route, RouteDocument, ServiceSpec, SourceVersion,
};
use crate::base::ServiceName;

/// Why a request gets no route.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum TableError {
    /// No route serves the host and path.
    #[display("no route serves this host and path")]
    UnknownRoute,
    /// The route asks for a key, and none was sent.
    #[display("the route asks for a key")]
    KeyMissing,
    /// No customer holds the key.
    #[display("no customer holds the key")]
    KeyUnknown,
}

/// A document laid out for requests.
///
/// Invariant: routes of a host stand by falling length of their prefixes.
#[derive(Debug)]
pub struct RouteTable {
    version: SourceVersion,
    bounds: CallerBounds,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<ServiceSpec>>,
    customers: Option<HashMap<Arc<str>, Arc<CustomerKeys>>>,
}

impl RouteTable {
    /// Lays a checked document out.
    pub fn build(document: RouteDocument) -> Self {
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
            customers: document.customers.map(by_key),
        }
    }

    /// Version of the document.
    pub fn version(&self) -> SourceVersion {
        self.version
    }

    /// Bounds on callers.
    pub fn bounds(&self) -> &CallerBounds {
        &self.bounds
    }

    /// The route of a request.
    ///
    /// # Errors
    /// [`TableError::UnknownRoute`].
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, TableError> {
        let routes = self.routes.get(host).into_iter().flatten();
        routes
            .into_iter()
            .find(|route| path.starts_with(&*route.prefix))
            .ok_or(TableError::UnknownRoute)
    }

    /// The customer of a request to `route`. A key is looked up on public routes too, since the
    /// server is told whose request it is wherever that is known.
    ///
    /// # Errors
    /// The route asks for a key, and there is none, or none that anybody holds.
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

    /// The service that takes a request of `route`; `draw` is any number, drawn anew for each.
    pub fn service(&self, route: &Route, draw: u64) -> Option<&Arc<ServiceSpec>> {
        let total: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut mark = draw.checked_rem(total)?;
        for part in &route.split {
            let weight = u64::from(part.weight);
            if mark < weight {
                return self.services.get(&part.service);
            }
            mark -= weight;
        }
        None
    }

    /// A service by its name.
    pub fn service_named(&self, name: &ServiceName) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }
}

fn by_key(customers: Vec<CustomerKeys>) -> HashMap<Arc<str>, Arc<CustomerKeys>> {
    let mut by_key = HashMap::new();
    for customer in customers {
        let customer = Arc::new(customer);
        for key in &customer.keys {
            by_key.insert(Arc::clone(key), Arc::clone(&customer));
        }
    }
    by_key
}
