//! Deadline of a call, propagated between processes as the remaining time.

use std::time::Duration;

use serde::Serialize;

use crate::base::MonotonicTime;

/// Time by which a call must end, on the clock of this process.
///
/// Processes pass on the remaining time, because their clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct CallDeadline(pub MonotonicTime);

impl CallDeadline {
    /// Returns the deadline of a call that arrived at `now` with `remaining` time.
    pub fn from_remaining(now: MonotonicTime, remaining: Duration) -> Self {
        Self(now.after(remaining))
    }

    /// Remaining time; zero after the deadline.
    pub fn remaining(self, now: MonotonicTime) -> Duration {
        self.0.since(now)
    }

    /// Remaining time for the next hop: the remaining time minus `margin`, which is reserved for
    /// the return of the answer. `None` if nothing remains.
    pub fn remaining_for_hop(self, now: MonotonicTime, margin: Duration) -> Option<Duration> {
        let remaining = self.remaining(now).saturating_sub(margin);
        (!remaining.is_zero()).then_some(remaining)
    }
}
