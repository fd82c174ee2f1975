//! Holds back drafts under whose prompt parts engines crash, and finds out which servers have ended.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{
    MonotonicTime, RequestId, ServerName, ServiceName, VersionName,
};
use pollendrift_coordination::poison::LossKind;
use pollendrift_coordination::quarantine::{Admission, CrashId, HeldRequest, SendKey};
use pollendrift_dialect::RefusalKind;
use tokio::time::timeout;

use super::chains::ReservedChain;
use super::context::RelayContext;
use super::drafts::DraftRun;
use super::guard::ChainGuard;
use super::request::{Refused, refused};
use crate::fleet::WorkerView;
use crate::poison::TrackedSend;

/// Least time between two checks of a later engine of chains that broke.
const STAGE_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time within which an engine that runs accepts a connection. Nothing listens at the address of a
/// crashed one, which is known after a round trip.
const OPEN_TIMEOUT: Duration = Duration::from_millis(100);
/// Part of that time for which a draft waits whose answer has proven its parts. A crashed engine is known
/// by then, so that the draft is not sent to another one that it crashes too.
const PROVEN_CHECK_WAIT: Duration = Duration::from_millis(30);
/// Probes of keepers that a silent engine leaves unanswered until it counts as ended. One may be lost.
const MISSED_PROBES: u32 = 2;
/// Time for which a draft waits after its engine refused the connection, if no answer to a part of its
/// prompt is known. Other hosts tell of a crash under that part within it.
pub(super) const NOTICE_WAIT: Duration = Duration::from_millis(60);

/// Times of the latest checks of later engines of chains that broke.
#[derive(Debug, Default)]
pub(super) struct EngineChecks {
    checked_at: BTreeMap<ServerName, MonotonicTime>,
}

impl EngineChecks {
    /// Whether to check an engine now. Hundreds of streams may break with their first engine.
    fn begin(&mut self, now: MonotonicTime, server: &ServerName) -> bool {
        self.checked_at
            .retain(|_, at| now.since(*at) < STAGE_CHECK_PERIOD);
        if self.checked_at.contains_key(server) {
            return false;
        }
        self.checked_at.insert(server.clone(), now);
        true
    }
}

/// State of a draft in the quarantine.
#[derive(Debug, Default)]
pub(super) struct QuarantineHold {
    /// Begin of the test of suspected parts that the draft is.
    test: Option<MonotonicTime>,
    /// Reason why it was held back last.
    held: Option<HeldRequest>,
}

impl QuarantineHold {
    /// Refusal of a draft that was held back and has not run.
    pub(super) fn refusal(&self) -> Option<Refused> {
        let held = self.held.as_ref()?;
        Some(refused(RefusalKind::NotRun, held.to_string()).retry_after(held.wait))
    }

    /// Reason why the draft was held back.
    pub(super) fn reason(&self) -> Option<String> {
        self.held.as_ref().map(HeldRequest::to_string)
    }
}

impl DraftRun {
    /// Whether the draft may be sent to engines now. A draft that has crashed one is otherwise carried
    /// to the next by retries, resumption and reroutes, and crashes it as well.
    pub(super) fn is_admitted(&mut self) -> bool {
        let request = &self.request;
        let (service, parts) = (&request.service.name, &request.shared_parts);
        let quarantine = &self.context.quarantine;
        match quarantine.admit(service, parts, self.quarantine.test) {
            Admission::Send => self.quarantine = QuarantineHold::default(),
            Admission::Test(began_at) if self.quarantine.test == Some(began_at) => {}
            Admission::Test(began_at) => {
                log::info!(request = request.attempt.as_str(), parts = request.part_names().as_str(); "admitted as the test of suspected prompt parts");
                self.quarantine.test = Some(began_at);
            }
            Admission::Hold(held) => {
                self.quarantine = QuarantineHold {
                    test: None,
                    held: Some(held),
                };
                return false;
            }
        }
        true
    }

    /// Whether the draft must not go on at other engines now.
    pub(super) fn is_held(&self) -> bool {
        let request = &self.request;
        let (service, parts) = (&request.service.name, &request.shared_parts);
        let quarantine = &self.context.quarantine;
        let held = quarantine.held(service, parts, self.quarantine.test);
        held.is_some() || self.gate.is_closed()
    }

