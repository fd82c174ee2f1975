//! Settings of the links between peers.

use std::time::Duration;

use pollendrift_coordination::limits::WorkSettings;

/// Intervals, timeouts and limits of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Timeout for the connection, the handshake and the hello together.
    pub handshake_timeout: Duration,
    /// The same timeout, with discovery, for links of hosts without a keeper. After a start of the
    /// whole system, a keeper answers the handshakes of hundreds of hosts one after the other. With
    /// a shorter timeout, hosts would give up and start again, and no handshake would ever finish.
    pub entry_handshake_timeout: Duration,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Heartbeat interval per host without a keeper, with discovery, on links of such hosts. The
    /// interval is the larger of `heartbeat` and this multiplied by the number of such hosts.
    pub heartbeat_per_entry: Duration,
    /// Minimum time without a received frame after which a link counts as broken. Invariant: at
    /// least three heartbeats.
    pub silence_timeout: Duration,
    /// First wait before a new attempt to open the link.
    pub base_backoff: Duration,
    /// Maximum wait before a new attempt.
    pub max_backoff: Duration,
    /// Maximum size of a frame in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of queued agreement frames per peer.
    pub max_agreement_frames: usize,
    /// Maximum number of other queued frames per peer.
    pub max_other_frames: usize,
    /// Maximum size in bytes of the queued frames per peer, for each of the two kinds.
    pub max_queue_bytes: usize,
    /// Maximum number of pending calls of this process.
    pub max_pending_calls: usize,
    /// Maximum number of accepted connections in the handshake.
    pub max_handshakes: usize,
    /// Maximum number of accepted connections: links, channels for forwarded requests and handshakes.
    pub max_links: usize,
    /// Maximum number of links that this process opens at the same time. All hosts of a fleet start
    /// together, and a keeper that accepts all their links at once finishes none of them in time.
    pub max_dials: usize,
    /// Share of deferrable work, for a process with a keeper: its links then put frames aside that are no
    /// part of the agreement, of questions to keepers or of leases. `None` handles all frames at once.
    pub deferrable: Option<WorkSettings>,
    /// Maximum number of such frames that wait, per peer; the oldest go first, as later ones replace them.
    pub max_deferred_frames: usize,
    /// Maximum size in bytes of these, per peer.
    pub max_deferred_bytes: usize,
    /// Seed of the back-off's jitter.
    pub seed: u64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            handshake_timeout: Duration::from_secs(2),
            entry_handshake_timeout: Duration::from_secs(8),
            heartbeat: Duration::from_millis(300),
            heartbeat_per_entry: Duration::from_millis(4),
            silence_timeout: Duration::from_millis(1_200),
            base_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_millis(1_000),
            max_frame_bytes: 4 * 1024 * 1024,
            max_agreement_frames: 1_024,
            max_other_frames: 4_096,
            max_queue_bytes: 8 * 1024 * 1024,
            max_pending_calls: 16_384,
            max_handshakes: 64,
            max_links: 1_024,
            max_dials: 4,
            deferrable: None,
            max_deferred_frames: 64,
            max_deferred_bytes: 512 * 1024,
            seed: 0,
        }
    }
}
