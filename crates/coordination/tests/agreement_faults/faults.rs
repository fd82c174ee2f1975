//! Faults of hosts, disks and the network, and their repair.

use pollendrift_coordination::agreement::{AgreementNode, LogIndex};
use pollendrift_coordination::base::MonotonicTime;
use rand::RngExt;

use super::cluster::{Cluster, NetworkFaults, SECOND};
use super::disk::FakeDisk;
use super::host::{FakeHost, HostClock, read_snapshot};

impl Cluster {
    /// Kills the process; with `torn`, a random part of the current write reaches the disk.
    pub(crate) fn crash(&mut self, host: usize, torn: bool) {
        let steps = self.random.random_range(0..6);
        let host = &mut self.hosts[host];
        host.node = None;
        host.generation += 1;
        host.is_paused = false;
        host.backlog.clear();
        if let Some(request) = host.writing.take()
            && torn
        {
            host.disk.write(&request, steps);
        }
    }

    /// Starts the process from the content of its disk.
    pub(crate) fn start(&mut self, index: usize) {
        let seed = self.random.random();
        let id = self.id(index);
        let host = &mut self.hosts[index];
        let restored = host.disk.restore();
        host.state = 0;
        host.applied = LogIndex(0);
        if let Some(snapshot) = &restored.snapshot {
            (host.applied, host.state) = read_snapshot(snapshot);
        }
        host.clock = HostClock::starting(self.now);
        host.wake_at = None;
        host.generation += 1;
        let settings = self.settings.clone();
        let node = AgreementNode::new(settings, id, restored, MonotonicTime::START, seed);
        host.node = Some(node);
        self.tick(index, Vec::new());
    }

    /// Kills a host unless `max` hosts are down or paused already.
    pub(crate) fn crash_some(&mut self, host: usize, max: usize) {
        let is_down = |host: &&FakeHost| host.node.is_none() || host.is_paused;
        if self.hosts.iter().filter(is_down).count() < max {
            self.crash(host, true);
        }
    }

    /// Starts stopped hosts and resumes paused ones.
    pub(crate) fn start_all(&mut self) {
        for host in 0..self.hosts.len() {
            if self.hosts[host].is_paused {
                self.resume(host);
            }
            if self.hosts[host].node.is_none() {
                self.start(host);
            }
        }
    }

    /// Empties the disk of a stopped host and gives the host a new incarnation.
    pub(crate) fn empty_disk(&mut self, host: usize) {
        self.has_no_disk_fault = false;
        self.hosts[host].disk = FakeDisk::default();
        self.hosts[host].incarnation += 1;
        self.lost_identity.remove(&host);
    }

    pub(crate) fn copy_disk(&self, host: usize) -> FakeDisk {
        self.hosts[host].disk.clone()
    }

    /// Restores an old copy of the disk, with its old identity.
    pub(crate) fn restore_disk_copy(&mut self, host: usize, disk: FakeDisk) {
        self.has_no_disk_fault = false;
        self.hosts[host].disk = disk;
    }

    pub(crate) fn pause(&mut self, host: usize) {
        self.hosts[host].is_paused = true;
    }

    /// Sets the rate of a host's clock to `percent` of the real rate.
    pub(crate) fn set_clock_rate(&mut self, host: usize, percent: u64) {
        let now = self.now;
        self.hosts[host].clock.set_rate(now, percent);
    }

    pub(crate) fn resume(&mut self, host: usize) {
        self.hosts[host].is_paused = false;
        let backlog = std::mem::take(&mut self.hosts[host].backlog);
        self.tick(host, backlog);
    }

    /// Cuts all links between the hosts of `side` and all other hosts.
    pub(crate) fn partition(&mut self, side: &[usize]) {
        for left in 0..self.hosts.len() {
            for right in 0..self.hosts.len() {
                if side.contains(&left) != side.contains(&right) {
                    self.cut_links.insert((left, right));
                }
            }
        }
    }

    /// Drops every message from one host to another.
    pub(crate) fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from, to));
    }

    /// Adds and starts a host with an empty disk.
    pub(crate) fn add_host(&mut self) -> usize {
        let host = self.hosts.len();
        self.hosts.push(FakeHost::new(FakeDisk::default()));
        self.start(host);
        host
    }

    /// Records a violation unless a command is accepted within a second.
    pub(crate) fn expect_accepting(&mut self, finding: &str) {
        let accepted = self.tally.accepted;
        self.run_for(SECOND);
        self.expect(self.tally.accepted > accepted, finding);
    }

    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
        self.faults = NetworkFaults::NONE;
    }

    /// Repairs all faults, restarts stopped hosts, and checks that all reach the same state.
    pub(crate) fn converge(&mut self) {
        self.heal();
        self.start_all();
        let accepted = self.tally.accepted;
        self.run_for(3 * SECOND);
        if self.check.violations.is_empty() && self.tally.accepted == accepted {
            self.check.record_violation(
                "no command is accepted after the repair of all faults".to_owned(),
            );
        }
        self.check_same_state();
        self.check.finish();
    }

    /// Describes a leader's redundancy report in one line.
    pub(crate) fn describe_redundancy(&self, leader: usize) -> String {
        let report = self.node(leader).and_then(AgreementNode::redundancy);
        let Some(report) = report else {
            return "not the leader\n".to_owned();
        };
        let (held, voters, losses) = (
            report.current_voters,
            report.voters,
            report.losses_tolerated,
        );
        let gaps: Vec<String> = report.gaps.iter().map(|gap| format!("{gap}")).collect();
        let gaps = gaps.join(", ");
        format!("{held} of {voters} voters current, can lose {losses}; gaps: [{gaps}]\n")
    }

    fn check_same_state(&mut self) {
        let committed = self.check.committed_index();
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            let node = host.node.as_ref();
            let is_member = node.is_some_and(|node| node.membership().contains(node.id()));
            if !is_member || self.lost_identity.contains(&index) {
                continue;
            }
            let lag = committed.0 - host.applied.0;
            if lag > 50 {
                let text =
                    format!("host {index} is {lag} entries behind after the repair of all faults");
                self.check.record_violation(text);
            } else if host.state != self.check.state_at(host.applied) {
                self.check
                    .record_violation(format!("host {index} has a different state"));
            }
        }
    }
}