    /// Records that the draft is about to be sent to the engines of `chain`.
    pub(super) fn begin_send(&self, chain: &ReservedChain) -> TrackedSend {
        let servers = chain
            .servers()
            .filter_map(|server| self.context.loss_id(server));
        self.gate.begin(servers.collect())
    }

    /// Ends the test that the draft is, if it was sent to no engine that answered.
    pub(super) fn cancel_test(&mut self) {
        if let Some(began_at) = self.quarantine.test.take() {
            let request = &self.request;
            let (service, parts) = (&request.service.name, &request.shared_parts);
            let quarantine = &self.context.quarantine;
            quarantine.cancel_test(service, parts, began_at);
        }
    }

    /// Records the engines that the draft is sent to.
    pub(super) fn track(&self, chain: &mut ChainGuard) {
        if self.request.shared_parts.is_empty() {
            return;
        }
        let engines = chain.chain.servers().cloned().collect();
        let (service, parts) = (&self.request.service.name, &self.request.shared_parts);
        let send = self.context.quarantine.record_sent(service, parts, engines);
        chain.track(send);
    }

    /// Checks the first engine of a chain that broke, and records it as crashed if it is gone. The
    /// other drafts that broke with the engine need not check it then.
    ///
    /// A draft whose answer has proven its parts soon goes on: an engine that is silent costs the whole
    /// timeout, and the caller waits for the next event.
    pub(super) async fn check_broken_engine(&self, chain: &mut ChainGuard) {
        let id = self.context.loss_id(&chain.chain.first);
        let is_known = id.is_none_or(|id| self.context.poison.is_lost(&id));
        if is_known && !chain.may_have_crashed() {
            return;
        }
        let Some(hop) = chain.chain.hops.first() else {
            return;
        };
        let check = BrokenEngineCheck {
            context: Arc::clone(&self.context),
            request: self.request.attempt.clone(),
            server: chain.chain.first.clone(),
            address: hop.address,
            later: chain.chain.later_stages().collect(),
        };
        if let Some(send) = chain.take_proven() {
            // If the wait ends first, the check goes on.
            let _ = timeout(PROVEN_CHECK_WAIT, tokio::spawn(check.run_for(send))).await;
            return;
        }
        check.run().await;
    }

    /// Whether no answer to a part of the prompt is known.
    pub(super) fn has_unproven_part(&self) -> bool {
        let (service, parts) = (&self.request.service.name, &self.request.shared_parts);
        let quarantine = &self.context.quarantine;
        quarantine.has_unproven_part(service, parts)
    }
}

/// A check of an engine whose connection broke during a draft.
struct BrokenEngineCheck {
    context: Arc<RelayContext>,
    request: RequestId,
    server: ServerName,
    address: SocketAddr,
    /// The other engines of the chain.
    later: Vec<(ServerName, SocketAddr)>,
}

impl BrokenEngineCheck {
    async fn run(&self) {
        let is_gone = self.context.check_crash(&self.server, self.address).await;
        if is_gone {
            self.check_later();
        }
        log::info!(request = self.request.as_str(), server:% = self.server, gone = is_gone;
            "connection to the engine broke during a draft");
    }

    /// Checks the other engines, which may have ended for the same reason.
    fn check_later(&self) {
        for (server, address) in self.later.clone() {
            let context = Arc::clone(&self.context);
            let id = context.loss_id(&server);
            let is_known = id.is_none_or(|id| context.poison.is_lost(&id));
            let now = context.clock.now();
            let checks = &context.engine_checks;
            let mut checks = checks.lock().unwrap_or_else(PoisonError::into_inner);
            let is_due = !is_known && checks.begin(now, &server);
            drop(checks);
            if is_due {
                tokio::spawn(async move { context.check_crash(&server, address).await });
            }
        }
    }

    /// Counts the draft as on the engine until the check has ended.
    async fn run_for(self, send: SendKey) {
        self.run().await;
        self.context.quarantine.record_ended(send, false);
    }
}

impl RelayContext {
    /// Records that a server, whose connection broke, has ended, if it accepts no further connection
    /// while this host reaches other servers. Returns whether it has.
    pub(super) async fn check_crash(&self, server: &ServerName, address: SocketAddr) -> bool {
        let worker = self.fleet.worker(server);
        let began_at = self.clock.now();
        if self.pool.can_open(address, OPEN_TIMEOUT).await {
            return false;
        }
        // A machine without power, or behind a cut link, refuses nothing.
        let kind = if self.clock.now().since(began_at) >= OPEN_TIMEOUT {
            LossKind::Silent
        } else {
            LossKind::Gone
        };
        // Without a suspicion, the check of whether this host reaches the service would not begin.
        self.suspect_service_of(server);
        if self.has_lost_service_of(server).await {
            return false;
        }
        if let Some(worker) = worker {
            self.record_crash(&worker, kind);
        }
        true
    }

