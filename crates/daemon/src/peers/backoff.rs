//! Waits between attempts to reach a peer.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::settings::LinkSettings;

/// Exponential back-off with jitter over the whole wait.
///
/// After a switch returns, all hosts would connect in the same instant again and again; the jitter
/// spreads them. A seed for each pair of hosts keeps the spread the same at every run.
pub(super) struct RetryBackoff {
    first: Duration,
    next: Duration,
    random: ChaCha8Rng,
}

impl RetryBackoff {
    pub(super) fn new(settings: &LinkSettings, salt: u64) -> Self {
        Self {
            first: settings.base_backoff,
            next: settings.base_backoff,
            random: ChaCha8Rng::seed_from_u64(settings.seed ^ salt),
        }
    }

    /// Wait before the next attempt: between half and the whole of a bound that doubles up to `most`.
    pub(super) fn next_wait(&mut self, most: Duration) -> Duration {
        let bound = self.next;
        self.next = (bound * 2).min(most);
        bound.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Starts over, after a link that worked.
    pub(super) fn reset(&mut self) {
        self.next = self.first;
    }
}

#[cfg(test)]
mod tests {
    use super::{LinkSettings, RetryBackoff};

    #[test]
    fn waits_double_up_to_the_bound_and_start_over() {
        let settings = LinkSettings::default();
        let mut backoff = RetryBackoff::new(&settings, 7);
        let mut next = || backoff.next_wait(settings.max_backoff).as_millis();
        let mut waits: Vec<u128> = (0..8).map(|_| next()).collect();
        backoff.reset();
        waits.push(backoff.next_wait(settings.max_backoff).as_millis());
        insta::assert_compact_json_snapshot!(waits, @"[11, 23, 68, 138, 256, 434, 541, 924, 13]");
    }
}
