//! Announcements of backend servers.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, Response};
use pollendrift_coordination::base::{DataCentreName, Incarnation, SequenceNumber, ServerName};
use pollendrift_coordination::leases::{BackendOffer, ServerState};

/// Announcement of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAnnouncement {
    /// Name of the server.
    pub server: ServerName,
    /// Incarnation of the process; a restart under the same name has a higher one.
    pub incarnation: Incarnation,
    /// Increases with every announcement of the same incarnation.
    pub sequence: SequenceNumber,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentreName,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Whether the server refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Service, layers and capacity that the server offers.
    pub offer: BackendOffer,
}

/// Registry call of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryCall {
    /// The server is running, or will leave soon.
    Announce(Box<ServerAnnouncement>),
    /// The server has left, or only finishes its running requests. Contains only the name.
    Leave(ServerName),
}

/// Acknowledgement of a registry call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryAck {
    /// Address for later announcements; with `None` the server chooses.
    pub announce_at: Option<SocketAddr>,
}

/// Reason why a registry call was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}")]
pub struct RegistryError {
    /// Reason for the server and the log.
    pub reason: String,
    /// Whether another host may accept the call.
    pub elsewhere: bool,
}

/// Decodes registry calls of backend servers and encodes the replies.
pub trait RegistryDialect: Send + Sync {
    /// Decodes a call; returns `None` if the path is not one of the registry.
    fn read(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<Result<RegistryCall, RegistryError>>;

    /// Encodes the reply to an accepted call.
    fn acknowledge(&self, ack: &RegistryAck) -> Response<Bytes>;

    /// Encodes the reply to a refused call.
    fn refuse(&self, error: &RegistryError) -> Response<Bytes>;
}
