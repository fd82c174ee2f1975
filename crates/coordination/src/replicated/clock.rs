//! Time that all keepers agree on, driven by what leaders measure of their own uptime.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::base::{HostName, Incarnation, MonotonicTime, WallTime};

/// Time since the replicated state began, in microseconds.
///
/// Invariant: never runs backwards.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}us")]
#[serde(transparent)]
pub struct ReplicatedTime(u64);

impl ReplicatedTime {
    /// The time `micros` microseconds after the state began.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the state began.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// This time plus `duration`, held at the maximum instead of wrapping.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Time passed since `earlier`; zero if `earlier` lies in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// When and by whom a command was appended to the log.
///
/// The leader stamps each command as it appends it, whoever asked for it: only then do stamps stand
/// in the log in the order in which they were made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandStamp {
    /// Host of the leader.
    pub host: HostName,
    /// Life of that host's process; differs between any two lives.
    pub incarnation: Incarnation,
    /// Monotonic time of that process.
    pub uptime: MonotonicTime,
    /// Wall-clock time there; goes into records and decides nothing.
    pub wall: WallTime,
}

/// The agreed clock.
///
/// Failure: with wall clocks, one host whose clock jumps a day ahead would expire every claim at
/// once, and a resend would run a booking again. Safeguard: only what one process's monotonic time
/// gains between two successive stamps of that process moves this clock, so between any two
/// entries it gains no more than real time did. It loses an interval at each change of leader and
/// stands still while nothing is appended; claims and leases then last longer, the safe side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedClock {
    now: ReplicatedTime,
    last: Option<LastStamp>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastStamp {
    host: HostName,
    incarnation: Incarnation,
    /// Highest uptime of this process's successive stamps.
    uptime: MonotonicTime,
}

impl ReplicatedClock {
    /// The agreed time.
    pub fn now(&self) -> ReplicatedTime {
        self.now
    }

    /// Moves the clock by a stamp and gives the agreed time.
    pub fn observe(&mut self, stamp: &CommandStamp) -> ReplicatedTime {
        let mut uptime = stamp.uptime;
        let same_process = self
            .last
            .as_ref()
            .filter(|last| last.host == stamp.host && last.incarnation == stamp.incarnation);
        if let Some(last) = same_process {
            self.now = self.now.after(uptime.since(last.uptime));
            uptime = uptime.max(last.uptime);
        }
        self.last = Some(LastStamp {
            host: stamp.host.clone(),
            incarnation: stamp.incarnation,
            uptime,
        });
        self.now
    }
}
