//! Limits the share of a process's time that deferrable work may take.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Settings of a [`WorkBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkSettings {
    /// Share of the time that deferrable work may take, in percent.
    pub share_percent: u32,
    /// Time that it may take at once after a pause.
    pub burst: Duration,
}

impl Default for WorkSettings {
    fn default() -> Self {
        Self {
            share_percent: 50,
            burst: Duration::from_millis(60),
        }
    }
}

/// Time that deferrable work may take now.
///
/// Work is charged after it was done, so one long step makes the next ones wait.
#[derive(Clone, Debug)]
pub struct WorkBudget {
    settings: WorkSettings,
    /// Time by which the charged work is within its share.
    free_at: MonotonicTime,
}

impl WorkBudget {
    /// Creates an unused budget.
    pub fn new(settings: WorkSettings) -> Self {
        Self {
            settings,
            free_at: MonotonicTime::START,
        }
    }

    /// Charges work of `spent` that ended at `now`.
    pub fn charge(&mut self, now: MonotonicTime, spent: Duration) {
        let began = now.before(spent);
        self.free_at = self.free_at.max(began).after(self.time_for(spent));
    }

    /// Time until deferrable work may go on; zero if it may now.
    pub fn wait(&self, now: MonotonicTime) -> Duration {
        let burst = self.time_for(self.settings.burst);
        self.free_at.since(now).saturating_sub(burst)
    }

    /// Time of which `work` is the share.
    fn time_for(&self, work: Duration) -> Duration {
        work * 100 / self.settings.share_percent.clamp(1, 100)
    }
}
