//! Where the present time comes from; deciding functions take it as an argument.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use pollendrift_coordination::base::{MonotonicTime, WallTime};

/// A source of the present time.
pub trait TimeSource: Send + Sync {
    /// Monotonic time of this process.
    fn now(&self) -> MonotonicTime;
    /// Wall-clock time, for records that people read.
    fn wall(&self) -> WallTime;
}

/// The machine's clocks.
///
/// Monotonic time is the time since the machine booted, which goes on while it is suspended. The
/// usual steady clock stands still then: a host that was suspended for a minute would find all its
/// leases as fresh as before, and serve keys that were revoked meanwhile.
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

/// Whole milliseconds, as frames and log lines carry them.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Time since the machine booted, the time included for which it was suspended.
pub(crate) fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        // Every Linux since 2.6.39 has the clock, and the call has no other error.
        Err(error) => {
            log::error!(error:% = error; "no clock since boot; time stands still");
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
