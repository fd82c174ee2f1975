//! Time from the loss of a leader to the next accepted command, in virtual time.

use std::time::Duration;

use pollendrift_coordination::agreement::AgreementSettings;

use super::cluster::{Cluster, MILLISECOND, Micros, SECOND};

/// Compared election timeouts; the heartbeat interval is a sixth of each.
pub(crate) const ELECTION_TIMEOUTS: [Micros; 4] = [
    150 * MILLISECOND,
    300 * MILLISECOND,
    600 * MILLISECOND,
    1_000 * MILLISECOND,
];

/// Cause of the end of a leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaderEnd {
    Crash,
    HandOver,
}

/// Median and longest recovery time over `seeds` runs under steady load.
pub(crate) fn measure_recovery(
    end: LeaderEnd,
    keepers: usize,
    election_timeout: Micros,
    seeds: u64,
) -> (Micros, Micros) {
    let settings = AgreementSettings {
        heartbeat_interval: Duration::from_micros(election_timeout / 6),
        election_timeout: Duration::from_micros(election_timeout),
        ..AgreementSettings::default()
    };
    let mut times: Vec<Micros> = (0..seeds)
        .map(|seed| recover_once(end, seed, keepers, settings.clone()))
        .collect();
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

/// Time until the next leader accepts its first command.
fn recover_once(end: LeaderEnd, seed: u64, keepers: usize, settings: AgreementSettings) -> Micros {
    let mut cluster = Cluster::new(seed, keepers, settings);
    cluster.client_interval = MILLISECOND;
    cluster.await_leader();
    cluster.run_for_random(SECOND);
    let leader = cluster.await_leader();
    let ended_at = cluster.now;
    match end {
        LeaderEnd::Crash => cluster.crash(leader, true),
        LeaderEnd::HandOver => cluster.hand_over(leader, (leader + 1) % keepers),
    }
    while cluster.leader().is_none_or(|next| next == leader) && cluster.now < ended_at + 60 * SECOND
    {
        cluster.run_for(MILLISECOND);
    }
    let elected_at = cluster.now;
    while cluster.last_accepted_at < elected_at && cluster.now < ended_at + 60 * SECOND {
        cluster.run_for(MILLISECOND);
    }
    cluster.now - ended_at
}
