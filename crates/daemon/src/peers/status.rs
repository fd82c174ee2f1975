//! What the dump says of a link.

use std::net::SocketAddr;
use std::time::Duration;

use pollendrift_coordination::base::HostName;

/// One peer as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The peer.
    pub host: HostName,
    /// Where it is dialled.
    pub address: SocketAddr,
    /// Whether the outbound link works.
    pub up: bool,
    /// Links that were opened so far.
    pub links: u64,
    /// Why the last link or attempt ended; empty while there was none.
    pub last_error: String,
    /// Time of the last heartbeat's way there and back.
    pub round_trip: Option<Duration>,
    /// Frames that wait.
    pub queued: usize,
    /// Frames that were dropped or refused.
    pub dropped: u64,
}
