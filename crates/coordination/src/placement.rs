//! Placement: which engine holds which layers of which version.
//!
//! A tick looks at what engines were seen to hold and at what selectors want, and orders loads: first
//! the fewest that make a pipeline whole again, then those that even out the rate over the layers.
//! The weight store serves few loads at a time, and only the holder of the placement right orders.

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
pub use layout::{DraftLoad, EngineMemory};
pub use order::{LoadOrder, PlacementReport, PlacementRight, PlacementWait, UnloadPolicy};
pub use settings::PlacementSettings;
pub use table::PlacementTable;
