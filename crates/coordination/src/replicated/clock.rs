//! Time that all keepers agree on, driven by what proposers measure of their own uptime.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::base::{HostName, Incarnation, MonotonicTime, WallTime};

/// Most proposers whose uptime is followed; the one that was silent longest goes first.
pub const MAX_FOLLOWED_PROPOSERS: usize = 64;

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

/// When and by whom a command was proposed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandStamp {
    /// Host that proposed it.
    pub proposer: HostName,
    /// Life of that host's process.
    pub incarnation: Incarnation,
    /// Monotonic time of that process.
    pub uptime: MonotonicTime,
    /// Wall-clock time there; goes into records and decides nothing.
    pub wall: WallTime,
}

/// The agreed clock.
///
/// Failure: with wall clocks, one host whose clock jumps a day ahead would expire every claim at
/// once, and a resend would run a booking again. Safeguard: only differences of one process's own
/// monotonic time move this clock, so it runs no faster than real time, apart from the delay with
/// which a proposer's first stamp arrived. When nothing is proposed it stands still, and claims
/// live longer than stated, which is the safe side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedClock {
    now: ReplicatedTime,
    proposers: BTreeMap<HostName, ProposerOffset>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ProposerOffset {
    incarnation: Incarnation,
    /// Uptime of the first stamp of this incarnation, and the agreed time at which it was applied.
    first_uptime: MonotonicTime,
    first_seen: ReplicatedTime,
    last_seen: ReplicatedTime,
}

impl ReplicatedClock {
    /// The agreed time.
    pub fn now(&self) -> ReplicatedTime {
        self.now
    }

    /// Moves the clock by a stamp and gives the agreed time.
    pub fn observe(&mut self, stamp: &CommandStamp) -> ReplicatedTime {
        let known = self
            .proposers
            .get(&stamp.proposer)
            .filter(|offset| offset.incarnation == stamp.incarnation)
            .cloned();
        let mut offset = known.unwrap_or(ProposerOffset {
            incarnation: stamp.incarnation,
            first_uptime: stamp.uptime,
            first_seen: self.now,
            last_seen: self.now,
        });
        let measured = offset
            .first_seen
            .after(stamp.uptime.since(offset.first_uptime));
        self.now = self.now.max(measured);
        offset.last_seen = self.now;
        self.proposers.insert(stamp.proposer.clone(), offset);
        self.evict();
        self.now
    }

    fn evict(&mut self) {
        if self.proposers.len() <= MAX_FOLLOWED_PROPOSERS {
            return;
        }
        let silent = self
            .proposers
            .iter()
            .min_by_key(|(host, offset)| (offset.last_seen, (*host).clone()))
            .map(|(host, _)| host.clone());
        if let Some(host) = silent {
            self.proposers.remove(&host);
        }
    }
}
