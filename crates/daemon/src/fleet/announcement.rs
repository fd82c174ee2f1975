//! Announcements: checked when received, stored encoded, decoded into views.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_border::{
    Announcement, AnnouncementState, EngineOffer, EngineOfferRole, ServerOffer, ServiceOffer,
};
use pollendrift_coordination::base::{Incarnation, LayerRange, MonotonicTime, SequenceNumber};
use pollendrift_coordination::configuration::ServerFacts;
use pollendrift_coordination::leases::{AnnouncedLoad, ServerAnnounce, ServerState};
use pollendrift_coordination::routing::{
    ByteRate, EngineAnnouncement, EngineRole, LoadReport, LoadValues, TokenCount, TokenRate,
};

use super::{AnnounceError, ServerView};

/// Encodes an announcement in the form that hosts exchange.
pub(super) fn encode(announcement: &Announcement) -> Result<ServerAnnounce, AnnounceError> {
    let malformed = |error: serde_json::Error| AnnounceError::Malformed {
        reason: error.to_string(),
    };
    let state = match announcement.state {
        AnnouncementState::Serving => ServerState::Serving,
        AnnouncementState::Leaving => ServerState::Leaving,
    };
    Ok(ServerAnnounce {
        server: announcement.server.as_str().into(),
        incarnation: Incarnation(announcement.incarnation),
        sequence: SequenceNumber(announcement.sequence),
        address: announcement.address.as_str().into(),
        data_centre: announcement.data_centre.as_str().into(),
        state,
        checks_fencing: announcement.checks_fencing,
        offer: serde_json::to_string(&announcement.offer)
            .map_err(malformed)?
            .into(),
        load: AnnouncedLoad {
            running: announcement.load.running,
            queued: announcement.load.queued,
            prefill_tokens: announcement.load.prefill_tokens,
            kv_used_tokens: announcement.load.kv_used_tokens,
        },
    })
}

/// Decodes the view of a server; `None` if a newer version of this program encoded the offer.
pub(super) fn decode(announce: &ServerAnnounce) -> Option<ServerView> {
    let offer: ServerOffer = serde_json::from_str(&announce.offer).ok()?;
    let facts = match &offer {
        ServerOffer::Engine(engine) => engine_facts(announce, engine),
        ServerOffer::Service(service) => service_facts(announce, service),
    };
    Some(ServerView {
        facts,
        address: Arc::clone(&announce.address),
        offer,
        load: announce.load,
    })
}

fn engine_facts(announce: &ServerAnnounce, engine: &EngineOffer) -> ServerFacts {
    ServerFacts {
        name: announce.server.clone(),
        kind: engine.accelerator_kind.as_str().into(),
        model: Some(engine.model.as_str().into()),
        version: Some(engine.version.as_str().into()),
        adapters: engine
            .adapters
            .iter()
            .map(|adapter| adapter.as_str().into())
            .collect(),
        service: None,
        data_centre: announce.data_centre.clone(),
        role: engine.role.to_string().into(),
    }
}

fn service_facts(announce: &ServerAnnounce, service: &ServiceOffer) -> ServerFacts {
    ServerFacts {
        name: announce.server.clone(),
        kind: "".into(),
        model: None,
        version: None,
        adapters: Vec::new(),
        service: Some(service.service.as_str().into()),
        data_centre: announce.data_centre.clone(),
        role: "".into(),
    }
}

/// Checks an announcement; the error lists all invalid fields.
pub(super) fn check_announcement(announcement: &Announcement) -> Result<(), AnnounceError> {
    let mut errors = Vec::new();
    if announcement.server.is_empty() || announcement.server.len() > MAX_NAME_BYTES {
        errors.push(format!("server: 1 to {MAX_NAME_BYTES} bytes are accepted"));
    }
    if announcement
        .address
        .parse::<std::net::SocketAddr>()
        .is_err()
    {
        errors.push(format!("address: `{}` is no ip:port", announcement.address));
    }
    match &announcement.offer {
        ServerOffer::Engine(offer) => check_engine(offer, &mut errors),
        ServerOffer::Service(offer) if offer.service.is_empty() => {
            errors.push("offer.service.service: a name is expected".to_owned());
        }
        ServerOffer::Service(_) => {}
    }
    if errors.is_empty() {
        return Ok(());
    }
    Err(AnnounceError::Malformed {
        reason: errors.join("; "),
    })
}

