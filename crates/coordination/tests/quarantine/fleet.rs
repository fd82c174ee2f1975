//! Hosts that run many drafts at a time on engines, which crash late in some answers, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{
    Incarnation, MonotonicTime, PartName, ServerName, ServiceName,
};
use pollendrift_coordination::quarantine::{
    Admission, CrashId, NoticeAudience, QuarantineNotice, QuarantineSettings, QuarantineTable,
    SendKey,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(20);
/// Time from a change at one host until the others know of it.
const NOTICE_DELAY: Duration = Duration::from_millis(20);
/// Time between two events of an answer.
const EVENT_GAP: Duration = Duration::from_millis(50);
/// Time from a crash until the engine runs again.
const RESTART_TIME: Duration = Duration::from_millis(2_500);
/// Sends of a draft.
const ATTEMPTS: u32 = 2;

/// A draft and its result.
#[derive(Clone, Debug)]
pub(crate) struct DraftRecord {
    pub(crate) parts: Arc<[PartName]>,
    pub(crate) sent_at: MonotonicTime,
    /// Times at which it reached an engine.
    pub(crate) arrivals: Vec<MonotonicTime>,
    pub(crate) is_complete: bool,
    /// Whether it was held back, or its answer was cut.
    pub(crate) is_refused: bool,
}

/// A draft that runs.
struct RunningDraft {
    /// Index of its record.
    record: usize,
    host: usize,
    engine: usize,
    send: SendKey,
    /// Begin of its test, if it is one.
    test: Option<MonotonicTime>,
    next_event_at: MonotonicTime,
    ends_at: MonotonicTime,
    /// Time at which it crashes its engine.
    crashes_at: Option<MonotonicTime>,
}

/// Hosts, engines and drafts.
pub(crate) struct LateFleet {
    pub(crate) now: MonotonicTime,
    pub(crate) records: Vec<DraftRecord>,
    /// Times of the crashes on each crashing part.
    pub(crate) crashes: BTreeMap<PartName, Vec<MonotonicTime>>,
    hosts: Vec<QuarantineTable>,
    /// Incarnation of each engine, and the time from which it runs.
    engines: Vec<(u64, MonotonicTime)>,
    running: Vec<RunningDraft>,
    notices: Vec<(MonotonicTime, usize, QuarantineNotice)>,
    answer_times: RangeInclusive<Duration>,
    /// Whether engines with a lower index get more of the drafts.
    is_uneven: bool,
    service: ServiceName,
    random: ChaCha8Rng,
}

impl LateFleet {
    pub(crate) fn new(
        hosts: u32,
        engines: usize,
        crashing: &[&str],
        answer_times: RangeInclusive<Duration>,
        seed: u64,
    ) -> Self {
        let tables = (0..hosts).map(|index| {
            let settings = QuarantineSettings::default();
            let mut table = QuarantineTable::new(settings, &format!("h-{index}"));
            table.set_hosts(hosts);
            table
        });
        let parts = crashing.iter();
        Self {
            now: MonotonicTime::from_millis(1_000),
            records: Vec::new(),
            crashes: parts
                .map(|part| (PartName::from(*part), Vec::new()))
                .collect(),
            hosts: tables.collect(),
            engines: vec![(1, MonotonicTime::START); engines],
            running: Vec::new(),
            notices: Vec::new(),
            answer_times,
            is_uneven: false,
            service: "writers".into(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Hands more of the drafts to engines with a lower index.
    pub(crate) fn uneven(self) -> Self {
        Self {
            is_uneven: true,
            ..self
        }
    }

    /// Sends drafts at `rate` a second with the parts that `parts_of` returns for their number, for
    /// `time`. `before_step` is called before each step.
    pub(crate) fn run<P, F>(&mut self, time: Duration, rate: u32, parts_of: P, mut before_step: F)
    where
        P: Fn(usize) -> Vec<String>,
        F: FnMut(&mut Self),
    {
        let (start, first) = (self.now, self.records.len());
        while self.now.since(start) < time {
            before_step(self);
            let due = self.now.since(start).as_secs_f64() * f64::from(rate);
            while ((self.records.len() - first) as f64) < due {
                let names = parts_of(self.records.len() - first);
                let parts = names.iter().map(|name| PartName::from(name.as_str()));
                self.send_new(parts.collect());
            }
            self.step();
        }
    }

    /// Crashes every engine whose index is `offset` modulo `of`, for a reason outside of its drafts.
    pub(crate) fn crash_engines(&mut self, offset: usize, of: usize) {
        for engine in (offset..self.engines.len()).step_by(of) {
            self.crash(engine);
        }
    }

    /// Crashes the running engine with the most drafts.
    pub(crate) fn crash_busiest(&mut self) {
        let mut drafts = vec![0_usize; self.engines.len()];
        for draft in &self.running {
            drafts[draft.engine] += 1;
        }
        let busiest = drafts.iter().enumerate().max_by_key(|(_, count)| **count);
        if let Some((engine, _)) = busiest {
            self.crash(engine);
        }
    }

    /// Crashes `count` engines at once, which are chosen at random among those that run.
    pub(crate) fn crash_some(&mut self, count: usize) {
        for _ in 0..count {
            let alive = self.alive();
            if !alive.is_empty() {
                let engine = alive[self.random.random_range(0..alive.len())];
                self.crash(engine);
            }
        }
    }

    /// Parts on engines that have crashed, and the verdict of each host on them now.
    pub(crate) fn held_parts(&self) -> BTreeSet<PartName> {
        let mut held = BTreeSet::new();
        for host in &self.hosts {
            for suspect in host.dump(self.now).suspects {
                if !suspect.held_for.is_zero() {
                    held.insert(suspect.part.part);
                }
            }
        }
        held
    }

    fn send_new(&mut self, parts: Arc<[PartName]>) {
        let record = self.records.len();
        self.records.push(DraftRecord {
            parts,
            sent_at: self.now,
            arrivals: Vec::new(),
            is_complete: false,
            is_refused: false,
        });
        self.send(record, record % self.hosts.len(), None);
    }

    fn send(&mut self, record: usize, host: usize, test: Option<MonotonicTime>) {
        let parts = Arc::clone(&self.records[record].parts);
        let table = &mut self.hosts[host];
        let test = match table.admit(self.now, &self.service, &parts, test) {
            Admission::Send => None,
            Admission::Test(began_at) => Some(began_at),
            Admission::Hold(_) => {
                self.records[record].is_refused = true;
                return;
            }
        };
        let alive = self.alive();
        if alive.is_empty() {
            return;
        }
        let mut place = self.random.random_range(0..alive.len());
        if self.is_uneven {
            place = place.min(self.random.random_range(0..alive.len()));
        }
        let engine = alive[place];
        let name = self.name(engine);
        let table = &mut self.hosts[host];
        let send = table.record_sent(self.now, &self.service, &parts, vec![name]);
        self.records[record].arrivals.push(self.now);
        let crashes = parts.iter().any(|part| self.crashes.contains_key(part));
        let place: f64 = self.random.random();
        let answer_time = self.random.random_range(self.answer_times.clone());
        self.running.push(RunningDraft {
            record,
            host,
            engine,
            send,
            test,
            next_event_at: self.now.after(EVENT_GAP),
            ends_at: self.now.after(answer_time),
            crashes_at: crashes.then(|| self.now.after(answer_time.mul_f64(place))),
        });
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.exchange();
        let crashing = self
            .running
            .iter()
            .filter(|draft| draft.crashes_at.is_some_and(|at| at <= self.now));
        let crashing: Vec<(usize, usize)> =
            crashing.map(|draft| (draft.engine, draft.record)).collect();
        for (engine, record) in crashing {
            if self.engines[engine].1 > self.now {
                continue;
            }
            for part in self.records[record].parts.iter() {
                if let Some(times) = self.crashes.get_mut(part) {
                    times.push(self.now);
                }
            }
            self.crash(engine);
        }
        let now = self.now;
        let mut left = Vec::new();
        for mut draft in std::mem::take(&mut self.running) {
            let table = &mut self.hosts[draft.host];
            if draft.ends_at <= now {
                table.record_ended(now, draft.send, true);
                self.records[draft.record].is_complete = true;
                continue;
            }
            if draft.next_event_at <= now {
                draft.next_event_at = now.after(EVENT_GAP);
                table.record_event(now, draft.send);
                if table.cut(now, draft.send).is_some() {
                    self.records[draft.record].is_refused = true;
                    table.record_ended(now, draft.send, false);
                    continue;
                }
            }
            left.push(draft);
        }
        self.running.extend(left);
    }

    /// Crashes an engine; its drafts are sent again.
    fn crash(&mut self, engine: usize) {
        let name = self.name(engine);
        let (incarnation, runs_from) = &mut self.engines[engine];
        *runs_from = self.now.after(RESTART_TIME);
        let id = CrashId {
            server: name,
            incarnation: Incarnation(*incarnation),
        };
        *incarnation += 1;
        let drafts = std::mem::take(&mut self.running).into_iter();
        let (broken, left): (Vec<_>, Vec<_>) = drafts.partition(|draft| draft.engine == engine);
        self.running = left;
        for draft in &broken {
            let table = &mut self.hosts[draft.host];
            table.record_crash(self.now, &id, &self.service, Some("1".into()));
        }
        for draft in broken {
            self.hosts[draft.host].record_ended(self.now, draft.send, false);
            if self.records[draft.record].arrivals.len() < ATTEMPTS as usize {
                self.send(draft.record, draft.host, draft.test);
            }
        }
    }

    fn alive(&self) -> Vec<usize> {
        let engines = self.engines.iter().enumerate();
        let alive = engines.filter(|(_, (_, runs_from))| *runs_from <= self.now);
        alive.map(|(index, _)| index).collect()
    }

    fn name(&self, engine: usize) -> ServerName {
        format!("e-{engine}-{}", self.engines[engine].0).into()
    }

    fn exchange(&mut self) {
        for index in 0..self.hosts.len() {
            let table = &mut self.hosts[index];
            let notice = table.take_changes(self.now, NoticeAudience::Keepers);
            table.take_changes(self.now, NoticeAudience::Followers);
            if !notice.is_empty() {
                let arrives_at = self.now.after(NOTICE_DELAY);
                self.notices.push((arrives_at, index, notice));
            }
        }
        let now = self.now;
        let notices = std::mem::take(&mut self.notices).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = notices.partition(|(at, ..)| *at <= now);
        self.notices = later;
        for (_, sender, notice) in due {
            for (index, host) in self.hosts.iter_mut().enumerate() {
                if index != sender {
                    host.merge(now, notice.clone(), true);
                }
            }
        }
    }
}
