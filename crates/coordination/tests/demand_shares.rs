//! Hosts that divide the capacity of a service by demand, over keepers, in virtual time.

#![allow(clippy::expect_used, reason = "a failed helper must fail the test")]

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime, ServiceName};
use pollendrift_coordination::demand::{
    DemandBatch, DemandReport, DemandSettings, DemandTable, ReportScope, ReportSender,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_SECOND: u64 = 100;
/// Steps between two reports of a host or keeper.
const REPORT_STEPS: u64 = 40;
/// Steps between two ticks of a table, and between two samples of the shares.
const SAMPLE_STEPS: u64 = 10;
const HOSTS: usize = 63;
const KEEPERS: usize = 9;
const DRAFT_TOKENS: u64 = 900;
/// Second in which the load changes or the fault begins.
const CHANGE: u64 = 12;

/// Demand from a second on: drafts per second of all hosts, and the weights of data centres.
type Load = (u64, f64, [f64; 3]);

const EVEN: [f64; 3] = [1.0, 1.0, 1.0];
const STEADY: &[Load] = &[(0, 290.0, EVEN)];
const UNEVEN: &[Load] = &[(0, 290.0, [4.0, 1.0, 1.0])];

/// Fault of the first `hosts` hosts, or of a keeper, in the seconds from [`CHANGE`] to `until`.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The hosts are gone. The number of hosts is right from `until` on.
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
    Case { name: "hosts killed", fault: Fault::Killed, hosts: 7, until: 15, ..CASE },
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
        let ends = matches!(
            fault,
            Fault::Frozen | Fault::CutOff | Fault::KeeperKilled | Fault::NoLeader
        );
        self.case.fault == fault && second >= CHANGE && (!ends || second < self.case.until)
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
        if self.step == self.case.until * STEPS_PER_SECOND && self.case.fault == Fault::Killed {
            let hosts = u32::try_from(HOSTS - self.case.hosts).expect("a count");
            self.tables
                .iter_mut()
                .for_each(|table| table.set_hosts(hosts));
        }
        self.deliver();
        let (drafts, parts) = self.demand();
        for (host, part) in parts.into_iter().enumerate() {
            let expected = drafts * part * STEP.as_secs_f64();
            if self.random.random_bool(expected.min(1.0)) {
                self.tables[host].record(now, &service(), DRAFT_TOKENS);
            }
        }
        for node in (0..HOSTS + KEEPERS)
            .filter(|node| !self.is_silent(*node))
            .collect::<Vec<_>>()
        {
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
        while self
            .frames
            .front()
            .is_some_and(|frame| frame.due <= self.step)
        {
            let frame = self.frames.pop_front().expect("a frame");
            let sender = if frame.from < HOSTS {
                ReportSender::Entry
            } else {
                ReportSender::Keeper
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
        let was_killed = self.case.fault == Fault::KeeperKilled;
        let has_moved = was_killed && self.step / STEPS_PER_SECOND >= self.case.until;
        let is_led = !self.has(Fault::NoLeader);
        let moves = if is_led { 0 } else { self.step as usize / 70 };
        let keeper = (host + moves) % KEEPERS;
        HOSTS + if has_moved && keeper == 0 { 1 } else { keeper }
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
        for host in (0..HOSTS)
            .filter(|host| self.followed(*host) == node)
            .collect::<Vec<_>>()
        {
            self.send(node, host, &all);
        }
    }

    fn send(&mut self, from: usize, to: usize, batch: &DemandBatch) {
        let (transit, lost) = self.case.transit;
        if !batch.is_empty() && !self.random.random_bool(lost) {
            let (due, batch) = (self.step + transit, batch.clone());
            self.frames.push_back(Frame {
                due,
                to,
                from,
                batch,
            });
        }
    }

    /// Sum of all shares, and the part of the capacity that hosts use when it is just the demand.
    fn sum_and_use(&self) -> (f64, f64) {
        let (_, parts) = self.demand();
        let hosts = (0..HOSTS).filter(|host| !self.is_down(*host));
        let shares =
            hosts.map(|host| (self.tables[host].share(self.now(), &service()), parts[host]));
        shares.fold((0.0, 0.0), |(sum, used), (share, part)| {
            (sum + share, used + share.min(part))
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
        String::from("mean over two seconds from: sum of shares / part of the capacity in use\n");
    for case in &CASES {
        let mut windows = [(0.0, 0.0); 9];
        let mut most: f64 = 0.0;
        for seed in 1..=3 {
            let mut simulation = Simulation::new(case, seed);
            for step in 0..24 * STEPS_PER_SECOND {
                simulation.run_step();
                if step >= 6 * STEPS_PER_SECOND && step.is_multiple_of(SAMPLE_STEPS) {
                    let (sum, used) = simulation.sum_and_use();
                    let window = &mut windows[(step / STEPS_PER_SECOND - 6) as usize / 2];
                    *window = (window.0 + sum / 60.0, window.1 + used / 60.0);
                    most = most.max(sum);
                }
            }
        }
        let _ = write!(text, "{:30} highest {most:.2}", case.name);
        for (index, (sum, used)) in windows.iter().enumerate() {
            let _ = write!(text, " | {:2} s {sum:.2}/{used:.2}", 6 + 2 * index);
        }
        text.push('\n');
        let ((sum, used), name) = (windows[8], case.name);
        assert!(
            sum <= 1.03 && used >= 0.88,
            "{name}: sum {sum}, used {used} in the end"
        );
        let is_overused = windows.iter().any(|(sum, _)| *sum > 1.2);
        assert!(!is_overused, "{name}: {windows:?}");
    }
    insta::assert_snapshot!(text);
}

fn report(service: &str, tokens_per_second: f64, hosts: u32) -> DemandReport {
    DemandReport {
        service: service.into(),
        tokens_per_second,
        hosts,
    }
}

/// Applies a report of a keeper about all hosts; returns the warning.
fn apply_total(
    table: &mut DemandTable,
    now: MonotonicTime,
    report: DemandReport,
) -> Option<String> {
    let batch = DemandBatch {
        scope: ReportScope::Total,
        reports: vec![report],
    };
    let invalid = table.apply_batch(now, &"keeper".into(), ReportSender::Keeper, &batch);
    invalid.map(|invalid| invalid.to_string())
}

/// Guards against a host that keeps a share of a sum which no longer arrives, as when it is cut off
/// or its keeper died: after 1.5 s its part is the equal one.
#[test]
fn without_a_sum_a_host_uses_an_equal_share() {
    let mut table = table();
    let start = MonotonicTime::from_millis(20_000);
    table.record(start, &service(), 2 * DRAFT_TOKENS);
    let own = table.report_own(start).reports;
    assert_eq!(own, [report("writers", 900.0, 1)]);
    assert_eq!(
        apply_total(&mut table, start, report("writers", 9_000.0, 63)),
        None
    );
    let shares = [0, 1_499, 1_500, 9_999, 10_000].map(|millis| {
        let now = start.after(Duration::from_millis(millis));
        table.tick(now);
        format!("{millis} ms: {:.4}", table.share(now, &service()))
    });
    insta::assert_snapshot!(shares.join("\n"), @r"
    0 ms: 0.0916
    1499 ms: 0.0916
    1500 ms: 0.0159
    9999 ms: 0.0159
    10000 ms: 0.0159
    ");
}

/// Guards against invalid reports of a faulty peer, which would take the share of every host, and
/// against a log line for each of them.
#[test]
fn invalid_reports_are_ignored_with_one_warning_a_minute() {
    let now = MonotonicTime::from_millis(20_000);
    let long_name = "n".repeat(257);
    let cases = [
        report("writers", f64::NAN, 1),
        report("writers", f64::INFINITY, 1),
        report("writers", -1.0, 1),
        report("writers", 1.1e9, 1),
        report("writers", 1.0, 0),
        report("writers", 1.0, 1_000_001),
        report(&long_name, 1.0, 1),
    ];
    let mut warnings = String::new();
    for case in cases {
        let mut table = table();
        let first = apply_total(&mut table, now, case.clone());
        let _ = writeln!(warnings, "{}", first.expect("a warning"));
        let soon = now.after(Duration::from_secs(59));
        let late = now.after(Duration::from_secs(60));
        assert_eq!(apply_total(&mut table, soon, case.clone()), None);
        assert!(apply_total(&mut table, late, case).is_some());
        assert_eq!(table.dump(now), []);
    }
    insta::assert_snapshot!(warnings, @r"
    1 invalid, the first with NaN tokens per second, not 0 to 1000000000
    1 invalid, the first with inf tokens per second, not 0 to 1000000000
    1 invalid, the first with -1 tokens per second, not 0 to 1000000000
    1 invalid, the first with 1100000000 tokens per second, not 0 to 1000000000
    1 invalid, the first with 1 tokens per second of no host
    1 invalid, the first with 1000001 hosts, not 0 to 1000000
    1 invalid, the first with service name of 257 bytes, not at most 256
    ");
}

/// Guards against services that hosts report to each other for ever after the last draft, and
/// against a table that grows without bound.
#[test]
fn unused_and_too_many_services_are_dropped() {
    let mut host = table();
    let mut keeper = table();
    let start = MonotonicTime::from_millis(20_000);
    host.record(start, &service(), 1_000_000_000);
    let mut reported = Vec::new();
    for tenths in 0..200 {
        let now = start.after(Duration::from_millis(100 * tenths));
        for table in [&mut host, &mut keeper] {
            table.tick(now);
        }
        if tenths % 4 == 0 {
            let own = host.report_own(now);
            reported.extend((!own.is_empty()).then_some(tenths));
            let _ = keeper.apply_batch(now, &"host".into(), ReportSender::Entry, &own);
            let all = keeper.report_all(now);
            let _ = host.apply_batch(now, &"keeper".into(), ReportSender::Keeper, &all);
        }
    }
    // Ten seconds, and the time until the last report with demand has expired.
    assert_eq!(reported.last(), Some(&108), "tenths of a second");
    assert_eq!((host.dump(start), keeper.dump(start)), (vec![], vec![]));
    for index in 0..300 {
        apply_total(&mut host, start, report(&format!("other-{index}"), 5.0, 2));
    }
    assert_eq!(host.dump(start).len(), 256);
    // A draft that arrives here counts more than reports of demand elsewhere.
    host.record(start, &service(), DRAFT_TOKENS);
    assert_eq!(host.dump(start).len(), 256);
    assert!(
        host.dump(start)
            .iter()
            .any(|dump| dump.service == service())
    );
}