    /// Identity of the running incarnation of a server; `None` if the server is not known.
    pub(super) fn loss_id(&self, server: &ServerName) -> Option<CrashId> {
        let incarnation = self.fleet.worker_incarnation(server)?;
        Some(CrashId {
            server: server.clone(),
            incarnation,
        })
    }

    /// Records the end of a server, unless it had stated that it leaves.
    pub(super) fn record_loss(&self, server: &ServerName, kind: LossKind) {
        let Some(worker) = self.fleet.worker(server) else {
            return;
        };
        let Some(id) = self.loss_id(server) else {
            return;
        };
        if !self.fleet.is_leaving(server) {
            self.poison.record_loss(&id, &worker.offer.service, kind);
        }
    }

    /// Records that an engine crashed, for the requests of this host that were on it.
    fn record_crash(&self, worker: &WorkerView, kind: LossKind) {
        self.record_loss(&worker.server, kind);
        if worker.offer.layers.is_none() {
            return;
        }
        let id = CrashId {
            server: worker.server.clone(),
            incarnation: worker.incarnation,
        };
        let layers = worker.offer.layers.as_ref();
        let version = layers.map(|layers| layers.version.clone());
        let service = &worker.offer.service;
        self.quarantine.record_crash(&id, service, version);
    }

    /// Records that nothing listens at the address of an engine any more.
    pub(super) fn record_gone(&self, server: &ServerName) {
        if let Some(worker) = self.fleet.worker(server) {
            self.record_crash(&worker, LossKind::Gone);
        }
    }

    /// Finds out from the keepers' probes which of the silent servers are alive and which have ended.
    pub(super) fn review_silent_servers(&self) {
        let now = self.clock.now();
        for (id, silent_since) in self.poison.silent_servers() {
            let Some(worker) = self.fleet.worker(&id.server) else {
                continue;
            };
            match worker.incarnation.cmp(&id.incarnation) {
                Ordering::Less => continue,
                Ordering::Equal => {}
                Ordering::Greater => {
                    let service = &worker.offer.service;
                    self.poison.record_loss(&id, service, LossKind::Gone);
                    continue;
                }
            }
            let surveyed = self.fleet.surveyed(now, &worker);
            let Some(surveyed) = surveyed.filter(|found| found.measured_at > silent_since) else {
                continue;
            };
            if surveyed.load.is_some() {
                self.poison.record_answer(&id);
            } else if surveyed.missed >= MISSED_PROBES {
                self.record_loss(&id.server, LossKind::Gone);
            }
        }
    }

    /// Counts the servers of each service that may run requests; engines without layers run none.
    pub(super) fn count_servers(&self, workers: &[Arc<WorkerView>]) {
        let mut sizes: BTreeMap<ServiceName, u32> = BTreeMap::new();
        let is_engine = |worker: &WorkerView| {
            let layers = worker.offer.layers.as_ref();
            layers.is_some_and(|layers| !layers.range.is_empty())
        };
        let engines: BTreeSet<&ServiceName> = workers
            .iter()
            .filter(|worker| is_engine(worker))
            .map(|worker| &worker.offer.service)
            .collect();
        for worker in workers {
            let service = &worker.offer.service;
            if is_engine(worker) || !engines.contains(service) {
                *sizes.entry(service.clone()).or_default() += 1;
            }
        }
        self.poison.set_service_sizes(sizes);
    }

    /// Updates the quarantine: removes what is too old, and crashes on versions of models that are no
    /// longer held.
    pub(super) fn tick_quarantine(&self, entries: Option<u32>, workers: &[Arc<WorkerView>]) {
        self.quarantine.tick(entries);
        let mut held: BTreeMap<&ServiceName, BTreeSet<VersionName>> = BTreeMap::new();
        for worker in workers {
            if let Some(layers) = &worker.offer.layers {
                let versions = held.entry(&worker.offer.service).or_default();
                versions.insert(layers.version.clone());
            }
        }
        for (service, versions) in held {
            self.quarantine.retain_versions(service, &versions);
        }
    }
}
