//! How backend servers announce themselves.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, Response};
use pollendrift_coordination::base::{DataCentreName, Incarnation, SequenceNumber, ServerName};
use pollendrift_coordination::leases::{BackendOffer, ServerState};

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAnnouncement {
    /// Its name.
    pub server: ServerName,
    /// Life of its process; a restart under the same name has a higher one.
    pub incarnation: Incarnation,
    /// Rises with every announcement of that life.
    pub sequence: SequenceNumber,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// What it offers.
    pub offer: BackendOffer,
}

/// One call of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryCall {
    /// It is there, or is about to leave.
    Announce(Box<ServerAnnouncement>),
    /// It has left, or serves only what it has. Says nothing but the name.
    Leave(ServerName),
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryAck {
    /// Where later announcements should go; `None` leaves it to the server.
    pub announce_at: Option<SocketAddr>,
}

/// Why a call was not taken.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}")]
pub struct RegistryError {
    /// All that is wrong with it.
    pub reason: String,
    /// Whether another host may take it.
    pub elsewhere: bool,
}

/// How backend servers speak of themselves.
pub trait RegistryDialect: Send + Sync {
    /// Reads a call; `None` if the path is none of a backend server's.
    fn read(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<Result<RegistryCall, RegistryError>>;

    /// Writes the answer to a call that was taken.
    fn acknowledge(&self, ack: &RegistryAck) -> Response<Bytes>;

    /// Writes the answer to a call that was not taken.
    fn refuse(&self, fault: &RegistryError) -> Response<Bytes>;
}
