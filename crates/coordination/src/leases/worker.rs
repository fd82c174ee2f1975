//! What a backend server of a published service offers.

use serde::{Deserialize, Serialize};

use crate::base::{LayerRange, ServiceName, VersionName};

/// Layers that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLayers {
    /// Which.
    pub range: LayerRange,
    /// Version of the weights.
    pub version: VersionName,
}

/// Offer of a backend server of a published service. What its kind of accelerator can do stands in
/// the published document, so that the offer stays small and both can change apart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOffer {
    /// The service.
    pub service: ServiceName,
    /// Requests that run at a time.
    pub slots: u32,
    /// Whether it is still slower than usual after its start.
    pub cold: bool,
    /// Kind of accelerator; empty for a plain service.
    pub kind: String,
    /// Layers that it holds; `None` for a plain service, or for an engine that holds nothing.
    pub layers: Option<WorkerLayers>,
}
