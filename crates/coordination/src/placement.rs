//! Placement: assigns layers and versions of models to engines.
//!
//! A draft is a request to a model, as defined in the [crate documentation](crate). An engine that
//! runs drafts needs KV memory for each of them beside the weights of its layers.
//!
//! Each tick compares the observed layers of engines with the targets of selectors, and orders
//! loads: first the fewest loads that complete a pipeline, then loads that balance the rate across
//! layers. The weight store serves only a few loads at a time, and only the holder of the order
//! right gives orders.

mod balance;
mod coverage;
mod engine;
mod extend;
mod layout;
mod memory;
mod order;
mod restore;
mod settings;
mod spares;
mod table;

pub use engine::{EngineObservation, HeldWeights, PlacementTarget, WeightsId};
pub use layout::{EngineMemory, TypicalDraft};
pub use order::{LoadOrder, PlacementReport, PlacementRight, PlacementWait, UnloadPolicy};
pub use settings::PlacementSettings;
pub use table::PlacementTable;
