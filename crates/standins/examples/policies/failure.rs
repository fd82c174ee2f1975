//! Crash of an engine with running sequences, and their resumption.

use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::routing::RoutePlanner;

use crate::experiment::{Event, Experiment, Job, SequenceKey};

/// Microseconds until an entry detects a reset or refused connection.
pub(crate) const DETECTION_DELAY: u64 = 2_000;

/// Microseconds until the lease of a crashed engine expires.
const LEASE_DURATION: u64 = 3_000_000;

impl Experiment {
    /// Schedules the start of the second half of the measured time, with the crash of `engine` if
    /// any.
    pub(crate) fn schedule_crash(&mut self, engine: Option<usize>, seconds: u64) {
        let after = seconds * 1_000_000 * 3 / 4;
        self.schedule(after, Event::Crash { engine });
    }

    pub(crate) fn crash(&mut self, engine: Option<usize>) {
        self.crashed_at = Some(self.now);
        let Some(engine) = engine else {
            return;
        };
        self.engines[engine].is_crashed = true;
        let uses_engine =
            |sequence: &crate::experiment::Sequence| sequence.engines.contains(&engine);
        let keys: Vec<SequenceKey> = self
            .sequences
            .iter()
            .filter(|(_, sequence)| uses_engine(sequence))
            .map(|(key, _)| key)
            .collect();
        for sequence in keys {
            self.schedule(DETECTION_DELAY, Event::Lost { engine, sequence });
        }
        self.schedule(LEASE_DURATION, Event::LeaseEnd { engine });
    }

    /// Resumes the request after its last token over another route, which replays the generated
    /// tokens.
    pub(crate) fn resume(&mut self, engine: usize, key: SequenceKey) {
        let Some(sequence) = self.sequences.remove(key) else {
            return;
        };
        self.release(&sequence);
        let time = MonotonicTime::from_micros(self.now);
        let server = &self.announced[engine].server;
        self.planners[sequence.entry].failed(time, sequence.flight, Some(server));
        let lost_at = self.now - DETECTION_DELAY;
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
