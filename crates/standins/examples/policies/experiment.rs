//! One run of one policy: fake engines and links in virtual time around real planners.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use hdrhistogram::Histogram;
use pollendrift_coordination::base::{Incarnation, ModelName, MonotonicTime, SequenceNumber};
use pollendrift_coordination::routing::{
    EngineAnnouncement, FleetPlanner, FlightKey, LoadFigures, LoadReport, PermitAll, PolicyKind,
    RoutePlan, RoutePlanner, RoutePriority, RouteQuery, RoutingSettings, WorkloadMix,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};

use crate::fleet::{ACTIVATION_BYTES, KINDS, announcements, links, make_planner};
use crate::{Options, fail};

const ENTRIES: usize = 9;
const START: u64 = 60_000_000;
const REPORT_EVERY: u64 = 500_000;
const REPORT_AGE: u64 = 300_000;
const TICK_EVERY: u64 = 1_000_000;
const RETRY_AFTER: u64 = 20_000;
const PREFILL_CHUNK: u32 = 1_024;

new_key_type! {
    struct SequenceKey;
}

#[derive(Clone, Copy)]
struct WorkItem {
    sequence: SequenceKey,
    stage: usize,
    /// Prompt tokens; 0 for a decode step.
    prompt: u32,
}

#[derive(Default)]
struct FakeEngine {
    decode: VecDeque<WorkItem>,
    prefill: VecDeque<WorkItem>,
    batch: Vec<WorkItem>,
    is_busy: bool,
    link_free: u64,
    figures: LoadFigures,
    reports: VecDeque<(u64, LoadFigures)>,
    /// Microseconds of measured steps.
    worked: u64,
    /// Microseconds of that without the floor of a step.
    useful: u64,
}

struct Sequence {
    entry: usize,
    plan: RoutePlan,
    flight: FlightKey,
    engines: Vec<usize>,
    last_token: u64,
    made: u32,
    wanted: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request {
        prompt: u32,
        wanted: u32,
        arrived: u64,
    },
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
}

/// How requests arrive.
#[derive(Clone, Copy)]
pub(crate) enum LoadShape {
    /// So many under way at all times.
    Closed(u32),
    /// Poisson arrivals, requests a second.
    Open(f64),
}

pub(crate) struct Experiment {
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    rng: ChaCha8Rng,
    planners: Vec<FleetPlanner>,
    announced: Vec<EngineAnnouncement>,
    engines: Vec<FakeEngine>,
    by_name: BTreeMap<String, usize>,
    sequences: SlotMap<SequenceKey, Sequence>,
    wires: BTreeMap<(String, String), u64>,
    shape: LoadShape,
    measured_from: u64,
    pub(crate) tokens: u64,
    pub(crate) unrouted: u64,
    pub(crate) first_token: Histogram<u64>,
    pub(crate) interval: Histogram<u64>,
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
            engines: announced.iter().map(|_| FakeEngine::default()).collect(),
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
            Event::Request {
                prompt,
                wanted,
                arrived,
            } => self.route(prompt, wanted, arrived),
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

    fn schedule(&mut self, after: u64, event: Event) {
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
        let wanted = self.rng.random_range(64..=352);
        let spread = self.rng.random_range(0..100_000);
        let arrived = self.now + spread;
        self.schedule(
            spread,
            Event::Request {
                prompt,
                wanted,
                arrived,
            },
        );
    }

    fn route(&mut self, prompt: u32, wanted: u32, arrived: u64) {
        let entry = self.rng.random_range(0..ENTRIES);
        let time = MonotonicTime::from_micros(self.now);
        let mix = WorkloadMix::default();
        let model = ModelName::from("m");
        let query = RouteQuery {
            model: &model,
            version: None,
            adapter: None,
            allowed: &PermitAll,
            excluded: &[],
            prompt_tokens: prompt,
            expected_tokens: mix.output_tokens,
            prefixes: &[],
            deadline: None,
            priority: RoutePriority::Normal,
        };
        let planner = &mut self.planners[entry];
        let Ok(plan) = planner.choose(time, &query) else {
            self.unrouted += 1;
            self.schedule(
                RETRY_AFTER,
                Event::Request {
                    prompt,
                    wanted,
                    arrived,
                },
            );
            return;
        };
        let flight = planner.started(time, &plan);
        let engines: Vec<usize> = plan
            .stages
            .iter()
            .map(|stage| self.by_name[stage.server.as_str()])
            .collect();
        for engine in &engines {
            let figures = &mut self.engines[*engine].figures;
            figures.sequences += 1;
            figures.kv.0 += u64::from(prompt);
            figures.prefill.0 += u64::from(prompt);
        }
        let first = engines[0];
        let sequence = self.sequences.insert(Sequence {
            entry,
            plan,
            flight,
            engines,
            last_token: arrived,
            made: 0,
            wanted,
        });
        self.schedule(
            300,
            Event::Deliver {
                engine: first,
                sequence,
                stage: 0,
                prompt,
            },
        );
    }

    fn deliver(&mut self, engine: usize, item: WorkItem) {
        let queues = &mut self.engines[engine];
        if item.prompt > 0 {
            queues.prefill.push_back(item);
        } else {
            queues.decode.push_back(item);
        }
        self.begin_step(engine);
    }

