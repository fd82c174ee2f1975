//! Serves backend servers' announcements and operators' calls in the platform's dialect.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use pollendrift_coordination::leases::ServerState;
use pollendrift_dialect::{
    OperatorCall, OperatorReply, PlatformDialect, RegistryAck, RegistryCall, RegistryError,
    ServerAnnouncement,
};
use pollendrift_http::{
    BodyMemory, HandlerFuture, HttpHandler, ReadFailure, RequestLimits, ResponseBody, full_body,
    read_request, text_response,
};

use super::heartbeats::HeartbeatAssigner;
use super::leaves::LeaveConfirmer;
use super::publish::Publisher;
use crate::clock::TimeSource;
use crate::fleet::BackendFleet;
use crate::node::ClusterNode;

/// Largest body of a document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;
/// Largest body of an announcement, in bytes.
pub(super) const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Time limit for receiving a body.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the start during which other hosts may know servers that this host does not know: a
/// few heartbeats.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Serves requests of backend servers and operators.
pub(crate) struct ControlHandler {
    pub(crate) dialect: PlatformDialect,
    pub(crate) fleet: Arc<BackendFleet>,
    pub(crate) publisher: Publisher,
    pub(crate) node: Arc<ClusterNode>,
    pub(super) heartbeats: HeartbeatAssigner,
    pub(super) leaves: LeaveConfirmer,
    pub(crate) request_memory: BodyMemory,
    pub(crate) clock: Arc<dyn TimeSource>,
}

impl std::fmt::Debug for ControlHandler {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("ControlHandler")
            .finish_non_exhaustive()
    }
}

impl ControlHandler {
    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let operator_call = self.dialect.operators.call(&head.method, path);
        let limit = match operator_call {
            Some(_) => MAX_DOCUMENT_BYTES,
            None => MAX_ANNOUNCEMENT_BYTES,
        };
        let limits = RequestLimits {
            max_bytes: limit,
            timeout: BODY_TIMEOUT,
            memory: &self.request_memory,
        };
        let body = match read_request(&head.extensions, body, limits).await {
            Ok(body) => body,
            Err(failure) => return refuse_body(&failure),
        };
        if let Some(call) = operator_call {
            return self.serve_operator(call, &body).await.map(full_body);
        }
        match self.dialect.registry.read(&head.method, path, &body) {
            Some(call) => self.serve_registry(call).await.map(full_body),
            None => text_response(
                StatusCode::NOT_FOUND,
                "this address does not serve that path\n",
            ),
        }
    }

    async fn serve_operator(&self, call: OperatorCall, body: &[u8]) -> Response<Bytes> {
        let reply = match call {
            OperatorCall::Publish => self.publisher.publish(body).await,
            OperatorCall::Read => self.publisher.read().await,
        };
        if let OperatorReply::Unavailable { reason } = &reply {
            log::warn!(reason = reason.as_str(); "operator request failed");
        }
        self.dialect.operators.reply(&reply)
    }

    async fn serve_registry(&self, call: Result<RegistryCall, RegistryError>) -> Response<Bytes> {
        let now = self.clock.now();
        if self.is_cut_off() {
            let reason = "this host is cut off from most keepers".to_owned();
            let elsewhere = true;
            return self
                .dialect
                .registry
                .refuse(&RegistryError { reason, elsewhere });
        }
        let outcome = match call {
            Ok(RegistryCall::Announce(note)) => self.announce(now, &note).await,
            Ok(RegistryCall::Leave(server)) => self.leave(now, &server).await.map(|()| None),
            Err(error) => Err(error),
        };
        match outcome {
            Ok(announce_at) => {
                let ack = RegistryAck { announce_at };
                self.dialect.registry.acknowledge(&ack)
            }
            Err(error) => {
                log::warn!(reason = error.reason.as_str(); "announcement or leave refused");
                self.dialect.registry.refuse(&error)
            }
        }
    }

    /// Applies an announcement; returns the address for the server's later heartbeats.
    ///
    /// `None` means that the server keeps sending them to the same address. A server that announces
    /// that it leaves is answered like one that has left.
    async fn announce(
        &self,
        now: MonotonicTime,
        note: &ServerAnnouncement,
    ) -> Result<Option<SocketAddr>, RegistryError> {
        let verdict = self.fleet.announce_worker(now, note);
        let verdict = verdict.map_err(|error| RegistryError {
            reason: error.to_string(),
            elsewhere: false,
        })?;
        if note.state == ServerState::Leaving {
            self.leaves.confirm(&note.server).await?;
        }
        let known_for = self.fleet.known_for(now, &note.server);
        Ok(self.heartbeats.assign(now, note, verdict, known_for))
    }

    /// Whether this keeper and the voters that it has links to form no quorum.
    ///
    /// Announcements to such a keeper reach no other host: other hosts would let the leases of
    /// servers expire, and would keep sending work to a server that leaves, although this host
    /// acknowledged both.
    fn is_cut_off(&self) -> bool {
        let hub = self.node.hub();
        let Some(status) = self.node.keeper_status() else {
            return false;
        };
        let peers = hub.status().into_iter().filter(|peer| peer.up);
        let mut reachable: BTreeSet<HostName> = peers.map(|peer| peer.host).collect();
        reachable.insert(hub.host().clone());
        !status.membership.is_quorum(&reachable)
    }

    /// Records that a server leaves, and waits until a majority of the keepers has stored it.
    ///
    /// A host that has just started may not know the server while other hosts do, and has hardly any
    /// links. It refuses with `elsewhere`, which makes the server ask another host; after a refusal
    /// as malformed the server would ask no other host.
    async fn leave(&self, now: MonotonicTime, server: &ServerName) -> Result<(), RegistryError> {
        let elsewhere = |reason: String| RegistryError {
            reason,
            elsewhere: true,
        };
        let is_learning = now.since(MonotonicTime::START) < LEARNING_TIME;
        if is_learning && !self.fleet.knows(server) {
            return Err(elsewhere(format!("this host does not know {server} yet")));
        }
        let left = self.fleet.leave_worker(now, server);
        left.map_err(|error| elsewhere(error.to_string()))?;
        self.leaves.confirm(server).await
    }
}

/// Answers a request whose body could not be read.
pub(super) fn refuse_body(failure: &ReadFailure) -> Response<ResponseBody> {
    let status = failure.status();
    log::info!(status = status.as_u16(), reason:% = failure; "body not accepted");
    text_response(status, format!("{failure}\n"))
}

impl HttpHandler for ControlHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}
