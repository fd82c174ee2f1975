//! Routes: which service serves which requests of callers, under which bounds, and whose keys hold.
//!
//! A document of routes is what operators of a platform publish as a whole, under a version of
//! their own. [`RouteTable`] is the document laid out for requests.

mod document;
mod generations;
mod table;

pub use document::{
    AcceleratorSpec, CallerBounds, CustomerKeys, EngineSpec, Route, RouteDocument, RouteKind,
    ServiceSpec, SourceVersion, WeightedService,
};
pub use generations::{SpecGeneration, SpecGenerations};
pub use table::{RouteTable, TableError};