    /// One step works on all decode items and at least one prompt, up to the chunk.
    fn begin_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.is_busy || (engine.decode.is_empty() && engine.prefill.is_empty()) {
            return;
        }
        let mut batch: Vec<WorkItem> = engine.decode.drain(..).collect();
        let mut chunk = 0;
        while let Some(item) = engine.prefill.pop_front() {
            chunk += item.prompt;
            batch.push(item);
            if chunk >= PREFILL_CHUNK {
                break;
            }
        }
        let announced = &self.announced[index];
        let mut seconds = 0.0;
        let mut largest: f64 = 0.0;
        for item in &batch {
            let run = self.sequences[item.sequence].plan.stages[item.stage]
                .layers
                .len();
            let part = f64::from(run) / f64::from(announced.layers.len());
            largest = largest.max(part);
            seconds += if item.prompt > 0 {
                announced.prefill_rate.seconds_for(f64::from(item.prompt)) * part
            } else {
                announced.decode_rate.seconds_for(1.0) * part
            };
        }
        let useful = (seconds * 1e6) as u64;
        let seconds = seconds.max(announced.step_floor.as_secs_f64() * largest);
        engine.batch = batch;
        engine.is_busy = true;
        let micros = (seconds * 1e6) as u64;
        if self.now >= self.measured_from {
            engine.worked += micros;
            engine.useful += useful;
        }
        self.schedule(micros, Event::StepDone { engine: index });
    }

    fn finish_step(&mut self, index: usize) {
        let batch = std::mem::take(&mut self.engines[index].batch);
        self.engines[index].is_busy = false;
        for item in batch {
            self.engines[index].figures.prefill.0 -= u64::from(item.prompt);
            let next = item.stage + 1;
            match self.sequences[item.sequence].engines.get(next).copied() {
                Some(engine) => self.forward(
                    index,
                    engine,
                    WorkItem {
                        stage: next,
                        ..item
                    },
                ),
                None => self.emit(item),
            }
        }
        self.begin_step(index);
    }

    /// Activations wait for the sender's link and for the link between data centres.
    fn forward(&mut self, from: usize, engine: usize, item: WorkItem) {
        let (sender, receiver) = (&self.announced[from], &self.announced[engine]);
        let bytes = u64::from(ACTIVATION_BYTES) * u64::from(item.prompt.max(1));
        let rate = sender.link_rate.0.min(receiver.link_rate.0);
        let start = self.engines[from].link_free.max(self.now);
        let mut done = start + bytes * 1_000_000 / rate;
        self.engines[from].link_free = done;
        let mut latency = 50;
        let (one, other) = (&sender.data_centre, &receiver.data_centre);
        let found = links().into_iter().find(|(a, b, _)| {
            (*a == one.as_str() && *b == other.as_str())
                || (*b == one.as_str() && *a == other.as_str())
        });
        if let Some((_, _, link)) = found {
            let wire = self
                .wires
                .entry((one.to_string(), other.to_string()))
                .or_default();
            *wire = (*wire).max(self.now) + bytes * 1_000_000 / link.rate.0;
            done = done.max(*wire);
            latency = u64::try_from(link.latency.as_micros()).unwrap_or(u64::MAX);
        }
        let WorkItem {
            sequence,
            stage,
            prompt,
        } = item;
        self.schedule(
            done - self.now + latency,
            Event::Deliver {
                engine,
                sequence,
                stage,
                prompt,
            },
        );
    }

    fn emit(&mut self, item: WorkItem) {
        let now = self.now;
        let time = MonotonicTime::from_micros(now);
        let sequence = &mut self.sequences[item.sequence];
        let is_first = sequence.made == 0;
        sequence.made += 1;
        if is_first {
            self.planners[sequence.entry].first_token(time, sequence.flight);
        }
        if now >= self.measured_from {
            self.tokens += 1;
            let histogram = if is_first {
                &mut self.first_token
            } else {
                &mut self.interval
            };
            histogram.saturating_record((now - sequence.last_token).max(1));
        }
        sequence.last_token = now;
        for engine in &sequence.engines {
            self.engines[*engine].figures.kv.0 += 1;
        }
        if sequence.made < sequence.wanted {
            let event = Event::Deliver {
                engine: sequence.engines[0],
                sequence: item.sequence,
                stage: 0,
                prompt: 0,
            };
            self.schedule(300, event);
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
        for engine in &sequence.engines {
            let figures = &mut self.engines[*engine].figures;
            figures.sequences -= 1;
            figures.kv.0 -= u64::from(sequence.plan.prompt_tokens + sequence.made);
        }
        if matches!(self.shape, LoadShape::Closed(_)) {
            self.request();
        }
    }

    /// Reports arrive with figures that are older than they are.
    fn report(&mut self) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            engine.reports.push_back((self.now, engine.figures));
            while engine.reports.len() > 1 && engine.reports[1].0 + REPORT_AGE <= self.now {
                engine.reports.pop_front();
            }
            let (taken, figures) = engine.reports[0];
            let report = LoadReport {
                server: self.announced[index].server.clone(),
                incarnation: Incarnation(1),
                sequence: SequenceNumber(taken),
                taken: MonotonicTime::from_micros(taken),
                figures,
            };
            for planner in &mut self.planners {
                planner.report(&report);
            }
        }
        self.schedule(REPORT_EVERY, Event::Report);
    }

    pub(crate) fn print_busy(&self, seconds: u64) {
        let mut index = 0;
        for figures in &KINDS {
            let engines = &self.engines[index..index + figures.count as usize];
            index += figures.count as usize;
            let shares: Vec<String> = engines
                .iter()
                .map(|engine| {
                    format!(
                        "{:.2}-{:.2}/{}",
                        engine.useful as f64 / seconds as f64 / 1e6,
                        engine.worked as f64 / seconds as f64 / 1e6,
                        engine.figures.sequences
                    )
                })
                .collect();
            let (first, end) = figures.layers;
            println!("  {} {first}..{end}: {}", figures.name, shares.join(" "));
        }
    }

    fn tick(&mut self) {
        for planner in &mut self.planners {
            planner.tick(MonotonicTime::from_micros(self.now));
        }
        self.schedule(TICK_EVERY, Event::Tick);
    }
}
