//! Replicated clock, which advances with the uptime that leaders measure.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::base::{HostName, Incarnation, MonotonicTime, WallTime};

/// Time since the replicated state began, in microseconds.
///
/// Invariant: never decreases.
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
    /// Creates the time `micros` microseconds after the state began.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the state began.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Adds `duration`, saturating at the maximum.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time since `earlier`; zero if `earlier` is later than this time.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Time at which a leader appended a command, and the leader's identity.
///
/// The leader stamps each command as it appends it, whichever host requested it, so that the order
/// of stamps in the log is the order in which they were made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandStamp {
    /// Host of the leader.
    pub host: HostName,
    /// Incarnation of that host's process; differs between any two processes.
    pub incarnation: Incarnation,
    /// Monotonic time of that process.
    pub uptime: MonotonicTime,
    /// Wall-clock time of that host; it is recorded and affects no decision.
    pub wall: WallTime,
}

/// The replicated clock.
///
/// A clock based on wall time would expire every claim at once if one host's clock jumped a day
/// ahead, and a resent call would run again. This clock therefore advances only by the increase of
/// one process's monotonic time between two successive stamps of that process, so between any two
/// entries it advances by no more than real time. It loses an interval at each change of leader and
/// stops while no command is appended; claims and leases then last longer, which does no harm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedClock {
    now: ReplicatedTime,
    last: Option<LastStamp>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastStamp {
    host: HostName,
    incarnation: Incarnation,
    /// Highest uptime among the successive stamps of this process.
    uptime: MonotonicTime,
}

impl ReplicatedClock {
    /// Returns the current replicated time.
    pub fn now(&self) -> ReplicatedTime {
        self.now
    }

    /// Advances the clock by a stamp and returns the new replicated time.
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
