//! Fleet of the comparison: 40 engines of four kinds in three data centres.

use std::time::Duration;

use pollendrift_coordination::base::{Incarnation, LayerRange, MonotonicTime, SequenceNumber};
use pollendrift_coordination::routing::{
    ByteRate, EngineAnnouncement, EngineRole, FleetPlanner, LinkProperties, RoutePlanner,
    RoutingSettings, TokenCount, TokenRate,
};

use crate::fail;

const LAYERS: u32 = 64;

/// Bytes of activations per token between stages.
pub(crate) const ACTIVATION_BYTES: u32 = 16_384;

/// Engines of one kind that serve the same layers: their number, place, rates and layers. `decode`
/// is in tokens per second, `link` in bytes per second.
pub(crate) struct EngineGroup {
    pub(crate) name: &'static str,
    data_centre: &'static str,
    pub(crate) count: u32,
    pub(crate) layers: (u32, u32),
    decode: u32,
    link: u64,
}

/// All engine groups; a kind can occur with several layer ranges.
pub(crate) const KINDS: [EngineGroup; 8] = [
    kind("large", "d1", 4, (0, 32), 1_500, 12_500_000_000),
    kind("large", "d1", 4, (32, 64), 1_500, 12_500_000_000),
    kind("middle", "d1", 4, (0, 16), 1_000, 3_125_000_000),
    kind("middle", "d2", 5, (16, 40), 900, 3_125_000_000),
    kind("small", "d2", 6, (0, 24), 600, 1_250_000_000),
    kind("small", "d2", 6, (40, 64), 700, 1_250_000_000),
    kind("old", "d3", 5, (24, 40), 500, 125_000_000),
    kind("old", "d3", 6, (40, 64), 300, 125_000_000),
];

const fn kind(
    name: &'static str,
    data_centre: &'static str,
    count: u32,
    layers: (u32, u32),
    decode: u32,
    link: u64,
) -> EngineGroup {
    EngineGroup {
        name,
        data_centre,
        count,
        layers,
        decode,
        link,
    }
}

/// Announcements of all engines.
pub(crate) fn announcements() -> Vec<EngineAnnouncement> {
    let mut engines = Vec::new();
    for (index, group) in KINDS.iter().enumerate() {
        for number in 0..group.count {
            engines.push(EngineAnnouncement {
                server: format!("{}-{index}-{number}", group.name).into(),
                incarnation: Incarnation(1),
                sequence: SequenceNumber(1),
                kind: group.name.into(),
                data_centre: group.data_centre.into(),
                model: "m".into(),
                version: "v1".into(),
                model_layers: LAYERS,
                layers: LayerRange {
                    first: group.layers.0,
                    end: group.layers.1,
                },
                adapters: Vec::new(),
                role: EngineRole::Both,
                kv_capacity: TokenCount(u64::from(group.decode) * 200),
                prefill_rate: TokenRate(group.decode * 12),
                decode_rate: TokenRate(group.decode),
                step_floor: Duration::from_millis(4),
                link_rate: ByteRate(group.link),
                activation_bytes: ACTIVATION_BYTES,
                kv_bytes: 65_536,
            });
        }
    }
    engines
}

/// Links between the data centres, equal in both directions.
pub(crate) fn links() -> [(&'static str, &'static str, LinkProperties); 3] {
    let link = |rate, micros| LinkProperties {
        rate: ByteRate(rate),
        latency: Duration::from_micros(micros),
    };
    [
        ("d1", "d2", link(1_250_000_000, 300)),
        ("d1", "d3", link(125_000_000, 900)),
        ("d2", "d3", link(125_000_000, 700)),
    ]
}

/// Planner that has received the announcements of all engines.
pub(crate) fn make_planner(
    settings: RoutingSettings,
    seed: u64,
    announced: &[EngineAnnouncement],
) -> FleetPlanner {
    let mut planner = FleetPlanner::new(settings, seed);
    for (one, other, link) in links() {
        planner.set_link(&one.into(), &other.into(), link);
    }
    for engine in announced {
        if let Err(findings) = planner.announce(MonotonicTime::START, engine.clone()) {
            fail(&findings.to_string());
        }
    }
    planner
}
