//! The fleet of the comparison: 40 engines of four kinds in three data centres.

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

/// A kind of engine: how many, where, which layers, how fast.
pub(crate) struct KindFigures {
    pub(crate) name: &'static str,
    data_centre: &'static str,
    pub(crate) count: u32,
    pub(crate) layers: (u32, u32),
    decode: u32,
    link: u64,
}

/// All kinds, by the layers that they hold.
pub(crate) const KINDS: [KindFigures; 8] = [
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
) -> KindFigures {
    KindFigures {
        name,
        data_centre,
        count,
        layers,
        decode,
        link,
    }
}

/// What the engines announce.
pub(crate) fn announcements() -> Vec<EngineAnnouncement> {
    let mut engines = Vec::new();
    for (index, figures) in KINDS.iter().enumerate() {
        for number in 0..figures.count {
            engines.push(EngineAnnouncement {
                server: format!("{}-{index}-{number}", figures.name).into(),
                incarnation: Incarnation(1),
                sequence: SequenceNumber(1),
                kind: figures.name.into(),
                data_centre: figures.data_centre.into(),
                model: "m".into(),
                version: "v1".into(),
                model_layers: LAYERS,
                layers: LayerRange {
                    first: figures.layers.0,
                    end: figures.layers.1,
                },
                adapters: Vec::new(),
                role: EngineRole::Both,
                kv_capacity: TokenCount(u64::from(figures.decode) * 200),
                prefill_rate: TokenRate(figures.decode * 12),
                decode_rate: TokenRate(figures.decode),
                step_floor: Duration::from_millis(4),
                link_rate: ByteRate(figures.link),
                activation_bytes: ACTIVATION_BYTES,
                kv_bytes: 65_536,
            });
        }
    }
    engines
}

/// Links between the data centres, both ways.
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

/// A planner that knows the whole fleet.
pub(crate) fn make_planner(
    settings: RoutingSettings,
    seed: u64,
    announced: &[EngineAnnouncement],
) -> FleetPlanner {
    let mut planner = FleetPlanner::new(settings, seed);
    for (one, other, figures) in links() {
        planner.set_link(&one.into(), &other.into(), figures);
    }
    for engine in announced {
        if let Err(findings) = planner.announce(MonotonicTime::START, engine.clone()) {
            fail(&findings.to_string());
        }
    }
    planner
}
