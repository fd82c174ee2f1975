//! Where the present time comes from; deciding functions take it as an argument.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pollendrift_coordination::base::{MonotonicTime, WallTime};

/// A source of the present time.
pub trait TimeSource: Send + Sync {
    /// Monotonic time of this process.
    fn now(&self) -> MonotonicTime;
    /// Wall-clock time, for records that people read.
    fn wall(&self) -> WallTime;
}

/// The machine's clocks.
#[derive(Clone, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl TimeSource for SystemClock {
    fn now(&self) -> MonotonicTime {
        MonotonicTime::START.after(self.start.elapsed())
    }

    fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
