//! One run of one policy: real planners with simulated engines and links in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use hdrhistogram::Histogram;
use pollendrift_coordination::base::{Incarnation, ModelName, MonotonicTime, SequenceNumber};
use pollendrift_coordination::routing::{
    EngineAnnouncement, FleetPlanner, FlightKey, LoadReport, LoadValues, PermitAll, PolicyKind,
    RoutePlan, RoutePlanner, RoutePriority, RouteQuery, RoutingSettings, WorkloadMix,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};

use crate::cache::{BLOCK, DelayedCacheEvent};
use crate::fleet::{KINDS, announcements, make_planner};
use crate::{Options, fail};

const ENTRIES: usize = 9;
const START: u64 = 60_000_000;
const REPORT_EVERY: u64 = 500_000;
pub(crate) const REPORT_AGE: u64 = 300_000;
const TICK_EVERY: u64 = 1_000_000;
const RETRY_AFTER: u64 = 20_000;
/// Microseconds from an entry or a last stage to a first stage.
const CALL_TIME: u64 = 300;

new_key_type! {
    pub(crate) struct SequenceKey;
}

#[derive(Clone, Copy)]
pub(crate) struct WorkItem {
    pub(crate) sequence: SequenceKey,
    pub(crate) stage: usize,
    /// Prompt tokens; 0 for a decode step.
    pub(crate) prompt: u32,
}

#[derive(Default)]
pub(crate) struct SimulatedEngine {
    pub(crate) decode: VecDeque<WorkItem>,
    pub(crate) prefill: VecDeque<WorkItem>,
    pub(crate) batch: Vec<WorkItem>,
    pub(crate) is_busy: bool,
    pub(crate) is_crashed: bool,
    pub(crate) link_free: u64,
    pub(crate) load: LoadValues,
    reports: VecDeque<(u64, LoadValues)>,
    /// Total microseconds of measured steps.
    pub(crate) step_micros: u64,
    /// Total microseconds of measured steps without the minimum step time.
    pub(crate) compute_micros: u64,
}

/// Remaining work of a request, either new or resumed after the loss of an engine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Job {
    /// Number of the request, from which the digests of its prefixes are made.
    pub(crate) number: u64,
    pub(crate) prompt: u32,
    /// Tokens that the caller already received; they are replayed after the prompt.
    pub(crate) generated: u32,
    pub(crate) target: u32,
    /// Time of the last token, or of the arrival.
    pub(crate) last_token: u64,
    /// Lost engine and the time of its loss.
    pub(crate) lost: Option<(usize, u64)>,
}

pub(crate) struct Sequence {
    pub(crate) entry: usize,
    pub(crate) plan: RoutePlan,
    pub(crate) flight: FlightKey,
    pub(crate) engines: Vec<usize>,
    pub(crate) job: Job,
    /// Number of stages that have processed the prompt.
    pub(crate) prefilled: usize,
}

impl Sequence {
    /// Prompt tokens that a stage has to process because they are not cached.
    pub(crate) fn uncached_tokens(&self, stage: usize) -> u32 {
        self.plan.prompt_tokens - self.plan.stages[stage].cached_tokens
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Request(Job),
    Deliver {
        engine: usize,
        sequence: SequenceKey,
        stage: usize,
        prompt: u32,
    },
    StepDone {
        engine: usize,
    },
    Report,
    Tick,
    Arrival,
    /// The second half of the measured time starts, with or without the crash of an engine.
    Crash {
        engine: Option<usize>,
    },
    /// An entry detects the loss of an engine of a sequence.
    Lost {
        engine: usize,
        sequence: SequenceKey,
    },
    /// A cache event of an engine arrives.
    Cache(DelayedCacheEvent),
    /// The lease of a crashed engine expires.
    LeaseEnd {
        engine: usize,
    },
}

/// How requests arrive.
#[derive(Clone, Copy)]
pub(crate) enum LoadShape {
    /// Constant number of requests in progress.
    Closed(u32),
    /// Poisson arrivals, in requests per second.
    Open(f64),
}

pub(crate) struct Experiment {
    pub(crate) now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    rng: ChaCha8Rng,
    pub(crate) planners: Vec<FleetPlanner>,
    pub(crate) announced: Vec<EngineAnnouncement>,
    pub(crate) engines: Vec<SimulatedEngine>,
    by_name: BTreeMap<String, usize>,
    pub(crate) sequences: SlotMap<SequenceKey, Sequence>,
    pub(crate) wires: BTreeMap<(String, String), u64>,
    shape: LoadShape,
    pub(crate) measured_from: u64,
    pub(crate) tokens: u64,
    pub(crate) unrouted: u64,
    pub(crate) first_token: Histogram<u64>,
    pub(crate) interval: Histogram<u64>,
    /// Time from the loss of an engine to the next token of each of its sequences.
    pub(crate) resumed: Histogram<u64>,
    pub(crate) requests: u64,
    /// Sequence number of the last cache event of each engine.
    pub(crate) cache_events: Vec<u64>,
    /// Tokens after the crash of an engine.
    pub(crate) tokens_after: u64,
    pub(crate) crashed_at: Option<u64>,
}

impl Experiment {
    pub(crate) fn new(policy: PolicyKind, options: &Options, shape: LoadShape) -> Self {
        let seed = options.seed;
        let settings = RoutingSettings {
            policy,
            candidates: options.candidates,
            ..RoutingSettings::default()
        };
        let announced = announcements();
        let mut planners = Vec::new();
        for entry in 0..ENTRIES {
            planners.push(make_planner(settings, seed + entry as u64, &announced));
        }
        let names = announced.iter().enumerate();
        let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3);
        Self {
            now: START,
            order: 0,
            events: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            by_name: names.map(|(i, e)| (e.server.to_string(), i)).collect(),
            engines: announced
                .iter()
                .map(|_| SimulatedEngine::default())
                .collect(),
            announced,
            planners,
            sequences: SlotMap::with_key(),
            wires: BTreeMap::new(),
            shape,
            measured_from: 0,
            tokens: 0,
            unrouted: 0,
            first_token: histogram().unwrap_or_else(|error| fail(&error.to_string())),
            interval: histogram().unwrap_or_else(|error| fail(&error.to_string())),
            resumed: histogram().unwrap_or_else(|error| fail(&error.to_string())),
            requests: 0,
            cache_events: vec![0; announcements().len()],
            tokens_after: 0,
            crashed_at: None,
        }
    }

