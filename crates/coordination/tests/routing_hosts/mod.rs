//! Hosts in virtual time that choose chains from the same lagging load reports of one fleet.
#![allow(dead_code, reason = "each test program uses a part of the module")]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use pollendrift_coordination::base::{
    DataCentreName, Incarnation, ModelName, MonotonicTime, SequenceNumber, ServerName,
};
use pollendrift_coordination::routing::{
    EngineAnnouncement, FleetPlanner, FlightKey, LoadReport, LoadValues, PermitAll, RoutePlan,
    RoutePlanner, RoutePriority, RouteQuery, RoutingSettings, TokenCount,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) const PROMPT: u32 = 760;
pub(crate) const ANSWER: u32 = 140;
const DRAFT_TOKENS: u64 = (PROMPT + ANSWER) as u64;
const DRAFT_MS: u64 = 3_000;
const STEP_MS: u64 = 5;
const TICK_MS: u64 = 200;
const REPORT_MS: u64 = 400;
/// Attempts at a route before a draft is given up, 200 ms apart.
const ATTEMPTS: u32 = 10;

/// What the hosts do and see.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) settings: RoutingSettings,
    pub(crate) hosts: usize,
    /// Whether queries state the demand share of their host.
    pub(crate) has_shares: bool,
    pub(crate) drafts_per_second: u64,
    /// Time from the measurement of a report until hosts have it.
    pub(crate) report_lag_ms: u64,
    /// Time after which a host closes an idle connection to an engine.
    pub(crate) keep_alive_ms: u64,
    /// Time from which no engine reports.
    pub(crate) reports_end_ms: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            settings: RoutingSettings::default(),
            hosts: 63,
            has_shares: true,
            drafts_per_second: 200,
            report_lag_ms: 300,
            keep_alive_ms: 2_000,
            reports_end_ms: u64::MAX,
        }
    }
}

/// Results since the last call of [`Hosts::take_counts`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    /// Attempts that found a route.
    pub(crate) routed: u32,
    /// Attempts that found none.
    pub(crate) refused: u32,
    /// Connections that hosts opened to the first engines of drafts.
    pub(crate) opened: u32,
    /// Stages that began on an engine without memory for the draft.
    pub(crate) beyond: u32,
    /// Observed and predicted seconds to the first event, by draft.
    pub(crate) first_events: Vec<(f64, f64)>,
    /// Drafts that began at each engine's first stage.
    pub(crate) firsts: BTreeMap<ServerName, u32>,
}

struct Engine {
    announced: EngineAnnouncement,
    kv: u64,
    slowness: f64,
}

enum Event {
    Arrive {
        host: usize,
        attempt: u32,
    },
    FirstToken {
        host: usize,
        flight: FlightKey,
    },
    End {
        host: usize,
        flight: FlightKey,
        engines: Vec<ServerName>,
    },
}

/// A fleet and the hosts that use it.
pub(crate) struct Hosts {
    scenario: Scenario,
    pub(crate) planners: Vec<FleetPlanner>,
    engines: BTreeMap<ServerName, Engine>,
    now_ms: u64,
    events: BTreeMap<u64, Vec<Event>>,
    reports: VecDeque<(u64, Vec<LoadReport>)>,
    /// Idle connections of each host: engines and the times of their last use, oldest first.
    idle: Vec<Vec<(ServerName, u64)>>,
    random: ChaCha8Rng,
    counts: Counts,
}

impl Hosts {
    pub(crate) fn new(scenario: Scenario, fleet: &[EngineAnnouncement], seed: u64) -> Self {
        let planner = |host: usize| {
            let mut planner = FleetPlanner::new(scenario.settings, seed * 1_000 + host as u64);
            for engine in fleet {
                assert!(
                    planner
                        .announce(MonotonicTime::START, engine.clone())
                        .is_ok()
                );
            }
            planner
        };
        let engine = |announced: &EngineAnnouncement| Engine {
            announced: announced.clone(),
            kv: 0,
            slowness: 1.0,
        };
        let engines = fleet.iter().map(|e| (e.server.clone(), engine(e)));
        Self {
            scenario,
            planners: (0..scenario.hosts).map(planner).collect(),
            engines: engines.collect(),
            // After the slow start of all engines.
            now_ms: 60_000,
            events: BTreeMap::new(),
            reports: VecDeque::new(),
            idle: vec![Vec::new(); scenario.hosts],
            random: ChaCha8Rng::seed_from_u64(seed),
            counts: Counts::default(),
        }
    }

    /// Sets the factor by which engines are slower than they announce.
    pub(crate) fn set_slowness<F>(&mut self, slowness: F)
    where
        F: Fn(&EngineAnnouncement) -> f64,
    {
        for engine in self.engines.values_mut() {
            engine.slowness = slowness(&engine.announced);
        }
    }

    pub(crate) fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    pub(crate) fn run(&mut self, seconds: u64) {
        let end = self.now_ms + seconds * 1_000;
        while self.now_ms < end {
            self.step();
            self.now_ms += STEP_MS;
        }
    }

    /// Lets `drafts` drafts arrive at each host at once.
    pub(crate) fn burst(&mut self, drafts: usize) {
        let now = MonotonicTime::from_millis(self.now_ms);
        for host in (0..self.scenario.hosts)
            .cycle()
            .take(drafts * self.scenario.hosts)
        {
            self.arrive(now, host, 1);
        }
    }

