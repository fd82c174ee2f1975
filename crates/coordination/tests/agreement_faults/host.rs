//! One host of the fake cluster.

use pollendrift_coordination::agreement::{
    AgreementInput, AgreementNode, KeeperId, LogIndex, PersistOrder, StoredSnapshot,
};
use pollendrift_coordination::base::{HostName, Incarnation};

use super::cluster::Micros;
use super::disk::FakeDisk;

/// One host: its process, its disk, and what its state machine applied.
#[derive(Debug)]
pub(crate) struct FakeHost {
    pub(crate) incarnation: u64,
    pub(crate) disk: FakeDisk,
    pub(crate) node: Option<AgreementNode>,
    /// Rises with each crash, so that what an earlier process left behind is recognised.
    pub(crate) life: u64,
    pub(crate) started_at: Micros,
    pub(crate) wake_at: Option<Micros>,
    pub(crate) writing: Option<PersistOrder>,
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
            life: 0,
            started_at: 0,
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
