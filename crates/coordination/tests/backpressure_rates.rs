//! Hosts that divide the request rate of a server among themselves, over keepers, in virtual time.

#![allow(clippy::expect_used, reason = "a failed helper must fail the test")]

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::Duration;

use pollendrift_coordination::backpressure::{
    RateBatch, RateReport, RateScope, RateSettings, RateTable, ReportSender, RequestRate,
    StatedRate, StatementReport,
};
use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);
/// Steps between two reports of a host or keeper.
const REPORT_STEPS: u64 = 40;
/// Steps for which a request waits for a part of its host's share.
const PATIENCE_STEPS: u64 = 120;
/// Time of a report on its way.
const TRANSIT_STEPS: u64 = 20;
/// Time between a request and the answer that states the limit.
const ANSWER_STEPS: u64 = 5;
const KEEPERS: usize = 3;
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first statement from which the limit binds.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after an answer that stated the limit from which its receiver is bound by it.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Fault of a case.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A third of the hosts neither sends nor receives reports.
    CutOff,
    /// A third of the hosts restart one after the other and forget everything.
    Restarts,
    /// One keeper passes nothing on.
    KeeperLost,
}

/// Hosts, their demand and the limit of the server.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    hosts: usize,
    /// Requests per second that all callers together send.
    demand: f64,
    /// Fraction of the hosts that get all the demand.
    busy_hosts: f64,
    /// Limits by the second from which they hold; `None` is no limit.
    limits: &'static [(u64, Option<f64>)],
    fault: Fault,
    /// Whether at least half of the limit must be used.
    is_used: bool,
}

const TWELVE_SECONDS: &[(u64, Option<f64>)] = &[(0, None), (4, Some(6.2)), (24, None)];

const CASES: [Case; 13] = [
    Case {
        name: "even demand",
        hosts: 9,
        demand: 25.0,
        busy_hosts: 1.0,
        limits: TWELVE_SECONDS,
        fault: Fault::None,
        is_used: true,
    },
    Case {
        name: "two of nine hosts have the demand",
        hosts: 9,
        demand: 25.0,
        busy_hosts: 0.2,
        limits: TWELVE_SECONDS,
        fault: Fault::None,
        is_used: true,
    },
    Case {
        name: "demand below the limit",
        hosts: 9,
        demand: 5.0,
        busy_hosts: 1.0,
        limits: TWELVE_SECONDS,
        fault: Fault::None,
        is_used: false,
    },
    Case {
        name: "many hosts",
        hosts: 54,
        demand: 60.0,
        busy_hosts: 1.0,
        limits: &[(0, None), (4, Some(3.2)), (24, None)],
        fault: Fault::None,
        is_used: true,
    },
    Case {
        name: "hundreds of hosts",
        hosts: 400,
        demand: 400.0,
        busy_hosts: 1.0,
        limits: &[(0, None), (4, Some(20.0)), (24, None)],
        fault: Fault::None,
        is_used: true,
    },
    Case {
        name: "few of hundreds of hosts have the demand",
        hosts: 400,
        demand: 40.0,
        busy_hosts: 0.02,
        limits: &[(0, None), (4, Some(3.2)), (24, None)],
        fault: Fault::None,
        is_used: true,
    },
    Case {
        name: "hosts cut off",
        hosts: 9,
        demand: 25.0,
        busy_hosts: 1.0,
        limits: TWELVE_SECONDS,
        fault: Fault::CutOff,
        is_used: true,
    },
    Case {
        name: "hosts restart",
        hosts: 9,
        demand: 25.0,
        busy_hosts: 1.0,
        limits: TWELVE_SECONDS,
        fault: Fault::Restarts,
        is_used: false,
    },
    Case {
        name: "keeper lost",
        hosts: 9,
        demand: 25.0,
        busy_hosts: 1.0,
        limits: TWELVE_SECONDS,
        fault: Fault::KeeperLost,
        is_used: false,
    },
    Case {
        name: "limit falls",
        hosts: 9,
        demand: 25.0,
        busy_hosts: 1.0,
        limits: &[(0, None), (4, Some(12.0)), (14, Some(3.0)), (24, None)],
        fault: Fault::None,
        is_used: false,
    },
    Case {
        name: "limit rises",
        hosts: 9,
        demand: 25.0,
        busy_hosts: 1.0,
        limits: &[(0, None), (4, Some(3.0)), (14, Some(12.0)), (24, None)],
        fault: Fault::None,
        is_used: false,
    },
    Case {
        name: "no requests accepted",
        hosts: 9,
        demand: 25.0,
        busy_hosts: 1.0,
        limits: &[(0, None), (4, Some(0.0)), (24, None)],
        fault: Fault::None,
        is_used: false,
    },
    Case {
        name: "less than one request a second",
        hosts: 9,
        demand: 25.0,
        busy_hosts: 1.0,
        limits: &[(0, None), (4, Some(0.4)), (24, None)],
        fault: Fault::None,
        is_used: false,
    },
];