/// Maximum length of a backend server's name, in bytes.
const MAX_NAME_BYTES: usize = 128;

fn check_engine(offer: &EngineOffer, errors: &mut Vec<String>) {
    let layers = &offer.layers;
    if layers.first >= layers.end || layers.end > offer.model_layers {
        errors.push(format!(
            "offer.engine.layers: {}..{} is no span of a model of {} layers",
            layers.first, layers.end, offer.model_layers
        ));
    }
    for (name, empty) in [
        ("model", offer.model.is_empty()),
        ("version", offer.version.is_empty()),
    ] {
        if empty {
            errors.push(format!("offer.engine.{name}: a name is expected"));
        }
    }
    let rates = [
        ("prefill_tokens_per_second", offer.prefill_tokens_per_second),
        ("decode_tokens_per_second", offer.decode_tokens_per_second),
        ("link_bytes_per_second", offer.link_bytes_per_second),
        ("kv_budget_tokens", offer.kv_budget_tokens),
    ];
    for (name, _) in rates.iter().filter(|(_, rate)| *rate == 0) {
        errors.push(format!("offer.engine.{name}: at least 1 is expected"));
    }
}

/// Converts an announcement for the planner.
pub(super) fn engine_announcement(
    announce: &ServerAnnounce,
    offer: &EngineOffer,
) -> EngineAnnouncement {
    EngineAnnouncement {
        server: announce.server.clone(),
        incarnation: announce.incarnation,
        sequence: announce.sequence,
        kind: offer.accelerator_kind.as_str().into(),
        data_centre: announce.data_centre.clone(),
        model: offer.model.as_str().into(),
        version: offer.version.as_str().into(),
        model_layers: offer.model_layers,
        layers: LayerRange {
            first: offer.layers.first,
            end: offer.layers.end,
        },
        adapters: offer
            .adapters
            .iter()
            .map(|adapter| adapter.as_str().into())
            .collect(),
        role: engine_role(offer.role),
        kv_capacity: TokenCount(offer.kv_budget_tokens),
        prefill_rate: token_rate(offer.prefill_tokens_per_second),
        decode_rate: token_rate(offer.decode_tokens_per_second),
        step_floor: Duration::from_micros(offer.step_floor_micros),
        link_rate: ByteRate(offer.link_bytes_per_second),
        activation_bytes: offer.activation_bytes,
        kv_bytes: offer.kv_bytes_per_token,
    }
}

/// Converts the announced load for the planner; `measured_at` is the time of the announcement.
pub(super) fn load_report(announce: &ServerAnnounce, measured_at: MonotonicTime) -> LoadReport {
    let load = &announce.load;
    LoadReport {
        server: announce.server.clone(),
        incarnation: announce.incarnation,
        sequence: announce.sequence,
        measured_at,
        figures: LoadValues {
            prefill: TokenCount(load.prefill_tokens),
            sequences: load.running.saturating_add(load.queued),
            kv: TokenCount(load.kv_used_tokens),
        },
    }
}

fn engine_role(role: EngineOfferRole) -> EngineRole {
    match role {
        EngineOfferRole::Prefill => EngineRole::Prefill,
        EngineOfferRole::Decode => EngineRole::Decode,
        EngineOfferRole::Both => EngineRole::Both,
    }
}

fn token_rate(per_second: u64) -> TokenRate {
    TokenRate(u32::try_from(per_second).unwrap_or(u32::MAX))
}
