//! Engine announcements for a model with 80 layers.

use std::time::Duration;

use pollendrift_coordination::base::{Incarnation, LayerRange, SequenceNumber};
use pollendrift_coordination::routing::{
    ByteRate, EngineAnnouncement, EngineRole, TokenCount, TokenRate,
};

pub(crate) const LAYERS: u32 = 80;

/// Builds an engine that holds the layers `first..end`; its rates are inversely proportional to
/// their number.
pub(crate) fn engine(server: &str, centre: &str, first: u32, end: u32) -> EngineAnnouncement {
    let model_share = f64::from(end - first) / f64::from(LAYERS);
    EngineAnnouncement {
        server: server.into(),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(1),
        kind: format!("kind-{}", end - first).as_str().into(),
        data_centre: centre.into(),
        model: "m".into(),
        version: "v1".into(),
        model_layers: LAYERS,
        layers: LayerRange { first, end },
        adapters: Vec::new(),
        role: EngineRole::Both,
        kv_capacity: TokenCount(100_000),
        prefill_rate: TokenRate((20_000.0 / model_share) as u32),
        decode_rate: TokenRate((5_000.0 / model_share) as u32),
        step_floor: Duration::from_micros(500),
        link_rate: ByteRate(50_000_000_000),
        activation_bytes: 24_600,
        kv_bytes: 65_536,
    }
}
