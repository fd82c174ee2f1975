//! Heartbeats of backend servers, taken for the keepers.
//!
//! A keeper has a small part of a processor and hears of every server; entries have more and are many.
//! So keepers name an entry to each server for its later heartbeats. The entry takes what says nothing
//! new, and turns away all else: what changes is decided and acknowledged by keepers alone.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::leases::{
    AssignmentSettings, AssignmentTable, HeartbeatHost, MergeVerdict,
};
use pollendrift_dialect::{PlatformDialect, RegistryAck, RegistryCall, RegistryFault, ServerNote};
use pollendrift_http::{
    HandlerFuture, HttpHandler, ResponseBody, full_body, read_bounded, read_within, text_response,
};

use super::control::{BODY_TIMEOUT, MAX_BODY_BYTES};
use crate::clock::TimeSource;
use crate::fleet::BackendFleet;
use crate::node::AgreedNode;

/// Time without a keeper's answer after which a host takes no heartbeats: two questions. What it heard
/// would reach nobody, and servers that serve would be taken for gone.
const LONGEST_SILENCE: Duration = Duration::from_millis(2_200);
/// Time for which a server is known before it can be back from a host that was named to it: until then
/// that host may not have heard of it.
const RETURN_TIME: Duration = Duration::from_secs(5);
/// Time between two looks at which hosts take heartbeats.
const HOSTS_PERIOD: Duration = Duration::from_millis(500);

/// Takes heartbeats at a host that is no keeper.
pub(crate) struct HeartbeatHandler {
    pub(crate) dialect: PlatformDialect,
    pub(crate) fleet: Arc<BackendFleet>,
    pub(crate) node: Arc<AgreedNode>,
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
        let body = match read_within(BODY_TIMEOUT, read_bounded(body, MAX_BODY_BYTES)).await {
            Ok(body) => body,
            Err(failure) => {
                return text_response(StatusCode::BAD_REQUEST, format!("{failure}\n"));
            }
        };
        match self
            .dialect
            .registry
            .read(&head.method, head.uri.path(), &body)
        {
            Some(call) => self.take(call).map(full_body),
            None => text_response(
                StatusCode::NOT_FOUND,
                "this address does not serve that path\n",
            ),
        }
    }

    fn take(&self, call: Result<RegistryCall, RegistryFault>) -> Response<Bytes> {
        let now = self.clock.now();
        let taken = match call {
            Ok(RegistryCall::Announce(_)) if self.is_cut_off(now) => {
                Err("this host is cut off from the keepers")
            }
            Ok(RegistryCall::Announce(note)) if self.fleet.renew_worker(now, &note) => Ok(()),
            Ok(_) => Err("keepers alone take what is new"),
            Err(fault) => return self.dialect.registry.refuse(&fault),
        };
        match taken {
            Ok(()) => {
                let ack = RegistryAck { announce_at: None };
                self.dialect.registry.acknowledge(&ack)
            }
            Err(reason) => self.dialect.registry.refuse(&RegistryFault {
                reason: reason.to_owned(),
                elsewhere: true,
            }),
        }
    }

    fn is_cut_off(&self, now: MonotonicTime) -> bool {
        let confirmed_at = self.node.feed().confirmed_at();
        confirmed_at.is_none_or(|at| now.since(at) >= LONGEST_SILENCE)
    }
}

impl HttpHandler for HeartbeatHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}

/// Names hosts to servers that a keeper has heard.
pub(super) struct HeartbeatAssigner {
    node: Arc<AgreedNode>,
    state: Mutex<AssignerState>,
}

struct AssignerState {
    table: AssignmentTable,
    hosts: Vec<HeartbeatHost>,
    looked_at: Option<MonotonicTime>,
}

impl HeartbeatAssigner {
    pub(super) fn new(node: Arc<AgreedNode>) -> Self {
        let state = AssignerState {
            table: AssignmentTable::new(AssignmentSettings::default()),
            hosts: Vec::new(),
            looked_at: None,
        };
        Self {
            node,
            state: Mutex::new(state),
        }
    }

    /// Where the server of `note` is to send its heartbeats; `known_for` is the time for which this host
    /// has known it.
    pub(super) fn assign(
        &self,
        now: MonotonicTime,
        note: &ServerNote,
        verdict: MergeVerdict,
        known_for: Duration,
    ) -> Option<SocketAddr> {
        let is_back = verdict == MergeVerdict::Renewed && known_for >= RETURN_TIME;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.look(now, &self.node);
        let AssignerState { table, hosts, .. } = &mut *state;
        let host = table.assign(now, &note.server, &note.data_centre, is_back, hosts)?;
        log::info!(server:% = note.server, host:% = host.host, is_back = is_back; "heartbeats assigned");
        Some(host.address)
    }
}

impl AssignerState {
    /// Looks up the hosts that take heartbeats and are linked to this one.
    fn look(&mut self, now: MonotonicTime, node: &AgreedNode) {
        let is_fresh = |at: MonotonicTime| now.since(at) < HOSTS_PERIOD;
        if self.looked_at.is_some_and(is_fresh) {
            return;
        }
        self.looked_at = Some(now);
        let hub = node.hub();
        let known = hub.discovery().map(|found| found.heartbeat_hosts());
        let up = hub.up_hosts();
        self.hosts = known.unwrap_or_default();
        self.hosts
            .retain(|host| up.binary_search(&host.host).is_ok());
    }
}
