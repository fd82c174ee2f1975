//! Status of a link, for the dump.

use std::net::SocketAddr;
use std::time::Duration;

use pollendrift_coordination::base::HostName;

/// Status of the link to one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Host of the peer.
    pub host: HostName,
    /// Address that this process connects to.
    pub address: SocketAddr,
    /// Whether the outbound link is up.
    pub up: bool,
    /// Number of links opened so far.
    pub links: u64,
    /// Error that ended the last link or attempt; empty before the first one ended.
    pub last_error: String,
    /// Round-trip time of the last echoed heartbeat.
    pub round_trip: Option<Duration>,
    /// Number of queued frames.
    pub queued: usize,
    /// Number of frames that a full queue or a broken link dropped, or that a full queue refused.
    pub dropped: u64,
}
