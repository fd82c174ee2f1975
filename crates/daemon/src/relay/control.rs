//! Backend servers' announcements and operators' calls, in the platform's dialect.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use pollendrift_dialect::{
    OperatorCall, OperatorReply, PlatformDialect, RegistryAck, RegistryCall, RegistryFault,
    ServerNote,
};
use pollendrift_http::{
    HandlerFuture, HttpHandler, ResponseBody, full_body, read_bounded, read_within, text_response,
};

use super::heartbeats::HeartbeatAssigner;
use super::publish::Publisher;
use crate::clock::TimeSource;
use crate::fleet::BackendFleet;
use crate::node::AgreedNode;

/// Largest body of an announcement or a document.
pub(super) const MAX_BODY_BYTES: usize = 8 << 20;
/// Time in which a body must have come.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the start in which servers that this host does not know may be known to others: a few
/// heartbeats.
const HEARING_TIME: Duration = Duration::from_secs(3);

/// Serves backend servers and operators.
pub(crate) struct ControlHandler {
    pub(crate) dialect: PlatformDialect,
    pub(crate) fleet: Arc<BackendFleet>,
    pub(crate) publisher: Publisher,
    pub(crate) node: Arc<AgreedNode>,
    pub(super) heartbeats: HeartbeatAssigner,
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
        let body = match read_within(BODY_TIMEOUT, read_bounded(body, MAX_BODY_BYTES)).await {
            Ok(body) => body,
            Err(failure) => {
                return text_response(StatusCode::BAD_REQUEST, format!("{failure}\n"));
            }
        };
        let path = head.uri.path();
        if let Some(call) = self.dialect.operators.call(&head.method, path) {
            return self.operate(call, &body).await.map(full_body);
        }
        match self.dialect.registry.read(&head.method, path, &body) {
            Some(call) => self.register(call).map(full_body),
            None => text_response(
                StatusCode::NOT_FOUND,
                "this address does not serve that path\n",
            ),
        }
    }

    async fn operate(&self, call: OperatorCall, body: &[u8]) -> Response<Bytes> {
        let reply = match call {
            OperatorCall::Publish => self.publisher.publish(body).await,
            OperatorCall::Read => self.publisher.read().await,
        };
        if let OperatorReply::Unavailable { reason } = &reply {
            log::warn!(reason = reason.as_str(); "operator's call not served");
        }
        self.dialect.operators.reply(&reply)
    }

    fn register(&self, call: Result<RegistryCall, RegistryFault>) -> Response<Bytes> {
        let now = self.clock.now();
        if self.is_cut_off() {
            let reason = "this host is cut off from most keepers".to_owned();
            let elsewhere = true;
            return self
                .dialect
                .registry
                .refuse(&RegistryFault { reason, elsewhere });
        }
        let taken = match call {
            Ok(RegistryCall::Announce(note)) => self.announce(now, &note),
            Ok(RegistryCall::Leave(server)) => self.leave(now, &server).map(|()| None),
            Err(fault) => Err(fault),
        };
        match taken {
            Ok(announce_at) => {
                let ack = RegistryAck { announce_at };
                self.dialect.registry.acknowledge(&ack)
            }
            Err(fault) => {
                log::warn!(reason = fault.reason.as_str(); "announcement not taken");
                self.dialect.registry.refuse(&fault)
            }
        }
    }

    /// Takes an announcement; returns where the server's heartbeats are to go.
    fn announce(
        &self,
        now: MonotonicTime,
        note: &ServerNote,
    ) -> Result<Option<SocketAddr>, RegistryFault> {
        let verdict = self.fleet.announce_worker(now, note);
        let verdict = verdict.map_err(|error| RegistryFault {
            reason: error.to_string(),
            elsewhere: false,
        })?;
        let known_for = self.fleet.known_for(now, &note.server);
        Ok(self.heartbeats.assign(now, note, verdict, known_for))
    }

    /// Whether links lead to no quorum of the keepers that vote, this one counted.
    ///
    /// What is announced here would reach nobody: servers would be taken for gone elsewhere, and one
    /// that leaves would go on getting work, though both were acknowledged.
    fn is_cut_off(&self) -> bool {
        let hub = self.node.hub();
        let Some(status) = self.node.keeper_status() else {
            return false;
        };
        let peers = hub.status().into_iter().filter(|peer| peer.up);
        let mut reached: BTreeSet<HostName> = peers.map(|peer| peer.host).collect();
        reached.insert(hub.host().clone());
        !status.membership.is_quorum(&reached)
    }

    /// A host that has just started may not know the server while others do; acknowledged here, its
    /// leaving would be known to nobody, and work would go on to it. It is sent to another host; told
    /// that its words are wrong, it would ask no other.
    fn leave(&self, now: MonotonicTime, server: &ServerName) -> Result<(), RegistryFault> {
        let is_known = self.fleet.leave_worker(now, server);
        if is_known || now.since(MonotonicTime::START) >= HEARING_TIME {
            return Ok(());
        }
        Err(RegistryFault {
            reason: format!("this host does not know {server} yet"),
            elsewhere: true,
        })
    }
}

impl HttpHandler for ControlHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}
