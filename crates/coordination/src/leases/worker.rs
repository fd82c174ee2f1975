//! Offer of a backend server of a service in the configuration.

use serde::{Deserialize, Serialize};

use crate::base::{LayerRange, ServiceName, VersionName};

/// Model layers that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLayers {
    /// Range of the layers.
    pub range: LayerRange,
    /// Version of the model weights.
    pub version: VersionName,
}

/// Offer of a backend server of a published service. The route document in force describes the
/// capabilities of each kind of accelerator, so that the offer stays small and both can change
/// independently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendOffer {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is still slower than usual after its start.
    pub cold: bool,
    /// Kind of accelerator; empty for a plain service.
    pub kind: String,
    /// Loaded layers; `None` for a plain service or for an engine without layers.
    pub layers: Option<BackendLayers>,
}
