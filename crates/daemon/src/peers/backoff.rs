//! Back-off between attempts to open a link.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::settings::LinkSettings;

/// Exponential back-off with jitter.
///
/// Without jitter, all hosts would connect in the same instants after a network switch recovers.
/// The seed per pair of hosts makes the waits reproducible.
pub(super) struct RetryBackoff {
    base_backoff: Duration,
    current_backoff: Duration,
    random: ChaCha8Rng,
}

impl RetryBackoff {
    pub(super) fn new(settings: &LinkSettings, salt: u64) -> Self {
        Self {
            base_backoff: settings.base_backoff,
            current_backoff: settings.base_backoff,
            random: ChaCha8Rng::seed_from_u64(settings.seed ^ salt),
        }
    }

    /// Returns the wait before the next attempt: between half of the current back-off and the whole
    /// of it. The back-off doubles with each call up to `max_backoff`.
    pub(super) fn next_wait(&mut self, max_backoff: Duration) -> Duration {
        let current_backoff = self.current_backoff;
        self.current_backoff = (current_backoff * 2).min(max_backoff);
        current_backoff.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Resets the current back-off to the base back-off, after a link was up.
    pub(super) fn reset(&mut self) {
        self.current_backoff = self.base_backoff;
    }
}

#[cfg(test)]
mod tests {
    use super::{LinkSettings, RetryBackoff};

    /// Guards against attempts that are too frequent or too rare: the waits double up to the
    /// maximum and start again at the base after a link was up.
    #[test]
    fn waits_double_up_to_the_maximum_and_restart_after_reset() {
        let settings = LinkSettings::default();
        let mut backoff = RetryBackoff::new(&settings, 7);
        let mut next = || backoff.next_wait(settings.max_backoff).as_millis();
        let mut waits: Vec<u128> = (0..8).map(|_| next()).collect();
        backoff.reset();
        waits.push(backoff.next_wait(settings.max_backoff).as_millis());
        insta::assert_compact_json_snapshot!(waits, @"[11, 23, 68, 138, 256, 434, 541, 924, 13]");
    }
}
