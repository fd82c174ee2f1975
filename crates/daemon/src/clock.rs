//! Source of the current time. Functions that decide by the time take it as an argument.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use pollendrift_coordination::base::{MonotonicTime, WallTime};

/// Source of the current time.
pub trait TimeSource: Send + Sync {
    /// Monotonic time of this process.
    fn now(&self) -> MonotonicTime;
    /// Wall-clock time, for records and logs.
    fn wall(&self) -> WallTime;
}

/// Clocks of the machine.
///
/// Monotonic time is the time since boot, which also advances while the machine is suspended. The
/// usual monotonic clock stops then: after a suspension of a minute, a host would consider its
/// leases still valid and accept keys that were revoked meanwhile.
#[derive(Clone, Debug)]
pub struct SystemClock {
    start: Duration,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

/// Converts to whole milliseconds, the unit of frames and log lines.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Time since boot, including the time that the machine was suspended.
pub(crate) fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        // Linux has this clock since 2.6.39, and the call has no other error.
        Err(error) => {
            log::error!(error:% = error; "CLOCK_BOOTTIME can't be read; using time 0");
            Duration::ZERO
        }
    }
}

impl TimeSource for SystemClock {
    fn now(&self) -> MonotonicTime {
        MonotonicTime::START.after(since_boot().saturating_sub(self.start))
    }

    fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        WallTime(millis(since_epoch))
    }
}
