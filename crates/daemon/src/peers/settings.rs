//! Settings of the links between peers.

use std::time::Duration;

/// Timeouts and bounds of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Time for connecting, the handshake and the hello together.
    pub handshake_timeout: Duration,
    /// The same on links with a host at an end that takes callers. After a start of the whole system a keeper
    /// has those of hundreds of hosts to answer, one after the other; given up meanwhile and begun anew, none
    /// of them would ever end.
    pub entry_handshake_timeout: Duration,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Time that each host which takes callers adds to the time between two heartbeats, on links with one of
    /// them at an end.
    pub heartbeat_per_entry: Duration,
    /// Least silence after which a link counts as broken. Invariant: at least three heartbeats.
    pub silence_timeout: Duration,
    /// First wait before a new attempt.
    pub base_backoff: Duration,
    /// Longest wait before a new attempt.
    pub max_backoff: Duration,
    /// Bytes of the largest frame.
    pub max_frame_bytes: usize,
    /// Agreement frames that wait for one peer.
    pub max_agreement_frames: usize,
    /// Other frames that wait for one peer.
    pub max_other_frames: usize,
    /// Bytes that wait for one peer, for each of the two kinds.
    pub max_queue_bytes: usize,
    /// Calls of this process that wait for an answer.
    pub max_open_calls: usize,
    /// Accepted connections that have not said hello yet.
    pub max_handshakes: usize,
    /// Links that this process opens at the same time. All hosts of a fleet start together, and a keeper
    /// that takes all their links at once finishes none of them in time.
    pub max_dials: usize,
    /// Seed of the jitter between attempts.
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
            max_open_calls: 16_384,
            max_handshakes: 64,
            max_dials: 4,
            seed: 0,
        }
    }
}
