//! One host of the simulated cluster.

use pollendrift_coordination::agreement::{
    AgreementInput, AgreementNode, KeeperId, LogIndex, PersistRequest, StoredSnapshot,
};
use pollendrift_coordination::base::{HostName, Incarnation};

use super::cluster::Micros;
use super::disk::FakeDisk;

/// A host's monotonic clock, which may run too slow or too fast.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostClock {
    local: Micros,
    since: Micros,
    percent: u64,
}

impl HostClock {
    pub(crate) fn starting(now: Micros) -> Self {
        Self {
            local: 0,
            since: now,
            percent: 100,
        }
    }

    pub(crate) fn read(&self, now: Micros) -> Micros {
        self.local + (now - self.since) * self.percent / 100
    }

    /// Earliest global time, rounded up, at which this clock shows `local`.
    pub(crate) fn when(&self, local: Micros) -> Micros {
        let remaining = local.saturating_sub(self.local);
        let real_remaining = (remaining / self.percent)
            .saturating_add(1)
            .saturating_mul(100);
        self.since.saturating_add(real_remaining)
    }

    pub(crate) fn set_rate(&mut self, now: Micros, percent: u64) {
        self.local = self.read(now);
        self.since = now;
        self.percent = percent;
    }
}

/// One host: its process, its disk, and the state of its state machine.
#[derive(Debug)]
pub(crate) struct FakeHost {
    pub(crate) incarnation: u64,
    pub(crate) disk: FakeDisk,
    pub(crate) node: Option<AgreementNode>,
    /// Increments with each crash and start, so that events of an earlier process are ignored.
    pub(crate) generation: u64,
    pub(crate) clock: HostClock,
    pub(crate) wake_at: Option<Micros>,
    pub(crate) writing: Option<PersistRequest>,
    pub(crate) is_paused: bool,
    pub(crate) backlog: Vec<AgreementInput>,
    pub(crate) applied: LogIndex,
    pub(crate) state: u64,
}

impl FakeHost {
    pub(crate) fn new(disk: FakeDisk) -> Self {
        Self {
            incarnation: 1,
            disk,
            node: None,
            generation: 0,
            clock: HostClock::starting(0),
            wake_at: None,
            writing: None,
            is_paused: false,
            backlog: Vec::new(),
            applied: LogIndex(0),
            state: 0,
        }
    }
}

pub(crate) fn read_snapshot(snapshot: &StoredSnapshot) -> (LogIndex, u64) {
    let number = |from: usize| {
        let bytes = snapshot.bytes[from..from + 8].try_into().unwrap();
        u64::from_be_bytes(bytes)
    };
    assert_eq!(snapshot.mark.index, LogIndex(number(0)));
    (snapshot.mark.index, number(8))
}

pub(crate) fn host_name(host: usize) -> HostName {
    HostName::from(format!("keeper-{host}"))
}

pub(crate) fn keeper_id(host: usize, incarnation: u64) -> KeeperId {
    KeeperId {
        host: host_name(host),
        incarnation: Incarnation(incarnation),
    }
}

pub(crate) fn host_index(keeper: &KeeperId) -> usize {
    let digits = keeper.host.as_str().trim_start_matches("keeper-");
    digits.parse().unwrap()
}
