//! Load orders, the order right of placement, and the reasons why a tick ordered nothing.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::engine::{HeldWeights, WeightsId};
use crate::base::{FencingNumber, MonotonicTime, ServerName};

/// The order right for engines, as this process holds it: the right to give orders to them, granted
/// by the agreement group (see [`crate::replicated`]).
///
/// Invariant, enforced by the agreement group: there is one right holder at a time, and each new
/// one has a higher fencing number than the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRight {
    /// Fencing number of the orders.
    pub fencing: FencingNumber,
    /// End of the right on this process's clock, reduced by the maximum clock drift.
    pub until: MonotonicTime,
}

/// Handling of running requests on layers that an order unloads.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum UnloadPolicy {
    /// The engine finishes them before it starts the load.
    #[default]
    #[display("finish")]
    Finish,
    /// The engine aborts them, and they continue on other engines.
    ///
    /// When many engines of one chain are ordered at once and each finishes its requests first, a
    /// request waits for an engine that accepts no new work, and delays the next engine. A data
    /// centre with a new layout stalled for 15 s in this way, until the deadlines of its requests.
    /// It has no complete chain at that time, so the aborted requests could not have continued
    /// there.
    #[display("cut")]
    Cut,
}

/// Order to load weights in place of those that an engine holds.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{server} loads {load} (fencing {fencing})")]
pub struct LoadOrder {
    /// Name of the engine.
    pub server: ServerName,
    /// Fencing number of the order right.
    pub fencing: FencingNumber,
    /// End of the right; the sender checks it again before it sends the order.
    pub valid_until: MonotonicTime,
    /// Weights to load.
    pub load: HeldWeights,
    /// Handling of requests on layers that the load replaces.
    pub given_up: UnloadPolicy,
}

/// Reason why a load was not ordered.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementWait {
    /// This process does not hold the order right.
    #[display("without the placement right")]
    NoRight,
    /// Engines may not have announced themselves yet.
    #[display("settling until {until}")]
    Settling {
        /// End of the wait.
        until: MonotonicTime,
    },
    /// Orders of the previous right holder may still reach engines that ignore fencing numbers.
    #[display("{server} ignores fencing numbers, waiting until {until}")]
    Unfenced {
        /// Name of the engine.
        server: ServerName,
        /// End of the wait.
        until: MonotonicTime,
    },
    /// The weight store serves the maximum number of loads.
    #[display("weight store busy")]
    StoreBusy,
    /// The spare engines cannot complete a pipeline.
    #[display("no engine to spare for {weights} from layer {layer}")]
    Blocked {
        /// Required weights.
        weights: WeightsId,
        /// First layer for which no engine is available.
        layer: u32,
    },
}

/// Result of one tick.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PlacementReport {
    /// Orders to send now, the most urgent first.
    pub orders: Vec<LoadOrder>,
    /// Reasons why nothing, or nothing more, was ordered.
    pub waits: Vec<PlacementWait>,
}
