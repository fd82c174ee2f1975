//! Deadline that travels with a call, as the time that is left.

use std::time::Duration;

use serde::Serialize;

use crate::base::MonotonicTime;

/// Time by which a call must have ended, on this process's clock.
///
/// Between processes it travels as the time left, since no two clocks agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct CallDeadline(pub MonotonicTime);

impl CallDeadline {
    /// The deadline of a call that arrived at `now` with so much time left.
    pub fn from_remaining(now: MonotonicTime, remaining: Duration) -> Self {
        Self(now.after(remaining))
    }

    /// The time left, zero once it has passed.
    pub fn remaining(self, now: MonotonicTime) -> Duration {
        self.0.since(now)
    }

    /// The time left for the next hop: less `margin`, in which its answer must come back.
    pub fn remaining_for_hop(self, now: MonotonicTime, margin: Duration) -> Option<Duration> {
        let left = self.remaining(now).saturating_sub(margin);
        (!left.is_zero()).then_some(left)
    }
}