/// A frame on its way to a host or keeper.
struct Frame {
    due: u64,
    to: Node,
    from: HostName,
    sender: ReportSender,
    batch: RateBatch,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Node {
    Host(usize),
    Keeper(usize),
}

struct Answer {
    due: u64,
    host: usize,
    stated: StatedRate,
}

/// A request that waits at its host.
struct Waiting {
    host: usize,
    until: u64,
}

/// A request that reached the server.
struct Arrival {
    at: MonotonicTime,
    host: usize,
}

struct Simulation {
    case: Case,
    step: u64,
    hosts: Vec<RateTable>,
    keepers: Vec<RateTable>,
    frames: VecDeque<Frame>,
    answers: VecDeque<Answer>,
    waiting: VecDeque<Waiting>,
    /// When each host first got an answer with a limit since its start.
    told_at: Vec<Option<MonotonicTime>>,
    arrivals: Vec<Arrival>,
    random: ChaCha8Rng,
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Self {
        let table = |index: usize| {
            let mut table = RateTable::new(RateSettings::default(), seed * 1_000 + index as u64);
            table.set_hosts(u32::try_from(case.hosts).expect("a count"));
            table
        };
        Self {
            case,
            step: 0,
            hosts: (0..case.hosts).map(table).collect(),
            keepers: (0..KEEPERS).map(|index| table(10_000 + index)).collect(),
            frames: VecDeque::new(),
            answers: VecDeque::new(),
            waiting: VecDeque::new(),
            told_at: vec![None; case.hosts],
            arrivals: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::START.after(STEP * u32::try_from(self.step).expect("a step"))
    }

    fn limit(&self) -> Option<f64> {
        let second = self.now().since(MonotonicTime::START).as_secs();
        let current = self
            .case
            .limits
            .iter()
            .rev()
            .find(|(from, _)| *from <= second);
        current.and_then(|(_, limit)| *limit)
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 100 {
            self.restart_hosts();
            self.deliver();
            self.send_requests();
            self.send_reports();
            self.step += 1;
        }
    }

    fn restart_hosts(&mut self) {
        if self.case.fault != Fault::Restarts || !self.step.is_multiple_of(100) {
            return;
        }
        let host = (self.step / 100) as usize % self.case.hosts;
        if host.is_multiple_of(3) {
            let seed = self.random.random();
            self.hosts[host] = RateTable::new(RateSettings::default(), seed);
            self.hosts[host].set_hosts(u32::try_from(self.case.hosts).expect("a count"));
            self.told_at[host] = None;
            self.answers.retain(|answer| answer.host != host);
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        while self
            .frames
            .front()
            .is_some_and(|frame| frame.due <= self.step)
        {
            let frame = self.frames.pop_front().expect("a frame");
            let table = match frame.to {
                Node::Host(host) => &mut self.hosts[host],
                Node::Keeper(keeper) => &mut self.keepers[keeper],
            };
            table.apply_batch(now, &frame.from, frame.sender, &frame.batch);
        }
        while self
            .answers
            .front()
            .is_some_and(|answer| answer.due <= self.step)
        {
            let answer = self.answers.pop_front().expect("an answer");
            if matches!(answer.stated, StatedRate::Limited(_)) {
                self.told_at[answer.host].get_or_insert(now);
            }
            self.hosts[answer.host].apply_statement(now, &server(), answer.stated);
        }
    }

    fn send_requests(&mut self) {
        let now = self.now();
        for _ in 0..self.waiting.len() {
            let waiting = self.waiting.pop_front().expect("a request");
            if !self.send_request(waiting.host) && waiting.until > self.step {
                self.waiting.push_back(waiting);
            }
        }
        let busy = ((self.case.hosts as f64 * self.case.busy_hosts) as usize).max(1);
        let probability = self.case.demand / busy as f64 * STEP.as_secs_f64();
        for host in 0..busy {
            if !self.random.random_bool(probability.min(1.0)) {
                continue;
            }
            self.hosts[host].record_demand(now, &server());
            if !self.send_request(host) {
                let until = self.step + PATIENCE_STEPS;
                self.waiting.push_back(Waiting { host, until });
            }
        }
    }

    /// Sends a request if the share of `host` allows one.
    fn send_request(&mut self, host: usize) -> bool {
        let now = self.now();
        if !self.hosts[host].take(now, &server()) {
            return false;
        }
        let stated = self.limit().map_or(StatedRate::Unlimited, limited);
        let due = self.step + ANSWER_STEPS;
        self.arrivals.push(Arrival { at: now, host });
        self.answers.push_back(Answer { due, host, stated });
        true
    }

    fn send_reports(&mut self) {
        let now = self.now();
        for host in 0..self.case.hosts {
            let is_cut = self.case.fault == Fault::CutOff && host % 3 == 0;
            if (self.step + host as u64).is_multiple_of(REPORT_STEPS) && !is_cut {
                let batch = self.hosts[host].report_own(now);
                let from = HostName::from(format!("host-{host}").as_str());
                self.send(
                    Node::Keeper(host % KEEPERS),
                    from,
                    ReportSender::Entry,
                    batch,
                );
            }
        }
        for keeper in 0..KEEPERS {
            let is_lost = self.case.fault == Fault::KeeperLost && keeper == 0;
            if !(self.step + keeper as u64 * 7).is_multiple_of(REPORT_STEPS) || is_lost {
                continue;
            }
            let from = HostName::from(format!("keeper-{keeper}").as_str());
            let followers = self.keepers[keeper].report_followers(now);
            for other in (0..KEEPERS).filter(|other| *other != keeper) {
                let to = Node::Keeper(other);
                self.send(to, from.clone(), ReportSender::Keeper, followers.clone());
            }
            let all = self.keepers[keeper].report_all(now);
            for host in (keeper..self.case.hosts).step_by(KEEPERS) {
                let is_cut = self.case.fault == Fault::CutOff && host % 3 == 0;
                if !is_cut {
                    let to = Node::Host(host);
                    self.send(to, from.clone(), ReportSender::Keeper, all.clone());
                }
            }
        }
    }

    fn send(&mut self, to: Node, from: HostName, sender: ReportSender, batch: RateBatch) {
        self.frames.push_back(Frame {
            due: self.step + TRANSIT_STEPS,
            to,
            from,
            sender,
            batch,
        });
    }

    /// Requests within [`WINDOW`] from `start`, of hosts that had been told of the limit.
    fn count_from(&self, start: MonotonicTime) -> usize {
        let end = start.after(WINDOW);
        let within = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.at >= start && arrival.at < end);
        let is_told = |arrival: &&Arrival| {
            let told_at = self.told_at[arrival.host];
            told_at.is_some_and(|told_at| told_at.after(NOTICE_TIME) <= arrival.at)
        };
        within.filter(is_told).count()
    }
}

fn server() -> ServerName {
    ServerName::from("s-1")
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).expect("a rate")
}

fn limited(per_second: f64) -> StatedRate {
    StatedRate::Limited(rate(per_second))
}

/// Most requests that a window from `start` may contain: half more than the server accepts in it,
/// and five.
fn allowed(case: &Case, start: u64) -> f64 {
    let hundredths = start * 10..start * 10 + 400;
    let accepted: f64 = hundredths
        .map(|hundredth| {
            let second = hundredth / 100;
            let current = case.limits.iter().rev().find(|(from, _)| *from <= second);
            current
                .and_then(|(_, limit)| *limit)
                .unwrap_or(f64::INFINITY)
                / 100.0
        })
        .sum();
    1.5 * accepted + 5.0
}

/// Guards against hosts that together send a server more than it accepts, or far less, whatever
/// their number and demand, while hosts restart, are cut off or lose their keeper.
#[test]
fn hosts_together_keep_to_the_rate_of_a_server() {
    for case in CASES {
        let mut most_used: f64 = 0.0;
        for seed in 1..=3 {
            let mut simulation = Simulation::new(case, seed);
            simulation.run(24);
            // Starts of windows in tenths of a second. A change of the limit needs the same time
            // until it binds as the first one.
            let starts = (40 + SETTLE_TIME.as_millis() as u64 / 100)..200;
            let changes: Vec<u64> = case.limits.iter().map(|(at, _)| at * 10).collect();
            let settles = |start: &u64| {
                let is_settling = |at: &u64| *start < at + 30 && *start + 40 > *at && *at > 40;
                !changes.iter().any(is_settling)
            };
            for start in starts.filter(settles) {
                let from = MonotonicTime::START.after(Duration::from_millis(start * 100));
                let count = simulation.count_from(from) as f64;
                let allowed = allowed(&case, start);
                assert!(
                    count <= allowed,
                    "{}, seed {seed}: {count} requests from {start} tenths, allowed {allowed}",
                    case.name
                );
                most_used = most_used.max(count / (allowed - 5.0));
            }
        }
        // A third of what is allowed is half of the limit.
        assert!(
            !case.is_used || most_used >= 1.0 / 3.0,
            "{}: only {most_used} of the allowed rate",
            case.name
        );
    }
}

/// Guards against hosts that refuse requests although they together want less than the server
/// accepts.
#[test]
fn a_demand_well_below_the_limit_is_not_held_back() {
    let case = Case {
        demand: 3.0,
        ..CASES[0]
    };
    let mut simulation = Simulation::new(case, 3);
    simulation.run(24);
    let from = MonotonicTime::START.after(Duration::from_secs(8));
    let sent = simulation
        .arrivals
        .iter()
        .filter(|arrival| arrival.at >= from);
    let sent = sent.count();
    // Sixteen seconds; requests come at random, so that a tenth may meet a share that is used up.
    assert!(sent as f64 >= 3.0 * 16.0 * 0.9, "{sent} requests");
}

/// Guards against a limit of 0 that no host ever finds to have ended, since none sends a request
/// whose answer would tell.
#[test]
fn the_end_of_a_limit_of_zero_is_noticed() {
    let case = Case {
        limits: &[(0, None), (4, Some(0.0)), (12, None)],
        ..CASES[0]
    };
    let mut simulation = Simulation::new(case, 5);
    simulation.run(40);
    let unlimited = simulation
        .hosts
        .iter()
        .filter(|table| table.limit(&server()).is_none());
    assert_eq!(unlimited.count(), case.hosts);
}

/// Guards against a limit that hosts report to each other for ever after the server has ended it:
/// each report must name only what its hosts were told by the server.
#[test]
fn a_report_contains_only_what_the_server_told_its_hosts() {
    let now = MonotonicTime::START.after(Duration::from_secs(10));
    let mut keeper = RateTable::new(RateSettings::default(), 1);
    let mut entry = RateTable::new(RateSettings::default(), 2);
    let mut other = RateTable::new(RateSettings::default(), 3);
    entry.apply_statement(now, &server(), limited(4.0));
    keeper.apply_batch(
        now,
        &"entry".into(),
        ReportSender::Entry,
        &entry.report_own(now),
    );
    other.apply_batch(
        now,
        &"keeper".into(),
        ReportSender::Keeper,
        &keeper.report_all(now),
    );
    let mut text = String::new();
    let later = now.after(Duration::from_millis(100));
    for (name, batch) in [
        ("entry", entry.report_own(later)),
        ("keeper to keepers", keeper.report_followers(later)),
        ("keeper to followers", keeper.report_all(later)),
        ("other entry", other.report_own(later)),
    ] {
        let _ = writeln!(text, "{name}: {batch:?}");
    }
    insta::assert_snapshot!(text);
}

/// Guards against the wrong order of statements: one that was received earlier, but reported later,
/// must not replace a newer one.
#[test]
fn an_older_statement_does_not_replace_a_newer_one() {
    let now = MonotonicTime::START.after(Duration::from_secs(10));
    let mut table = RateTable::new(RateSettings::default(), 1);
    table.apply_statement(now, &server(), limited(4.0));
    let report = |limit: Option<f64>, age: u64| RateBatch {
        scope: RateScope::Total,
        reports: vec![RateReport {
            server: server(),
            stated: Some(StatementReport {
                limit: limit.map(rate),
                age: Duration::from_millis(age),
            }),
            demand: rate(1.0),
            hosts: 2,
        }],
    };
    let cases = [
        (report(Some(9.0), 1_500), Some(4.0)),
        (report(None, 1_200), Some(4.0)),
        (report(Some(2.0), 300), Some(2.0)),
        (report(None, 100), None),
        (report(Some(7.0), 200), None),
    ];
    let later = now.after(Duration::from_secs(1));
    for (batch, expected) in cases {
        table.apply_batch(later, &"keeper".into(), ReportSender::Keeper, &batch);
        assert_eq!(table.limit(&server()), expected.map(rate), "{batch:?}");
    }
}
