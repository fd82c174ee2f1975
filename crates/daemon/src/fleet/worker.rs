//! Workers: backend servers announced in the dialect of a platform, for published services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{DataCentreName, Incarnation, MonotonicTime, ServerName};
use pollendrift_coordination::leases::{
    AnnouncedLoad, BackendOffer, LeaseScope, MergeVerdict, ServerAnnounce, ServerState,
};
use pollendrift_coordination::routing::{SurveyResult, SurveyedEngine};
use pollendrift_dialect::ServerAnnouncement;

use super::{AnnounceError, BackendFleet, FleetState};

/// Decoded announcement of a server of a published service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// Name of the server.
    pub server: ServerName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentreName,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Service, request slots and loaded layers that it offers.
    pub offer: BackendOffer,
}

impl WorkerView {
    /// Whether a pipeline may start with this engine.
    pub fn holds_first_layer(&self) -> bool {
        let layers = self.offer.layers.as_ref();
        layers.is_some_and(|layers| layers.range.first == 0)
    }

    /// Decodes an announcement; `None` if it is not from a server of a published service.
    pub(super) fn decode(announce: &ServerAnnounce) -> Option<Self> {
        Some(Self {
            server: announce.server.clone(),
            incarnation: announce.incarnation,
            address: announce.address.parse().ok()?,
            data_centre: announce.data_centre.clone(),
            checks_fencing: announce.checks_fencing,
            offer: serde_json::from_str(&announce.offer).ok()?,
        })
    }
}

impl BackendFleet {
    /// Merges an announcement that a server of a published service sent to this host.
    ///
    /// # Errors
    /// The table is full, or the offer can't be encoded.
    pub fn announce_worker(
        &self,
        now: MonotonicTime,
        announcement: &ServerAnnouncement,
    ) -> Result<MergeVerdict, AnnounceError> {
        match self.lock().merge(now, encode_announcement(announcement)?) {
            MergeVerdict::Full => Err(AnnounceError::Full),
            verdict => Ok(verdict),
        }
    }

    /// Renews a lease by a heartbeat without changes; false if the heartbeat contains a change or
    /// the server is unknown.
    pub(crate) fn renew_worker(
        &self,
        now: MonotonicTime,
        announcement: &ServerAnnouncement,
    ) -> bool {
        let Ok(announce) = encode_announcement(announcement) else {
            return false;
        };
        let mut state = self.lock();
        let is_heartbeat = state.leases.is_renewal(now, &announce);
        is_heartbeat && state.merge(now, announce) == MergeVerdict::Renewed
    }

    /// Time for which this host has known a server without interruption.
    pub(crate) fn known_for(&self, now: MonotonicTime, server: &ServerName) -> Duration {
        let state = self.lock();
        let lease = state.leases.get(server);
        lease.map_or(Duration::ZERO, |lease| now.since(lease.since))
    }

    /// Whether this host has a lease of the server, ended or not, or knows that it left.
    pub(crate) fn knows(&self, server: &ServerName) -> bool {
        self.lock().leases.get(server).is_some()
    }

    /// Marks a server as leaving, whether this host knows it or not.
    ///
    /// # Errors
    /// The table is full.
    pub fn leave_worker(
        &self,
        now: MonotonicTime,
        server: &ServerName,
    ) -> Result<MergeVerdict, AnnounceError> {
        let mut state = self.lock();
        let verdict = state.leases.leave(now, server);
        match state.apply_verdict(now, server, verdict) {
            MergeVerdict::Full => Err(AnnounceError::Full),
            verdict => Ok(verdict),
        }
    }

    /// Returns the incarnation under which a server left; `None` if it is not leaving.
    pub(crate) fn left_incarnation(&self, server: &ServerName) -> Option<Incarnation> {
        let state = self.lock();
        let lease = state.leases.get(server)?;
        lease.is_leaving().then_some(lease.announce.incarnation)
    }

    /// Returns a known server of a published service, whether it may receive new work or not.
    pub(crate) fn worker(&self, server: &ServerName) -> Option<Arc<WorkerView>> {
        self.lock().workers.get(server).cloned()
    }

    /// Returns the incarnation of a known server.
    pub(crate) fn worker_incarnation(&self, server: &ServerName) -> Option<Incarnation> {
        let state = self.lock();
        state.workers.get(server).map(|worker| worker.incarnation)
    }