    fn step(&mut self) {
        let now = MonotonicTime::from_millis(self.now_ms);
        if self.now_ms.is_multiple_of(REPORT_MS) && self.now_ms < self.scenario.reports_end_ms {
            self.measure(now);
        }
        while self
            .reports
            .front()
            .is_some_and(|(at, _)| *at <= self.now_ms)
        {
            let (_, reports) = self.reports.pop_front().unwrap_or_default();
            for planner in &mut self.planners {
                for report in &reports {
                    planner.report(report);
                }
            }
        }
        for (host, planner) in self.planners.iter_mut().enumerate() {
            if (self.now_ms + STEP_MS * host as u64).is_multiple_of(TICK_MS) {
                planner.tick(now);
            }
        }
        let expected = self.scenario.drafts_per_second as f64 * STEP_MS as f64 / 1_000.0;
        let arrivals = (expected + self.random.random_range(0.0..1.0)) as u64;
        for _ in 0..arrivals {
            let host = self.random.random_range(0..self.scenario.hosts);
            self.arrive(now, host, 1);
        }
        for event in self.events.remove(&self.now_ms).unwrap_or_default() {
            self.handle(now, event);
        }
    }

    fn measure(&mut self, now: MonotonicTime) {
        let report = |engine: &Engine| LoadReport {
            server: engine.announced.server.clone(),
            incarnation: Incarnation(1),
            sequence: SequenceNumber(self.now_ms),
            measured_at: now,
            figures: LoadValues {
                prefill: TokenCount(0),
                sequences: u32::try_from(engine.kv / DRAFT_TOKENS).unwrap_or(u32::MAX),
                kv: TokenCount(engine.kv),
            },
        };
        let reports = self.engines.values().map(report).collect();
        let arrives = self.now_ms + self.scenario.report_lag_ms;
        self.reports.push_back((arrives, reports));
    }

    fn handle(&mut self, now: MonotonicTime, event: Event) {
        match event {
            Event::Arrive { host, attempt } => self.arrive(now, host, attempt),
            Event::FirstToken { host, flight } => self.planners[host].first_token(now, flight),
            Event::End {
                host,
                flight,
                engines,
            } => {
                self.planners[host].finished(now, flight);
                if let Some(first) = engines.first() {
                    self.idle[host].push((first.clone(), self.now_ms));
                }
                for server in engines {
                    if let Some(engine) = self.engines.get_mut(&server) {
                        engine.kv -= DRAFT_TOKENS;
                    }
                }
            }
        }
    }

    fn arrive(&mut self, now: MonotonicTime, host: usize, attempt: u32) {
        let model = ModelName::from("m");
        let centre = DataCentreName::from("a");
        let keep_alive_ms = self.scenario.keep_alive_ms;
        self.idle[host].retain(|(_, used)| self.now_ms - used < keep_alive_ms);
        let idle = self.idle[host].iter().rev();
        let connected: Vec<ServerName> = idle.map(|(server, _)| server.clone()).collect();
        let query = RouteQuery {
            model: &model,
            version: None,
            adapter: None,
            within: Some(&centre),
            allowed: &PermitAll,
            excluded: &[],
            prompt_tokens: PROMPT,
            expected_tokens: ANSWER,
            prefixes: &[],
            deadline: None,
            priority: RoutePriority::Normal,
            share: self
                .scenario
                .has_shares
                .then(|| 1.0 / self.scenario.hosts as f64),
            continues_answer: false,
            connected: &connected,
        };
        let Ok(plan) = self.planners[host].choose(now, &query) else {
            self.counts.refused += 1;
            if attempt < ATTEMPTS {
                let attempt = attempt + 1;
                self.schedule(TICK_MS, Event::Arrive { host, attempt });
            }
            return;
        };
        self.start(now, host, &plan);
    }

    fn start(&mut self, now: MonotonicTime, host: usize, plan: &RoutePlan) {
        self.counts.routed += 1;
        let flight = self.planners[host].started(now, plan);
        let mut seconds = 0.0;
        let mut engines = Vec::with_capacity(plan.stages.len());
        for stage in &plan.stages {
            let Some(engine) = self.engines.get_mut(&stage.server) else {
                continue;
            };
            engine.kv += DRAFT_TOKENS;
            if engine.kv > engine.announced.kv_capacity.0 {
                self.counts.beyond += 1;
            }
            seconds += engine.slowness * idle_seconds(&engine.announced);
            engines.push(stage.server.clone());
        }
        if let Some(first) = engines.first() {
            let idle = &mut self.idle[host];
            match idle.iter().rposition(|(server, _)| server == first) {
                Some(index) => drop(idle.remove(index)),
                None => self.counts.opened += 1,
            }
            *self.counts.firsts.entry(first.clone()).or_default() += 1;
        }
        let predicted = plan.first_token.as_secs_f64();
        self.counts.first_events.push((seconds, predicted));
        self.schedule(
            (seconds * 1_000.0) as u64,
            Event::FirstToken { host, flight },
        );
        let end = Event::End {
            host,
            flight,
            engines,
        };
        self.schedule(DRAFT_MS, end);
    }

    /// Schedules an event after at least one step.
    fn schedule(&mut self, delay_ms: u64, event: Event) {
        let steps = (delay_ms / STEP_MS).max(1);
        let at = self.now_ms + steps * STEP_MS;
        self.events.entry(at).or_default().push(event);
    }
}

/// Time to the first event of an engine without other load.
fn idle_seconds(engine: &EngineAnnouncement) -> f64 {
    let prefill = engine.prefill_rate.seconds_for(f64::from(PROMPT));
    let step = engine
        .step_floor
        .max(Duration::from_secs_f64(engine.decode_rate.seconds_for(1.0)));
    prefill + step.as_secs_f64()
}
