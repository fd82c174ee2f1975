//! Death of an engine while it runs sequences, and how they go on.

use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::routing::RoutePlanner;

use crate::experiment::{Event, Experiment, Job, SequenceKey};

/// Microseconds until an entry sees a reset connection, or a refused one.
pub(crate) const DETECT: u64 = 2_000;

/// Microseconds until the lease of a dead engine ends.
const LEASE: u64 = 3_000_000;

impl Experiment {
    /// Splits the measured time in the middle, and lets an engine die there.
    pub(crate) fn plan_death(&mut self, engine: Option<usize>, seconds: u64) {
        let after = seconds * 1_000_000 * 3 / 4;
        self.schedule(after, Event::Death { engine });
    }

    pub(crate) fn die(&mut self, engine: Option<usize>) {
        self.death = Some(self.now);
        let Some(engine) = engine else {
            return;
        };
        self.engines[engine].is_dead = true;
        let ran = |sequence: &crate::experiment::Sequence| sequence.engines.contains(&engine);
        let keys: Vec<SequenceKey> = self
            .sequences
            .iter()
            .filter(|(_, sequence)| ran(sequence))
            .map(|(key, _)| key)
            .collect();
        for sequence in keys {
            self.schedule(DETECT, Event::Lost { engine, sequence });
        }
        self.schedule(LEASE, Event::LeaseEnd { engine });
    }

    /// The entry goes on from the last token over another route, and replays what was made.
    pub(crate) fn resume(&mut self, engine: usize, key: SequenceKey) {
        let Some(sequence) = self.sequences.remove(key) else {
            return;
        };
        self.release(&sequence);
        let time = MonotonicTime::from_micros(self.now);
        let server = &self.announced[engine].server;
        self.planners[sequence.entry].failed(time, sequence.flight, Some(server));
        let lost_at = self.now - DETECT;
        self.route(Job {
            lost: Some((engine, lost_at)),
            ..sequence.job
        });
    }

    pub(crate) fn end_lease(&mut self, engine: usize) {
        for planner in &mut self.planners {
            planner.remove(&self.announced[engine].server);
        }
    }
}
