//! Holds back drafts under whose prompt parts engines crash, and finds out which engines have crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{
    MonotonicTime, RequestId, ServerName, ServiceName, VersionName,
};
use pollendrift_coordination::quarantine::{Admission, CrashId, HeldRequest, SendKey};
use pollendrift_dialect::RefusalKind;
use tokio::time::timeout;

use super::context::RelayContext;
use super::drafts::DraftRun;
use super::guard::ChainGuard;
use super::request::{Refused, refused};
use crate::fleet::WorkerView;

/// Time within which an engine that runs accepts a connection. Nothing listens at the address of a
/// crashed one, which is known after a round trip.
const OPEN_TIMEOUT: Duration = Duration::from_millis(100);
/// Part of that time for which a draft waits whose answer has proven its parts. A crashed engine is known
/// by then, so that the draft is not sent to another one that it crashes too.
const PROVEN_CHECK_WAIT: Duration = Duration::from_millis(30);
/// Time for which a draft waits after its engine refused the connection, if no answer to a part of its
/// prompt is known. Other hosts tell of a crash under that part within it.
pub(super) const NOTICE_WAIT: Duration = Duration::from_millis(60);

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
        held.is_some()
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
        if !chain.may_have_crashed() {
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
}

impl BrokenEngineCheck {
    async fn run(&self) {
        let is_gone = self.context.check_crash(&self.server, self.address).await;
        log::info!(request = self.request.as_str(), server:% = self.server, gone = is_gone;
            "connection to the engine broke during a draft");
    }

    /// Counts the draft as on the engine until the check has ended.
    async fn run_for(self, send: SendKey) {
        self.run().await;
        self.context.quarantine.record_ended(send, false);
    }
}

impl RelayContext {
    /// Records that an engine, whose connection broke, has crashed, if it accepts no further connection
    /// while this host reaches other engines. Returns whether it has.
    async fn check_crash(&self, server: &ServerName, address: SocketAddr) -> bool {
        let worker = self.fleet.worker(server);
        if self.pool.can_open(address, OPEN_TIMEOUT).await {
            return false;
        }
        if self.has_lost_service_of(server).await {
            return false;
        }
        if let Some(worker) = worker {
            self.record_crash(&worker);
        }
        true
    }

    /// Records that an engine crashed, for the requests of this host that were on it.
    pub(super) fn record_crash(&self, worker: &WorkerView) {
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
            self.record_crash(&worker);
        }
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
