//! Orders to engines, the right to give them, and why a tick gave none.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::engine::{HeldWeights, WeightsId};
use crate::base::{FencingNumber, MonotonicTime, ServerName};

/// Right to order engines, as the agreement granted it.
///
/// Invariant kept by its granter: one holder at a time, each with a higher number than the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRight {
    /// Number that orders carry.
    pub fencing: FencingNumber,
    /// End of the right, on this process's clock, with the drift taken off.
    pub until: MonotonicTime,
}

/// Order to load weights in place of what an engine holds.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{server} loads {load} (fencing {fencing})")]
pub struct LoadOrder {
    /// Engine.
    pub server: ServerName,
    /// Number of the right under which it is given.
    pub fencing: FencingNumber,
    /// When the right ends; the sender checks it once more before it writes.
    pub valid_until: MonotonicTime,
    /// What to load.
    pub load: HeldWeights,
}

/// Why something was not ordered.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementWait {
    /// This process does not hold the right.
    #[display("without the placement right")]
    NoRight,
    /// Engines still announce themselves.
    #[display("settling until {until}")]
    Settling {
        /// End of the wait.
        until: MonotonicTime,
    },
    /// The last holder's orders may still reach engines that ignore fencing numbers.
    #[display("{server} ignores fencing numbers, waiting until {until}")]
    Unfenced {
        /// Engine.
        server: ServerName,
        /// End of the wait.
        until: MonotonicTime,
    },
    /// The weight store serves as many loads as it can.
    #[display("weight store busy")]
    StoreBusy,
    /// No pipeline can be made whole with the engines that can be spared.
    #[display("no engine to spare for {weights} from layer {layer}")]
    Blocked {
        /// Weights that are wanted.
        weights: WeightsId,
        /// First layer for which no engine can be had.
        layer: u32,
    },
}

/// What one tick decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PlacementReport {
    /// Orders to send now, the most urgent first.
    pub orders: Vec<LoadOrder>,
    /// Why nothing, or nothing more, was ordered.
    pub waits: Vec<PlacementWait>,
}
