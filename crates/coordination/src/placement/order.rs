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

/// What becomes of requests that run on layers which an order takes away.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum UnloadPolicy {
    /// They are finished first; the load waits for them.
    #[default]
    #[display("finish")]
    Finish,
    /// They are cut, and go on elsewhere.
    ///
    /// Failure: many engines of one chain are ordered at once, and each finishes first what runs on it.
    /// Symptom: a request waits for an engine that takes nothing new, and holds up the next one; a
    /// data centre that was laid out anew stood still for 15 s, until the deadlines of its requests. It
    /// had no whole chain in any case, so what is cut could not have gone on there.
    #[display("cut")]
    Cut,
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
    /// What becomes of requests on layers that are given up for it.
    pub given_up: UnloadPolicy,
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
