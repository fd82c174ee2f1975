//! Outlier ejection of engines among peers with the same graph and layer range.

use super::fleet::{EngineKey, EngineRecord};
use super::graph::GraphId;
use crate::base::LayerRange;
use crate::retries::OutlierTable;

/// Class of peer engines: same model, version and layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerClass {
    pub(crate) graph: GraphId,
    pub(crate) layers: LayerRange,
}

impl PeerClass {
    pub(crate) fn of(engine: &EngineRecord) -> Self {
        let announced = &engine.announcement;
        Self {
            graph: GraphId {
                model: announced.model.clone(),
                adapter: None,
                version: announced.version.clone(),
                layers: announced.model_layers,
            },
            layers: announced.layers,
        }
    }
}

pub(crate) type EngineOutliers = OutlierTable<EngineKey, PeerClass>;
