//! Hosts that divide the capacity of a service by demand, over keepers, in virtual time.

#![allow(clippy::expect_used, reason = "a failed helper must fail the test")]

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime, ServiceName};
use pollendrift_coordination::demand::{DemandBatch, DemandSettings, DemandTable, ReportSender};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_SECOND: u64 = 100;
/// Steps between two reports of a host or keeper.
const REPORT_STEPS: u64 = 40;
/// Steps between two ticks of a table, and between two samples of the shares.
const SAMPLE_STEPS: u64 = 10;
const SEEDS: u64 = 2;
const HOSTS: usize = 63;
const KEEPERS: usize = 9;
const DRAFT_TOKENS: u64 = 900;
/// Second in which the load changes or the fault begins.
const CHANGE: u64 = 12;

/// Seconds until the number of hosts is right after hosts were killed.
const COUNT_TIME: u64 = 3;

/// Demand from a second on: drafts per second of all hosts, and the weights of data centres.
type Load = (u64, f64, [f64; 3]);

const EVEN: [f64; 3] = [1.0, 1.0, 1.0];
const STEADY: &[Load] = &[(0, 290.0, EVEN)];
const UNEVEN: &[Load] = &[(0, 290.0, [4.0, 1.0, 1.0])];

/// Fault of the first `hosts` hosts, or of a keeper, in the seconds from [`CHANGE`] to `until`.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The hosts are gone. The number of hosts is right after [`COUNT_TIME`].
    Killed,
    /// The hosts neither get drafts nor send or receive reports.
    Frozen,
    /// The hosts get drafts, but neither send nor receive reports.
    CutOff,
    /// A keeper is gone; its followers follow others from `until` on.
    KeeperKilled,
    /// Keepers answer no questions, so each host follows another one every 0.7 s.
    NoLeader,
    /// The hosts restart at once.
    Restarted,
}

struct Case {
    name: &'static str,
    loads: &'static [Load],
    fault: Fault,
    hosts: usize,
    until: u64,
    /// Steps that a report is on its way, and the part of reports that are lost.
    transit: (u64, f64),
}

const CASE: Case = Case {
    name: "steady",
    loads: STEADY,
    fault: Fault::None,
    hosts: 0,
    until: 0,
    transit: (2, 0.0),
};

#[rustfmt::skip]
const CASES: [Case; 16] = [
    CASE,
    Case { name: "times 1.15", loads: &[(0, 290.0, EVEN), (12, 333.5, EVEN)], ..CASE },
    Case { name: "times 1.3", loads: &[(0, 290.0, EVEN), (12, 377.0, EVEN)], ..CASE },
    Case { name: "times 1.6, falls after 3 s", loads: &[(0, 290.0, EVEN), (12, 464.0, EVEN), (15, 290.0, EVEN)], ..CASE },
    Case { name: "burst in one data centre", loads: &[(0, 290.0, EVEN), (12, 870.0, [7.0, 1.0, 1.0])], ..CASE },
    Case { name: "demand moves", loads: &[(0, 290.0, [8.0, 1.0, 1.0]), (12, 290.0, [1.0, 1.0, 8.0])], ..CASE },
    Case { name: "demand ends in one", loads: &[(0, 290.0, EVEN), (12, 193.0, [1.0, 1.0, 0.0])], ..CASE },
    Case { name: "hosts killed", fault: Fault::Killed, hosts: 7, until: 24, ..CASE },
    Case { name: "hosts frozen", fault: Fault::Frozen, hosts: 7, until: 15, ..CASE },
    Case { name: "busy hosts cut off", loads: UNEVEN, fault: Fault::CutOff, hosts: 7, until: 20, ..CASE },
    Case { name: "keeper killed", loads: UNEVEN, fault: Fault::KeeperKilled, until: 15, ..CASE },
    Case { name: "keepers without a leader", loads: UNEVEN, fault: Fault::NoLeader, until: 18, ..CASE },
    Case { name: "hosts restarted", loads: UNEVEN, fault: Fault::Restarted, hosts: 7, ..CASE },
    Case { name: "all restarted", loads: UNEVEN, fault: Fault::Restarted, hosts: HOSTS, ..CASE },
    Case { name: "reports lag 1 s, demand moves", loads: &[(0, 290.0, [8.0, 1.0, 1.0]), (12, 290.0, [1.0, 1.0, 8.0])], transit: (100, 0.0), ..CASE },
    Case { name: "a third of reports lost", loads: UNEVEN, transit: (2, 0.33), ..CASE },
];

