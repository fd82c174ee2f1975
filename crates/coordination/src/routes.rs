//! Routes of callers' requests to services, limits on callers, and customers' keys.
//!
//! Operators of a platform (a deployment that uses this library) publish all routes as one versioned [`RouteDocument`]. [`RouteTable`] is
//! the document indexed for lookups.

mod document;
mod generations;
mod priorities;
mod table;

pub use document::{
    AcceleratorSpec, CallerBounds, CustomerKeys, EngineSpec, Route, RouteDocument, RouteKind,
    ServiceSpec, SourceVersion, WeightedService,
};
pub use generations::{SpecGeneration, SpecGenerations};
pub use priorities::PriorityRanks;
pub use table::{RouteTable, TableError};
