//! Receives heartbeats of backend servers on behalf of the keepers.
//!
//! A keeper has a small part of a processor and serves every backend server; hosts without a keeper
//! are more numerous and have more capacity. Keepers therefore assign such a host to each server
//! for its later heartbeats. That host accepts heartbeats that only renew a lease and refuses
//! everything else: only keepers decide and acknowledge changes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use pollendrift_coordination::base::{HostName, MonotonicTime};
use pollendrift_coordination::leases::{
    AssignmentSettings, AssignmentTable, HeartbeatHost, KeeperContact, MergeVerdict,
};
use pollendrift_dialect::{
    PlatformDialect, RegistryAck, RegistryCall, RegistryError, ServerAnnouncement,
};
use pollendrift_http::{
    BodyMemory, HandlerFuture, HttpHandler, RequestLimits, ResponseBody, full_body, read_request,
    text_response,
};

use super::control::{BODY_TIMEOUT, MAX_ANNOUNCEMENT_BYTES, refuse_body};
use crate::clock::TimeSource;
use crate::fleet::BackendFleet;
use crate::node::ClusterNode;

/// Least time for which this host knows a server before a heartbeat counts as a return from the
/// assigned host: until then the assigned host may not know the server.
const MIN_KNOWN_TIME: Duration = Duration::from_secs(5);
/// Time between two refreshes of the list of hosts that receive heartbeats.
const HOST_REFRESH_PERIOD: Duration = Duration::from_millis(500);

/// Receives heartbeats on a host without a keeper.
pub(crate) struct HeartbeatHandler {
    pub(crate) dialect: PlatformDialect,
    pub(crate) fleet: Arc<BackendFleet>,
    pub(crate) node: Arc<ClusterNode>,
    pub(crate) request_memory: BodyMemory,
    pub(crate) clock: Arc<dyn TimeSource>,
}

impl std::fmt::Debug for HeartbeatHandler {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("HeartbeatHandler")
            .finish_non_exhaustive()
    }
}

impl HeartbeatHandler {
    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let limits = RequestLimits {
            max_bytes: MAX_ANNOUNCEMENT_BYTES,
            timeout: BODY_TIMEOUT,
            memory: &self.request_memory,
        };
        let body = match read_request(&head.extensions, body, limits).await {
            Ok(body) => body,
            Err(failure) => return refuse_body(&failure),
        };
        match self
            .dialect
            .registry
            .read(&head.method, head.uri.path(), &body)
        {
            Some(call) => self.handle_call(call).map(full_body),
            None => text_response(
                StatusCode::NOT_FOUND,
                "this address does not serve that path\n",
            ),
        }
    }

    fn handle_call(&self, call: Result<RegistryCall, RegistryError>) -> Response<Bytes> {
        let now = self.clock.now();
        let server = match &call {
            Ok(RegistryCall::Announce(announcement)) => announcement.server.clone(),
            Ok(RegistryCall::Leave(server)) => server.clone(),
            Err(error) => return self.dialect.registry.refuse(error),
        };
        let outcome = match call {
            Ok(RegistryCall::Announce(_)) if self.is_cut_off(now) => {
                Err("this host is cut off from the keepers")
            }
            Ok(RegistryCall::Announce(announcement))
                if self.fleet.renew_worker(now, &announcement) =>
            {
                Ok(())
            }
            _ => Err("keepers alone take what is new"),
        };
        match outcome {
            Ok(()) => {
                let ack = RegistryAck { announce_at: None };
                self.dialect.registry.acknowledge(&ack)
            }
            Err(reason) => {
                log::info!(server:% = server, reason = reason; "heartbeat refused");
                self.dialect.registry.refuse(&RegistryError {
                    reason: reason.to_owned(),
                    elsewhere: true,
                })
            }
        }
    }

    fn is_cut_off(&self, now: MonotonicTime) -> bool {
        let confirmed_at = self.node.feed().confirmed_at();
        let hub = self.node.hub();
        let heard = hub.heard_within(KeeperContact::MAX_AGE);
        let discovery = hub.discovery();
        let keepers = discovery.map_or_else(Vec::new, |discovery| discovery.keepers());
        let is_heard = |keeper: &&HostName| heard.binary_search(keeper).is_ok();
        let contact = KeeperContact {
            confirmed_age: confirmed_at.map(|at| now.since(at)),
            known_keepers: keepers.len(),
            heard_keepers: keepers.iter().filter(is_heard).count(),
        };
        contact.is_cut_off()
    }
}

impl HttpHandler for HeartbeatHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}

/// Assigns a host to each server that announces itself to this keeper.
pub(super) struct HeartbeatAssigner {
    node: Arc<ClusterNode>,
    state: Mutex<AssignerState>,
}

struct AssignerState {
    table: AssignmentTable,
    hosts: Vec<HeartbeatHost>,
    refreshed_at: Option<MonotonicTime>,
}

impl HeartbeatAssigner {
    pub(super) fn new(node: Arc<ClusterNode>) -> Self {
        let state = AssignerState {
            table: AssignmentTable::new(AssignmentSettings::default()),
            hosts: Vec::new(),
            refreshed_at: None,
        };
        Self {
            node,
            state: Mutex::new(state),
        }
    }

    /// Returns the address for the later heartbeats of the server of `announcement`; `None` leaves
    /// them as they are. `known_for` is the time for which this host has known the server.
    pub(super) fn assign(
        &self,
        now: MonotonicTime,
        announcement: &ServerAnnouncement,
        verdict: MergeVerdict,
        known_for: Duration,
    ) -> Option<SocketAddr> {
        let is_return = verdict == MergeVerdict::Renewed && known_for >= MIN_KNOWN_TIME;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.refresh_hosts(now, &self.node);
        let AssignerState { table, hosts, .. } = &mut *state;
        let host = table.assign(
            now,
            &announcement.server,
            &announcement.data_centre,
            is_return,
            hosts,
        )?;
        log::info!(server:% = announcement.server, host:% = host.host, is_back = is_return; "heartbeats assigned");
        Some(host.address)
    }
}

impl AssignerState {
    /// Refreshes the list of hosts that receive heartbeats and have a link to this host.
    fn refresh_hosts(&mut self, now: MonotonicTime, node: &ClusterNode) {
        let is_fresh = |at: MonotonicTime| now.since(at) < HOST_REFRESH_PERIOD;
        if self.refreshed_at.is_some_and(is_fresh) {
            return;
        }
        self.refreshed_at = Some(now);
        let hub = node.hub();
        let found_hosts = hub.discovery().map(|found| found.heartbeat_hosts());
        let connected = hub.up_hosts();
        self.hosts = found_hosts.unwrap_or_default();
        self.hosts
            .retain(|host| connected.binary_search(&host.host).is_ok());
    }
}