    pub(crate) fn run(&mut self, seconds: u64) {
        self.measured_from = START + seconds * 1_000_000 / 4;
        let end = self.measured_from + seconds * 1_000_000;
        self.schedule(0, Event::Report);
        self.schedule(0, Event::Tick);
        match self.shape {
            LoadShape::Closed(count) => (0..count).for_each(|_| self.request()),
            LoadShape::Open(_) => self.schedule(0, Event::Arrival),
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(job) => self.route(job),
            Event::Crash { engine } => self.crash(engine),
            Event::Lost { engine, sequence } => self.resume(engine, sequence),
            Event::Cache(event) => self.deliver_cache_event(event),
            Event::LeaseEnd { engine } => self.end_lease(engine),
            Event::Deliver {
                engine,
                sequence,
                stage,
                prompt,
            } => {
                self.deliver(
                    engine,
                    WorkItem {
                        sequence,
                        stage,
                        prompt,
                    },
                );
            }
            Event::StepDone { engine } => self.finish_step(engine),
            Event::Report => self.report(),
            Event::Tick => self.tick(),
            Event::Arrival => self.arrive(),
        }
    }

    pub(crate) fn schedule(&mut self, after: u64, event: Event) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + after, self.order, event)));
    }

    fn arrive(&mut self) {
        if let LoadShape::Open(rate) = self.shape {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let gap = -uniform.ln() / rate * 1e6;
            self.request();
            self.schedule(gap as u64, Event::Arrival);
        }
    }

    fn request(&mut self) {
        let prompt = self.rng.random_range(128..=896);
        let target = self.rng.random_range(64..=352);
        let delay = self.rng.random_range(0..100_000);
        self.requests += 1;
        let job = Job {
            number: self.requests,
            prompt,
            generated: 0,
            target,
            last_token: self.now + delay,
            lost: None,
        };
        self.schedule(delay, Event::Request(job));
    }

    pub(crate) fn route(&mut self, job: Job) {
        let entry = self.rng.random_range(0..ENTRIES);
        let time = MonotonicTime::from_micros(self.now);
        let mean = WorkloadMix::default().output_tokens;
        let model = ModelName::from("m");
        let lost = job
            .lost
            .map(|(engine, _)| self.announced[engine].server.clone());
        let prefixes = self.find_prefixes(&job);
        let query = RouteQuery {
            model: &model,
            version: None,
            adapter: None,
            within: None,
            allowed: &PermitAll,
            excluded: lost.as_slice(),
            prompt_tokens: job.prompt + job.generated,
            expected_tokens: mean.saturating_sub(job.generated).max(1),
            prefixes: &prefixes,
            deadline: None,
            priority: RoutePriority::Normal,
            share: None,
            continues_answer: false,
            connected: &[],
        };
        let planner = &mut self.planners[entry];
        let Ok(plan) = planner.choose(time, &query) else {
            self.unrouted += 1;
            self.schedule(RETRY_AFTER, Event::Request(job));
            return;
        };
        let flight = planner.started(time, &plan);
        let names = plan.stages.iter().map(|stage| stage.server.as_str());
        let engines: Vec<usize> = names.map(|name| self.by_name[name]).collect();
        let prompt = plan.prompt_tokens;
        for (stage, engine) in plan.stages.iter().zip(&engines) {
            let load = &mut self.engines[*engine].load;
            load.sequences += 1;
            load.kv.0 += u64::from(prompt);
            load.prefill.0 += u64::from(prompt - stage.cached_tokens);
        }
        let engine = engines[0];
        let sequence = self.sequences.insert(Sequence {
            entry,
            plan,
            flight,
            engines,
            job,
            prefilled: 0,
        });
        let event = Event::Deliver {
            engine,
            sequence,
            stage: 0,
            prompt,
        };
        self.schedule(CALL_TIME, event);
    }

    pub(crate) fn emit(&mut self, item: WorkItem) {
        let now = self.now;
        let time = MonotonicTime::from_micros(now);
        let Some(sequence) = self.sequences.get_mut(item.sequence) else {
            return;
        };
        let is_first = sequence.job.generated == 0;
        sequence.job.generated += 1;
        if item.prompt > 0 {
            self.planners[sequence.entry].first_token(time, sequence.flight);
            if let Some((_, lost_at)) = sequence.job.lost {
                self.resumed.saturating_record((now - lost_at).max(1));
            }
        }
        if now >= self.measured_from {
            self.tokens += 1;
            self.tokens_after += u64::from(self.crashed_at.is_some());
            let histogram = if is_first {
                &mut self.first_token
            } else {
                &mut self.interval
            };
            histogram.saturating_record((now - sequence.job.last_token).max(1));
        }
        sequence.job.last_token = now;
        let is_block = item.prompt > 0 || sequence.job.generated % BLOCK == 0;
        if is_block {
            self.schedule_stored(item.sequence);
        }
        let Some(sequence) = self.sequences.get(item.sequence) else {
            return;
        };
        for engine in &sequence.engines {
            self.engines[*engine].load.kv.0 += 1;
        }
        if sequence.job.generated < sequence.job.target {
            let event = Event::Deliver {
                engine: sequence.engines[0],
                sequence: item.sequence,
                stage: 0,
                prompt: 0,
            };
            self.schedule(CALL_TIME, event);
            return;
        }
        self.end(item.sequence);
    }

    fn end(&mut self, key: SequenceKey) {
        let Some(sequence) = self.sequences.remove(key) else {
            return;
        };
        let time = MonotonicTime::from_micros(self.now);
        self.planners[sequence.entry].finished(time, sequence.flight);
        self.schedule_evicted(&sequence);
        self.release(&sequence);
        if matches!(self.shape, LoadShape::Closed(_)) {
            self.request();
        }
    }

    /// Subtracts a finished sequence from the loads of its engines.
    pub(crate) fn release(&mut self, sequence: &Sequence) {
        let kv = u64::from(sequence.job.prompt + sequence.job.generated);
        for (stage, engine) in sequence.engines.iter().enumerate() {
            let load = &mut self.engines[*engine].load;
            load.sequences -= 1;
            load.kv.0 = load.kv.0.saturating_sub(kv);
            if stage >= sequence.prefilled {
                load.prefill.0 -= u64::from(sequence.uncached_tokens(stage));
            }
        }
    }

    /// Delivers load reports with values that are at least [`REPORT_AGE`] old, once there are any.
    fn report(&mut self) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            if engine.is_crashed {
                continue;
            }
            engine.reports.push_back((self.now, engine.load));
            while engine.reports.len() > 1 && engine.reports[1].0 + REPORT_AGE <= self.now {
                engine.reports.pop_front();
            }
            let (measured_at, load) = engine.reports[0];
            let report = LoadReport {
                server: self.announced[index].server.clone(),
                incarnation: Incarnation(1),
                sequence: SequenceNumber(measured_at),
                measured_at: MonotonicTime::from_micros(measured_at),
                figures: load,
            };
            for planner in &mut self.planners {
                planner.report(&report);
            }
        }
        self.schedule(REPORT_EVERY, Event::Report);
    }

    pub(crate) fn print_utilization(&self, seconds: u64) {
        let mut index = 0;
        for kind in &KINDS {
            let engines = &self.engines[index..index + kind.count as usize];
            index += kind.count as usize;
            let shares: Vec<String> = engines
                .iter()
                .map(|engine| {
                    format!(
                        "{:.2}-{:.2}/{}",
                        engine.compute_micros as f64 / seconds as f64 / 1e6,
                        engine.step_micros as f64 / seconds as f64 / 1e6,
                        engine.load.sequences
                    )
                })
                .collect();
            let (first, end) = kind.layers;
            println!("  {} {first}..{end}: {}", kind.name, shares.join(" "));
        }
    }

    fn tick(&mut self) {
        for planner in &mut self.planners {
            planner.tick(MonotonicTime::from_micros(self.now));
        }
        self.schedule(TICK_EVERY, Event::Tick);
    }
}
