//! Finds out which backend servers ended under a request, and refuses requests that end servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use pollendrift_coordination::base::{Incarnation, ServerName, ServiceName};
use pollendrift_coordination::poison::{ContentDigest, LossKind, RequestContent};
use pollendrift_coordination::quarantine::CrashId;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::context::EntryContext;
use super::refusal::Refusal;
use crate::poison::SendGate;

/// Time within which a server that runs accepts a connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(100);

impl EntryContext {
    /// Identity of the running incarnation of a server; `None` if the server is not known.
    pub(super) fn loss_id(&self, server: &ServerName) -> Option<CrashId> {
        let number = self.fleet.announcement_number(server.as_str())?;
        Some(CrashId {
            server: server.clone(),
            incarnation: Incarnation(number.incarnation),
        })
    }

    /// Records that a server of `service` ended, if it had not stated that it leaves and accepts no
    /// further connection.
    pub(super) async fn check_server(&self, server: &ServerName, service: &ServiceName) {
        let (Some(id), Some(view)) = (self.loss_id(server), self.fleet.view(server)) else {
            return;
        };
        let Ok(address) = view.address.parse::<SocketAddr>() else {
            return;
        };
        if self.fleet.is_leaving(server) || self.poison.is_lost(&id) {
            return;
        }
        let kind = match timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return,
            Ok(Err(_)) => LossKind::Gone,
            Err(_) => LossKind::Silent,
        };
        self.poison.record_loss(&id, service, kind);
    }
}

/// Refusal of a request that `gate` withheld: `not-run` only if no server may have run it.
pub(super) fn withheld_refusal(gate: &SendGate, may_have_run: bool) -> Refusal {
    const KIND: &str = "servers-ended";
    const TITLE: &str = "Servers ended under this request";
    let withheld = gate.withheld();
    let detail = withheld.map_or_else(String::new, ToString::to_string);
    let refusal = if may_have_run {
        Refusal::unknown(StatusCode::BAD_GATEWAY, KIND, TITLE, detail)
    } else {
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, KIND, TITLE, detail)
    };
    match withheld {
        Some(withheld) => refusal.retry_after(withheld.wait()),
        None => refusal,
    }
}

/// Gate of an attempt at a request with this content.
pub(super) fn send_gate(context: &Arc<EntryContext>, content: &RequestContent<'_>) -> SendGate {
    let digest = ContentDigest::of(content);
    SendGate::new(&context.poison, digest)
}
