//! How often daemons are asked again.

use std::time::Duration;

/// Bounds of the retries of one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Rounds over all daemons before a request is given up.
    pub rounds: u32,
    /// Pause before the second round; it doubles with each further one.
    pub first_pause: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            rounds: 4,
            first_pause: Duration::from_millis(100),
        }
    }
}

impl RetrySettings {
    /// Pause before a round, counted from 0.
    pub(crate) fn pause_before(&self, round: u32) -> Duration {
        match round.checked_sub(1) {
            None => Duration::ZERO,
            Some(doublings) => self.first_pause * 2_u32.saturating_pow(doublings),
        }
    }
}
