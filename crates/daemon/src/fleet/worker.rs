//! Backend servers of published services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{
    DataCentreName, Incarnation, MonotonicTime, SequenceNumber, ServerName,
};
use pollendrift_coordination::leases::{
    AnnouncedLoad, BackendOffer, LeaseScope, MergeVerdict, ServerAnnounce, ServerState,
};
use pollendrift_coordination::routing::{SurveyResult, SurveyedEngine};
use pollendrift_dialect::ServerAnnouncement;

use super::{AnnounceError, BackendFleet, FleetState};

/// Number of the last announcement of a life. A server that left says no number; this one outranks
/// whatever another host has heard of the same life.
const LAST_SEQUENCE: SequenceNumber = SequenceNumber(u64::MAX);

/// A server of a published service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// Its name.
    pub server: ServerName,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// What it offers.
    pub offer: BackendOffer,
}

impl WorkerView {
    /// Whether a chain of engines may begin with it.
    pub fn holds_first_layer(&self) -> bool {
        let layers = self.offer.layers.as_ref();
        layers.is_some_and(|layers| layers.range.first == 0)
    }

    /// The view of an announcement; `None` if it is none of a published service's server.
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
    /// Takes what a server of a published service said of itself to this host.
    ///
    /// # Errors
    /// The table is full, or the offer can't be kept.
    pub fn announce_worker(
        &self,
        now: MonotonicTime,
        note: &ServerAnnouncement,
    ) -> Result<MergeVerdict, AnnounceError> {
        match self.lock().merge(now, encode_note(note)?) {
            MergeVerdict::Full => Err(AnnounceError::Full),
            verdict => Ok(verdict),
        }
    }

    /// Takes a heartbeat that says nothing new; false where it says more, or the server is not known.
    pub(crate) fn renew_worker(&self, now: MonotonicTime, note: &ServerAnnouncement) -> bool {
        let Ok(announce) = encode_note(note) else {
            return false;
        };
        let mut state = self.lock();
        let is_heartbeat = state.leases.is_renewal(now, &announce);
        is_heartbeat && state.merge(now, announce) == MergeVerdict::Renewed
    }

    /// Time for which this host has known a server without a break.
    pub(crate) fn known_for(&self, now: MonotonicTime, server: &ServerName) -> Duration {
        let state = self.lock();
        let lease = state.leases.get(server);
        lease.map_or(Duration::ZERO, |lease| now.since(lease.since))
    }

    /// A server said that it has left; false if this host does not know it.
    pub fn leave_worker(&self, now: MonotonicTime, server: &ServerName) -> bool {
        let mut state = self.lock();
        let Some(lease) = state.leases.get(server) else {
            return false;
        };
        let announce = ServerAnnounce {
            sequence: LAST_SEQUENCE,
            state: ServerState::Leaving,
            ..lease.announce.clone()
        };
        state.merge(now, announce);
        true
    }

    /// Takes what a survey of engines found.
    pub(crate) fn take_survey(&self, now: MonotonicTime, notes: Vec<SurveyResult>) {
        self.lock().survey.merge(now, notes);
    }

    /// Servers of `workers` that this host heard of first, itself or by a host that follows it: it asks them
    /// for their state.
    pub(crate) fn in_area(&self, workers: &[Arc<WorkerView>]) -> Vec<Arc<WorkerView>> {
        let state = self.lock();
        let is_in_area = |worker: &&Arc<WorkerView>| {
            let lease = state.leases.get(&worker.server);
            lease.is_some_and(|lease| LeaseScope::OwnAndFollowers.includes(lease.from))
        };
        workers.iter().filter(is_in_area).cloned().collect()
    }

    /// What surveys found of an engine.
    pub(crate) fn surveyed(
        &self,
        now: MonotonicTime,
        worker: &WorkerView,
    ) -> Option<SurveyedEngine> {
        let state = self.lock();
        state.survey.get(now, &worker.server, worker.incarnation)
    }

    /// Whether a server of a published service may get new work now; asked right before each send.
    pub(crate) fn may_take(&self, now: MonotonicTime, server: &ServerName) -> bool {
        let state = self.lock();
        let worker = state.workers.get(server);
        worker.is_some_and(|worker| state.is_there(now, worker))
    }

    /// Servers of published services that may get new work now. Of two at one address only the
    /// later one is there: the other's last heartbeat was late.
    pub fn workers(&self, now: MonotonicTime) -> Vec<Arc<WorkerView>> {
        let state = self.lock();
        let workers = state
            .workers
            .values()
            .filter(|worker| state.is_there(now, worker));
        let mut by_address: BTreeMap<SocketAddr, &Arc<WorkerView>> = BTreeMap::new();
        for worker in workers {
            let holder = by_address.entry(worker.address).or_insert(worker);
            if holder.incarnation < worker.incarnation {
                *holder = worker;
            }
        }
        by_address.into_values().cloned().collect()
    }
}

fn encode_note(note: &ServerAnnouncement) -> Result<ServerAnnounce, AnnounceError> {
    let offer = serde_json::to_string(&note.offer).map_err(|error| {
        let reason = error.to_string();
        AnnounceError::Malformed { reason }
    })?;
    Ok(ServerAnnounce {
        server: note.server.clone(),
        incarnation: note.incarnation,
        sequence: note.sequence,
        address: note.address.to_string().into(),
        data_centre: note.data_centre.clone(),
        state: note.state,
        checks_fencing: note.checks_fencing,
        offer: offer.into(),
        load: AnnouncedLoad::default(),
    })
}

impl FleetState {
    /// Whether a server is there and takes work: its lease runs, or it answers surveys.
    ///
    /// Heartbeats that went to a host which is cut off renew no lease elsewhere. Engines that serve
    /// as ever would be left out, a third of a fleet at a time, and their layers placed anew. What
    /// said that it leaves stays out, whatever it answers.
    fn is_there(&self, now: MonotonicTime, worker: &WorkerView) -> bool {
        let Some(lease) = self.leases.get(&worker.server) else {
            return false;
        };
        if lease.is_serving(now) {
            return true;
        }
        let surveyed = self.survey.get(now, &worker.server, worker.incarnation);
        let answers = surveyed.is_some_and(|surveyed| surveyed.load.is_some());
        answers && lease.announce.state == ServerState::Serving
    }
}
