//! Backend servers that this host has heard of: their leases, and what they offer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use pollendrift_border::{
    Announcement, AnnouncementState, EngineOffer, ServerLoad, ServerOffer, ServiceOffer,
};
use pollendrift_coordination::base::{
    Incarnation, MonotonicTime, SequenceNumber, ServerName, ServiceName,
};
use pollendrift_coordination::configuration::ServerFacts;
use pollendrift_coordination::leases::{
    BackendLeaseSettings, DeltaCursor, LeaseDelta, LeaseNews, LeaseTable, MergeVerdict,
    ServerAnnounce, ServerLease, ServerState,
};

/// Why an announcement was not taken.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AnnounceError {
    /// A field is wrong; the text names it and what is accepted.
    #[display("{reason}")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The table of backend servers is full.
    #[display("this host holds as many backend servers as it may; retry later")]
    Full,
}

/// A backend server as requests see it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Facts that labels and selectors are matched on.
    pub facts: ServerFacts,
    /// `ip:port` that takes requests.
    pub address: Arc<str>,
    /// What it offers.
    pub offer: ServerOffer,
    /// Last load that it reported.
    pub load: ServerLoad,
}

/// All backend servers that this host has heard of.
#[derive(Debug)]
pub struct BackendFleet {
    inner: Mutex<FleetState>,
}

#[derive(Debug)]
struct FleetState {
    leases: LeaseTable,
    /// Decoded offers of servers in `leases`; only those that decoded.
    views: BTreeMap<ServerName, Arc<ServerView>>,
}

impl BackendFleet {
    /// An empty fleet.
    pub fn new(settings: BackendLeaseSettings) -> Self {
        let inner = FleetState {
            leases: LeaseTable::new(settings),
            views: BTreeMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Takes an announcement that came to this host.
    ///
    /// # Errors
    /// The announcement is malformed or the table is full.
    pub fn announce(
        &self,
        now: MonotonicTime,
        announcement: &Announcement,
    ) -> Result<MergeVerdict, AnnounceError> {
        check_announcement(announcement)?;
        let announce = encode(announcement)?;
        match self.lock().merge(now, announce, Duration::ZERO) {
            MergeVerdict::Full => Err(AnnounceError::Full),
            verdict => Ok(verdict),
        }
    }

    /// Takes a delta from another host.
    pub fn merge_delta(
        &self,
        now: MonotonicTime,
        delta: LeaseDelta,
        transit: Duration,
    ) -> MergeVerdict {
        let age = delta.age.saturating_add(transit);
        self.lock().merge(now, delta.announce, age)
    }

    /// Leases that changed after `cursor`, at most `limit`.
    pub fn delta(
        &self,
        now: MonotonicTime,
        cursor: DeltaCursor,
        limit: usize,
    ) -> (Vec<LeaseDelta>, DeltaCursor) {
        self.lock().leases.delta(now, cursor, limit)
    }

    /// Ends leases that ran out.
    pub fn tick(&self, now: MonotonicTime) -> Vec<LeaseNews> {
        let mut state = self.lock();
        let news = state.leases.tick(now);
        for item in &news {
            if let LeaseNews::Forgotten { server } = item {
                state.views.remove(server);
            }
        }
        news
    }

    /// Whether `server` may get new work now; asked again right before each send.
    pub fn may_take_work(&self, now: MonotonicTime, server: &ServerName) -> bool {
        self.lock().leases.may_take_work(now, server)
    }

    /// Servers that may get new work now.
    pub fn serving(&self, now: MonotonicTime) -> Vec<Arc<ServerView>> {
        let state = self.lock();
        let serving = state.leases.iter().filter(|lease| lease.is_serving(now));
        serving
            .filter_map(|lease| state.views.get(&lease.announce.server))
            .cloned()
            .collect()
    }

    /// Servers of a plain service that may get new work now.
    pub fn serving_service(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
    ) -> Vec<Arc<ServerView>> {
        let mut views = self.serving(now);
        views.retain(|view| view.facts.service.as_ref() == Some(service));
        views
    }

    /// The view of one server.
    pub fn view(&self, server: &ServerName) -> Option<Arc<ServerView>> {
        self.lock().views.get(server).cloned()
    }

    /// All leases, for the dump.
    pub fn dump(&self) -> Vec<ServerLease> {
        self.lock().leases.iter().cloned().collect()
    }

    /// Number of servers held.
    pub fn len(&self) -> usize {
        self.lock().leases.len()
    }

    /// Whether no server is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FleetState {
    fn merge(
        &mut self,
        now: MonotonicTime,
        announce: ServerAnnounce,
        age: Duration,
    ) -> MergeVerdict {
        let server = announce.server.clone();
        let verdict = self.leases.merge(now, announce, age);
        if !matches!(verdict, MergeVerdict::Changed | MergeVerdict::Renewed) {
            return verdict;
        }
        let view = self
            .leases
            .get(&server)
            .and_then(|lease| decode(&lease.announce));
        match view {
            Some(view) => self.views.insert(server, Arc::new(view)),
            None => self.views.remove(&server),
        };
        verdict
    }
}

fn encode(announcement: &Announcement) -> Result<ServerAnnounce, AnnounceError> {
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
        load: serde_json::to_string(&announcement.load)
            .map_err(malformed)?
            .into(),
    })
}

fn decode(announce: &ServerAnnounce) -> Option<ServerView> {
    let offer: ServerOffer = serde_json::from_str(&announce.offer).ok()?;
    let load: ServerLoad = serde_json::from_str(&announce.load).ok()?;
    let facts = match &offer {
        ServerOffer::Engine(engine) => engine_facts(announce, engine),
        ServerOffer::Service(service) => service_facts(announce, service),
    };
    Some(ServerView {
        facts,
        address: Arc::clone(&announce.address),
        offer,
        load,
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

fn check_announcement(announcement: &Announcement) -> Result<(), AnnounceError> {
    let mut faults = Vec::new();
    if announcement.server.is_empty() || announcement.server.len() > MAX_NAME_BYTES {
        faults.push(format!("server: 1 to {MAX_NAME_BYTES} bytes are accepted"));
    }
    if announcement
        .address
        .parse::<std::net::SocketAddr>()
        .is_err()
    {
        faults.push(format!("address: `{}` is no ip:port", announcement.address));
    }
    match &announcement.offer {
        ServerOffer::Engine(offer) => check_engine(offer, &mut faults),
        ServerOffer::Service(offer) if offer.service.is_empty() => {
            faults.push("offer.service.service: a name is expected".to_owned());
        }
        ServerOffer::Service(_) => {}
    }
    if faults.is_empty() {
        return Ok(());
    }
    Err(AnnounceError::Malformed {
        reason: faults.join("; "),
    })
}

/// Longest name of a backend server.
const MAX_NAME_BYTES: usize = 128;

fn check_engine(offer: &EngineOffer, faults: &mut Vec<String>) {
    let layers = &offer.layers;
    if layers.first >= layers.end || layers.end > offer.model_layers {
        faults.push(format!(
            "offer.engine.layers: {}..{} is no span of a model of {} layers",
            layers.first, layers.end, offer.model_layers
        ));
    }
    for (name, empty) in [
        ("model", offer.model.is_empty()),
        ("version", offer.version.is_empty()),
    ] {
        if empty {
            faults.push(format!("offer.engine.{name}: a name is expected"));
        }
    }
    if offer.layer_tokens_per_second == 0 {
        faults.push("offer.engine.layer_tokens_per_second: at least 1 is expected".to_owned());
    }
}
