//! Tests of the detection of services that a host can't reach.

use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, ServerName, ServiceName};
use pollendrift_coordination::reachability::{
    ReachabilityChange, ReachabilitySettings, ReachabilityTable,
};

/// A table with one service, whose connections open only to some servers.
struct Host {
    table: ReachabilityTable,
    service: ServiceName,
    servers: Vec<ServerName>,
    now: MonotonicTime,
    checks: usize,
}

impl Host {
    fn new(servers: usize, seed: u64) -> Self {
        let servers = (0..servers).map(|index| ServerName::from(format!("s-{index}")));
        Self {
            table: ReachabilityTable::new(ReachabilitySettings::default(), seed),
            service: ServiceName::from("writers"),
            servers: servers.collect(),
            now: MonotonicTime::START,
            checks: 0,
        }
    }

    fn suspect(&mut self, server: usize) {
        self.table.suspect(&self.service, &self.servers[server]);
    }

    /// Runs rounds of checks for `time`; `opens` tells whether a connection opens.
    fn run(&mut self, time: Duration, opens: impl Fn(&ServerName) -> bool) -> Vec<String> {
        let end = self.now.after(time);
        let mut changes = Vec::new();
        while self.now < end {
            let chosen = self
                .table
                .begin_round(self.now, &self.service, &self.servers);
            self.checks += chosen.len();
            for server in chosen {
                let has_opened = opens(&server);
                let change = self
                    .table
                    .record_check(self.now, &self.service, &server, has_opened);
                changes.extend(change.map(|change| match change {
                    ReachabilityChange::Lost { servers, .. } => format!("lost, {}", servers.len()),
                    ReachabilityChange::Restored { after, .. } => format!("restored, {after:?}"),
                }));
            }
            self.now = self.now.after(Duration::from_millis(50));
        }
        changes
    }
}

/// Guards against a host that takes the loss of one server for the loss of its own links.
#[test]
fn a_service_with_some_dead_servers_stays_reachable() {
    for (servers, dead) in [(2, 1), (3, 1), (3, 2), (39, 1), (39, 3)] {
        for seed in 0..20 {
            let mut host = Host::new(servers, seed);
            let dead_servers = host.servers[..dead].to_vec();
            let mut changes = Vec::new();
            for _ in 0..10 {
                host.suspect(0);
                changes.extend(host.run(Duration::from_secs(1), |server| {
                    !dead_servers.contains(server)
                }));
            }
            assert!(
                changes.is_empty(),
                "{servers} servers, {dead} dead: {changes:?}"
            );
        }
    }
}

/// Guards against requests that each find out anew that no server answers: the loss is known within
/// two rounds of checks, and the return of the links within one.
#[test]
fn the_loss_and_the_return_of_all_links_are_detected() {
    for servers in [1, 2, 3, 39, 216] {
        let mut host = Host::new(servers, 7);
        host.suspect(0);
        let lost = host.run(Duration::from_millis(500), |_| false);
        assert_eq!(lost, [format!("lost, {}", servers.min(4))]);
        assert!(host.table.is_unreachable(&host.service));
        assert!(host.run(Duration::from_secs(10), |_| false).is_empty());
        let restored = host.run(Duration::from_millis(300), |_| true);
        assert_eq!(restored.len(), 1, "{servers} servers: {restored:?}");
        assert!(!host.table.is_unreachable(&host.service));
    }
}

/// Guards against a storm of checks by hosts that are cut off, and by servers that fail all the time.
#[test]
fn checks_are_few_while_links_are_cut_and_none_without_a_failure() {
    let mut host = Host::new(39, 3);
    host.run(Duration::from_secs(10), |_| true);
    assert_eq!(host.checks, 0);
    host.suspect(0);
    host.run(Duration::from_secs(10), |_| false);
    assert!(host.checks <= 4 + 2 * 40, "{} checks in 10 s", host.checks);
    let mut host = Host::new(39, 3);
    for _ in 0..200 {
        host.suspect(0);
        host.run(Duration::from_millis(50), |_| true);
    }
    assert!(host.checks <= 2 * 20, "{} checks in 10 s", host.checks);
}

/// Guards against requests that fail at server after server while no check is due, because one opened
/// a connection just before the cut.
#[test]
fn the_failure_of_a_second_server_makes_a_check_due_at_once() {
    let mut host = Host::new(39, 5);
    host.suspect(0);
    host.run(Duration::from_millis(50), |_| true);
    host.suspect(0);
    assert!(!host.table.is_undecided(host.now, &host.service));
    host.suspect(1);
    assert!(host.table.is_undecided(host.now, &host.service));
    let lost = host.run(Duration::from_millis(200), |_| false);
    assert_eq!(lost, ["lost, 4"]);
    assert!(!host.table.is_undecided(host.now, &host.service));
}

/// Guards against requests that go to servers which can't be reached, because one of many accepts a
/// connection: a server that has just started outside of the cut.
#[test]
fn one_reachable_server_of_many_does_not_restore_the_service() {
    let mut changes = 0;
    for seed in 0..20 {
        let mut host = Host::new(39, seed);
        host.suspect(0);
        host.run(Duration::from_secs(1), |_| false);
        let sound = host.servers[5].clone();
        changes += host
            .run(Duration::from_secs(10), |server| *server == sound)
            .len();
    }
    // Without the second round, one in twenty rounds would: 40 in each run.
    assert!(changes <= 20, "{changes} changes in 20 runs");
}

/// Guards against a host that stays cut off although the only server that is left is reached.
#[test]
fn the_only_sound_server_of_a_few_restores_the_service() {
    let mut host = Host::new(3, 1);
    host.suspect(0);
    host.run(Duration::from_secs(1), |_| false);
    let sound = host.servers[2].clone();
    let restored = host.run(Duration::from_secs(3), |server| *server == sound);
    assert_eq!(restored.len(), 1, "{restored:?}");
}

/// Guards against a host that stays cut off from a service whose servers have all gone.
#[test]
fn a_service_without_servers_is_forgotten() {
    let mut host = Host::new(3, 3);
    host.suspect(0);
    host.run(Duration::from_secs(1), |_| false);
    host.servers.clear();
    host.run(Duration::from_secs(1), |_| false);
    assert!(!host.table.is_unreachable(&host.service));
}