/// A report on its way; receivers below [`HOSTS`] are hosts, the others keepers.
struct Frame {
    due: u64,
    to: usize,
    from: usize,
    batch: DemandBatch,
}

struct Simulation {
    case: &'static Case,
    step: u64,
    /// Tables of the hosts, then those of the keepers.
    tables: Vec<DemandTable>,
    frames: VecDeque<Frame>,
    /// Keeper that each host reported to last.
    reported_to: Vec<usize>,
    random: ChaCha8Rng,
}

impl Simulation {
    fn new(case: &'static Case, seed: u64) -> Self {
        Self {
            case,
            step: 0,
            tables: (0..HOSTS + KEEPERS).map(|_| table()).collect(),
            frames: VecDeque::new(),
            reported_to: (0..HOSTS).map(|host| HOSTS + host % KEEPERS).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_millis(self.step * 10)
    }

    fn has(&self, fault: Fault) -> bool {
        let second = self.step / STEPS_PER_SECOND;
        self.case.fault == fault && (CHANGE..self.case.until).contains(&second)
    }

    fn is_down(&self, node: usize) -> bool {
        let is_down = self.has(Fault::Killed) || self.has(Fault::Frozen);
        let is_lost_keeper = node == HOSTS && self.has(Fault::KeeperKilled);
        (is_down && node < self.case.hosts) || is_lost_keeper
    }

    fn is_silent(&self, node: usize) -> bool {
        self.is_down(node) || (self.has(Fault::CutOff) && node < self.case.hosts)
    }

    /// Part of all demand that arrives at each host.
    fn demand(&self) -> (f64, Vec<f64>) {
        let second = self.step / STEPS_PER_SECOND;
        let mut loads = self.case.loads.iter().rev();
        let (_, drafts, weights) = loads.find(|load| load.0 <= second).expect("a load");
        let weight = |host: usize| weights[host * 3 / HOSTS] * f64::from(!self.is_down(host));
        let sum: f64 = (0..HOSTS).map(weight).sum();
        (*drafts, (0..HOSTS).map(|host| weight(host) / sum).collect())
    }

    fn run_step(&mut self) {
        let now = self.now();
        if self.step == CHANGE * STEPS_PER_SECOND && self.case.fault == Fault::Restarted {
            self.tables[..self.case.hosts].fill_with(table);
        }
        let is_counted = self.step >= (CHANGE + COUNT_TIME) * STEPS_PER_SECOND;
        if is_counted && self.has(Fault::Killed) {
            let hosts = u32::try_from(HOSTS - self.case.hosts).expect("a count");
            let tables = self.tables.iter_mut();
            tables.for_each(|table| table.set_hosts(hosts));
        }
        self.deliver();
        let (drafts, parts) = self.demand();
        for (host, part) in parts.into_iter().enumerate() {
            let expected = drafts * part * STEP.as_secs_f64();
            if self.random.random_bool(expected.min(1.0)) {
                self.tables[host].record(now, &service(), DRAFT_TOKENS);
            }
        }
        for node in 0..HOSTS + KEEPERS {
            if self.is_silent(node) {
                continue;
            }
            if (self.step + 7 * node as u64).is_multiple_of(REPORT_STEPS) {
                self.report(node);
            }
            if self.step.is_multiple_of(SAMPLE_STEPS) {
                self.tables[node].tick(now);
            }
        }
        self.step += 1;
    }

    fn deliver(&mut self) {
        let due = self.frames.partition_point(|frame| frame.due <= self.step);
        for frame in self.frames.drain(..due).collect::<Vec<_>>() {
            let sender = match frame.from {
                0..HOSTS => ReportSender::Entry,
                _ => ReportSender::Keeper,
            };
            if !self.is_silent(frame.to) {
                let (now, from) = (self.now(), HostName::from(format!("n-{}", frame.from)));
                let invalid = self.tables[frame.to].apply_batch(now, &from, sender, &frame.batch);
                assert_eq!(invalid, None);
            }
        }
    }

    /// Keeper that a host follows: with a lost one, the next after a while.
    fn followed(&self, host: usize) -> usize {
        let second = self.step / STEPS_PER_SECOND;
        let keeper = match self.case.fault {
            Fault::NoLeader if self.has(Fault::NoLeader) => host + self.step as usize / 70,
            Fault::KeeperKilled if second >= self.case.until => (host % KEEPERS).max(1),
            _ => host,
        };
        HOSTS + keeper % KEEPERS
    }

    fn report(&mut self, node: usize) {
        let now = self.now();
        if node < HOSTS {
            let keeper = self.followed(node);
            let former = std::mem::replace(&mut self.reported_to[node], keeper);
            if former != keeper {
                let withdrawal = self.tables[node].withdrawal();
                self.send(node, former, &withdrawal);
            }
            let batch = self.tables[node].report_own(now);
            return self.send(node, keeper, &batch);
        }
        let followers = self.tables[node].report_followers(now);
        for other in (HOSTS..HOSTS + KEEPERS).filter(|other| *other != node) {
            self.send(node, other, &followers);
        }
        let all = self.tables[node].report_all(now);
        for host in 0..HOSTS {
            if self.followed(host) == node {
                self.send(node, host, &all);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, batch: &DemandBatch) {
        let (transit, lost) = self.case.transit;
        if !batch.is_empty() && !self.random.random_bool(lost) {
            let (due, batch) = (self.step + transit, batch.clone());
            let frame = Frame {
                due,
                to,
                from,
                batch,
            };
            self.frames.push_back(frame);
        }
    }

    /// Sum of all shares, and the part of the capacity that hosts use when it is just the demand.
    fn sum_and_use(&self) -> (f64, f64) {
        let (_, parts) = self.demand();
        let hosts = (0..HOSTS).filter(|host| !self.is_down(*host));
        hosts.fold((0.0, 0.0), |(sum, used), host| {
            let share = self.tables[host].share(self.now(), &service());
            (sum + share, used + share.min(parts[host]))
        })
    }
}

fn service() -> ServiceName {
    ServiceName::from("writers")
}

fn table() -> DemandTable {
    let mut table = DemandTable::new(DemandSettings::default());
    table.set_hosts(u32::try_from(HOSTS).expect("a count"));
    table
}

/// Guards against hosts that together use a capacity more than once, or leave much of it unused,
/// while load rises, falls or moves and hosts, keepers or reports fail.
#[test]
fn shares_follow_demand_and_add_up_to_one() {
    let mut text =
        "mean over two seconds: sum of shares / part of the capacity in use\n".to_owned();
    let samples = (SEEDS * 2 * STEPS_PER_SECOND / SAMPLE_STEPS) as f64;
    for case in &CASES {
        let mut windows = [(0.0, 0.0); 9];
        let mut most: f64 = 0.0;
        for seed in 1..=SEEDS {
            let mut simulation = Simulation::new(case, seed);
            for step in 0..24 * STEPS_PER_SECOND {
                simulation.run_step();
                if step >= 6 * STEPS_PER_SECOND && step.is_multiple_of(SAMPLE_STEPS) {
                    let (sum, used) = simulation.sum_and_use();
                    let window = &mut windows[(step / STEPS_PER_SECOND - 6) as usize / 2];
                    *window = (window.0 + sum / samples, window.1 + used / samples);
                    most = most.max(sum);
                }
            }
        }
        let _ = write!(text, "{:30} highest {most:.2}", case.name);
        for (index, (sum, used)) in windows.iter().enumerate() {
            let _ = write!(text, " | {:2} s {sum:.2}/{used:.2}", 6 + 2 * index);
        }
        text.push('\n');
        let (sum, used) = windows[8];
        assert!(sum <= 1.03 && used >= 0.88, "{}: {windows:?}", case.name);
        let is_overused = windows.iter().any(|(sum, _)| *sum > 1.2);
        assert!(!is_overused, "{}: {windows:?}", case.name);
    }
    insta::assert_snapshot!(text);
}
