//! Retry limits and back-off.

use std::time::Duration;

/// Retry limits of one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Rounds over all daemons before the command fails.
    pub rounds: u32,
    /// Back-off before the second round; it doubles with each further round.
    pub base_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            rounds: 4,
            base_backoff: Duration::from_millis(100),
        }
    }
}

impl RetrySettings {
    /// Back-off before `round`, counted from 0.
    pub(crate) fn backoff_before(&self, round: u32) -> Duration {
        match round.checked_sub(1) {
            None => Duration::ZERO,
            Some(doublings) => self.base_backoff * 2_u32.saturating_pow(doublings),
        }
    }
}
