//! Addresses on which a daemon listens, and the limits of their servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pollendrift_http::{DynHandler, HttpServer, ServerHooks, ServerLimits};

use super::{StartError, to_usize};
use crate::resources::ResourceShares;
use crate::settings::{DaemonSettings, EntrySettings};

/// Maximum number of new connections on an address for announcements.
const MAX_NEW_ANNOUNCERS: usize = 8;
/// Maximum number of connections that wait to be accepted on such an address. Announcements that
/// wait longer than their senders, which then ask another host, must not take up the processor.
const ANNOUNCER_BACKLOG: u32 = 64;
/// Faces served at one address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaceSet {
    /// Requests of callers.
    pub callers: bool,
    /// Changes and queries of operators.
    pub operators: bool,
    /// Announcements of backend servers.
    pub backend_servers: bool,
}

pub(super) fn listen_addresses(settings: &DaemonSettings) -> BTreeMap<SocketAddr, FaceSet> {
    let mut addresses: BTreeMap<SocketAddr, FaceSet> = BTreeMap::new();
    let listen = &settings.listen;
    addresses.entry(listen.callers).or_default().callers = true;
    addresses.entry(listen.operators).or_default().operators = true;
    addresses
        .entry(listen.backend_servers)
        .or_default()
        .backend_servers = true;
    addresses
}

/// Limits of the server of an address with `faces`.
///
/// Backend servers announce themselves all at once when a fleet starts, and on a new connection
/// each time. Without a limit on new connections, the tasks of a keeper that exchange agreement
/// messages wait for hundreds of announcements at each step, and no leader stays in office.
pub(super) fn server_limits(
    settings: &EntrySettings,
    shares: &ResourceShares,
    faces: FaceSet,
) -> ServerLimits {
    let limits = ServerLimits {
        max_headers: to_usize(settings.max_header_count),
        max_head_bytes: to_usize(settings.max_header_bytes),
        head_timeout: settings.head_timeout,
        max_connections_per_address: to_usize(settings.max_connections_per_address),
        max_connections: to_usize(shares.connections(faces)),
        ..ServerLimits::default()
    };
    if !faces.backend_servers || faces.callers {
        return limits;
    }
    ServerLimits {
        max_new_connections: MAX_NEW_ANNOUNCERS,
        backlog: ANNOUNCER_BACKLOG,
        ..limits
    }
}

pub(super) async fn listen(
    address: SocketAddr,
    limits: ServerLimits,
    hooks: ServerHooks,
    handler: Arc<dyn DynHandler>,
) -> Result<HttpServer, StartError> {
    HttpServer::start_with(address, limits, hooks, handler)
        .await
        .map_err(|error| StartError::Listen { address, error })
}