    /// Records that this incarnation of a server states that it leaves; returns whether that is new.
    ///
    /// This host sends it no work from now on, even if it goes on announcing itself. Other hosts
    /// learn of the leave as of any other.
    pub(crate) fn record_leaving(
        &self,
        now: MonotonicTime,
        server: &ServerName,
        incarnation: Incarnation,
    ) -> bool {
        if !self.lock().leaving.record(now, server, incarnation) {
            return false;
        }
        if self.worker_incarnation(server) == Some(incarnation) {
            // A known server is in the table already, so the table is not too full for it.
            let _ = self.leave_worker(now, server);
        }
        true
    }

    /// Whether a server has stated that it leaves.
    pub(crate) fn is_leaving(&self, server: &ServerName) -> bool {
        let state = self.lock();
        let lease = state.leases.get(server);
        lease.is_some_and(|lease| {
            let announce = &lease.announce;
            announce.state == ServerState::Leaving
                || state.leaving.is_leaving(server, announce.incarnation)
        })
    }

    /// Merges the results of a survey of engines.
    pub(crate) fn merge_survey(&self, now: MonotonicTime, results: Vec<SurveyResult>) {
        self.lock().survey.merge(now, results);
    }

    /// Returns the servers of `workers` that announce themselves to this host or to a follower of
    /// it. This host surveys their state.
    pub(crate) fn own_and_followers(&self, workers: &[Arc<WorkerView>]) -> Vec<Arc<WorkerView>> {
        let state = self.lock();
        let is_included = |worker: &&Arc<WorkerView>| {
            let lease = state.leases.get(&worker.server);
            lease.is_some_and(|lease| LeaseScope::OwnAndFollowers.includes(lease.from))
        };
        workers.iter().filter(is_included).cloned().collect()
    }

    /// Returns the survey result of an engine.
    pub(crate) fn surveyed(
        &self,
        now: MonotonicTime,
        worker: &WorkerView,
    ) -> Option<SurveyedEngine> {
        let state = self.lock();
        state.survey.get(now, &worker.server, worker.incarnation)
    }

    /// Whether a server of a published service may receive new work now; callers check right before
    /// each send.
    pub(crate) fn worker_may_take_work(&self, now: MonotonicTime, server: &ServerName) -> bool {
        let state = self.lock();
        let worker = state.workers.get(server);
        worker.is_some_and(|worker| state.is_available(now, worker))
    }

    /// Returns the servers of published services that may receive new work now. If two have the same
    /// address, returns only the later incarnation: the other one's last heartbeat arrived late.
    pub fn workers(&self, now: MonotonicTime) -> Vec<Arc<WorkerView>> {
        let state = self.lock();
        let workers = state
            .workers
            .values()
            .filter(|worker| state.is_available(now, worker));
        let mut by_address: BTreeMap<SocketAddr, &Arc<WorkerView>> = BTreeMap::new();
        for worker in workers {
            let latest = by_address.entry(worker.address).or_insert(worker);
            if latest.incarnation < worker.incarnation {
                *latest = worker;
            }
        }
        by_address.into_values().cloned().collect()
    }
}

fn encode_announcement(announcement: &ServerAnnouncement) -> Result<ServerAnnounce, AnnounceError> {
    let offer = serde_json::to_string(&announcement.offer).map_err(|error| {
        let reason = error.to_string();
        AnnounceError::Malformed { reason }
    })?;
    Ok(ServerAnnounce {
        server: announcement.server.clone(),
        incarnation: announcement.incarnation,
        sequence: announcement.sequence,
        address: announcement.address.to_string().into(),
        data_centre: announcement.data_centre.clone(),
        state: announcement.state,
        checks_fencing: announcement.checks_fencing,
        offer: offer.into(),
        load: AnnouncedLoad::default(),
    })
}

impl FleetState {
    /// Whether a server accepts work: its lease is valid, or it answers surveys.
    ///
    /// Heartbeats sent to a disconnected host renew no lease at other hosts. Without the survey
    /// results, engines that still serve would be excluded, a third of a fleet at a time, and their
    /// layers placed again. A server that announced that it leaves stays excluded.
    fn is_available(&self, now: MonotonicTime, worker: &WorkerView) -> bool {
        let Some(lease) = self.leases.get(&worker.server) else {
            return false;
        };
        if self.leaving.is_leaving(&worker.server, worker.incarnation) {
            return false;
        }
        if lease.is_serving(now) {
            return true;
        }
        let surveyed = self.survey.get(now, &worker.server, worker.incarnation);
        let answers = surveyed.is_some_and(|surveyed| surveyed.load.is_some());
        answers && lease.announce.state == ServerState::Serving
    }
}
