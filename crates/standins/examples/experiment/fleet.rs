//! Announcements of a seeded fleet: four kinds, 14 data centres, five models of four spans each.

use std::sync::Arc;

use pollendrift::fleet::BackendFleet;
use pollendrift_border::{
    Announcement, AnnouncementState, EngineOffer, EngineOfferRole, LayerSpan, ServerLoad,
    ServerOffer, ServiceOffer,
};
use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::leases::BackendLeaseSettings;
use pollendrift_coordination::routing::RoutingSettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fail;

pub(crate) const DATA_CENTRES: usize = 14;
pub(crate) const MODELS: usize = 5;
const KINDS: usize = 4;
const SPANS: usize = 4;
const SPAN_LAYERS: u32 = 16;
/// Engines of one pipeline of each model; they share a data centre and a kind.
const PIPELINES: usize = MODELS * SPANS;
/// One in this many servers is a plain service.
const SERVICE_INTERVAL: usize = 14;
/// Number of different plain services.
const SERVICES: usize = 3;

/// Time at which every lease of a filled fleet is valid.
pub(crate) const FILLED_AT: MonotonicTime = MonotonicTime::from_millis(60_000);

/// Generates announcements with seeded loads.
pub(crate) struct Announcer {
    rng: ChaCha8Rng,
}

impl Announcer {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Heartbeat number `sequence` of server `index`.
    pub(crate) fn heartbeat(&mut self, index: usize, sequence: u64) -> Announcement {
        Announcement {
            server: format!("engine-{index:05}"),
            incarnation: 1_764_720_000_000 + index as u64,
            sequence,
            address: format!("10.0.{}.{}:8000", index / 250, index % 250),
            data_centre: format!("centre-{}", index / PIPELINES % DATA_CENTRES),
            state: AnnouncementState::Serving,
            checks_fencing: index.is_multiple_of(2),
            offer: if index % SERVICE_INTERVAL == SERVICE_INTERVAL - 1 {
                service(index)
            } else {
                engine(index)
            },
            load: self.load(),
        }
    }

    /// Random load that varies by at most a tenth around its mean, like between two heartbeats.
    fn load(&mut self) -> ServerLoad {
        ServerLoad {
            running: self.rng.random_range(38..=42),
            queued: self.rng.random_range(0..=1),
            prefill_tokens: self.rng.random_range(3_800..4_200),
            kv_used_tokens: self.rng.random_range(76_000..84_000),
        }
    }
}

fn service(index: usize) -> ServerOffer {
    ServerOffer::Service(ServiceOffer {
        service: format!("service-{}", index / SERVICE_INTERVAL % SERVICES),
        slots: 32,
    })
}

fn engine(index: usize) -> ServerOffer {
    let model = index % MODELS;
    let span = index / MODELS % SPANS;
    let kind = index / PIPELINES % KINDS;
    let first = u32::try_from(span).unwrap_or(0) * SPAN_LAYERS;
    let speed = kind as u64 + 1;
    ServerOffer::Engine(EngineOffer {
        accelerator_kind: format!("kind-{kind}"),
        accelerators: 2,
        activation_bytes: 16_384,
        adapters: vec!["technical-notes".to_owned()],
        batch_slots: 64,
        decode_tokens_per_second: 500 * speed,
        kv_budget_tokens: 200_000,
        kv_bytes_per_token: 65_536,
        layers: LayerSpan {
            first,
            end: first + SPAN_LAYERS,
        },
        link_bytes_per_second: 125_000_000 * 10_u64.pow(u32::try_from(kind.min(2)).unwrap_or(0)),
        model: format!("model-{model}"),
        model_layers: SPAN_LAYERS * u32::try_from(SPANS).unwrap_or(0),
        prefill_tokens_per_second: 5_000 * speed,
        role: EngineOfferRole::Both,
        step_floor_micros: 4_000,
        version: "2026-11".to_owned(),
    })
}

/// Fleet of `servers` with valid leases, and the announcer that generated their announcements.
pub(crate) fn filled(seed: u64, servers: usize) -> (Arc<BackendFleet>, Announcer) {
    let fleet = BackendFleet::new(
        BackendLeaseSettings::default(),
        RoutingSettings::default(),
        seed,
    );
    let mut announcer = Announcer::new(seed);
    for sequence in 1..=2 {
        // Slow start ends before the second heartbeat.
        let now = MonotonicTime::from_micros(sequence * FILLED_AT.as_micros() / 2);
        for index in 0..servers {
            if let Err(error) = fleet.announce(now, &announcer.heartbeat(index, sequence)) {
                fail(&error.to_string());
            }
        }
        fleet.tick(now);
    }
    (Arc::new(fleet), announcer)
}
