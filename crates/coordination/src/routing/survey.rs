//! What one host learned by asking all engines, and tells the others.
//!
//! An entry knows the load that it makes itself; with many entries that is a small part. Keepers share
//! the engines out, ask each for its state a few times a second and tell all entries, so that they choose
//! by the same figures and engines are asked once, not once for each entry.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{Incarnation, MonotonicTime, ServerName};

/// Age beyond which nothing told of an engine is believed: a few surveys.
const MAX_AGE: Duration = Duration::from_secs(2);

/// State of an engine, as it told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Request memory in use, in tokens over the layers held.
    pub kv_tokens: u64,
    /// How slow it is, in percent of its kind's usual time; 100 is usual.
    pub slowness: u32,
}

/// What a survey found of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurveyResult {
    /// The engine.
    pub server: ServerName,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Its state; `None` if it did not answer.
    pub load: Option<EngineLoad>,
    /// Time since it answered, or should have.
    pub age: Duration,
}

/// A note as it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SurveyedEngine {
    /// Life of the engine's process.
    pub incarnation: Incarnation,
    /// Its state; `None` if it did not answer.
    pub load: Option<EngineLoad>,
    /// When it answered, or should have.
    pub taken: MonotonicTime,
    /// Notes in a row without an answer.
    pub missed: u32,
}

/// Notes of the latest surveys.
#[derive(Clone, Debug, Default)]
pub struct SurveyTable {
    engines: BTreeMap<ServerName, SurveyedEngine>,
}

impl SurveyTable {
    /// Takes notes; one that is older than what is held changes nothing.
    pub fn merge(&mut self, now: MonotonicTime, notes: Vec<SurveyResult>) {
        for note in notes {
            let taken = now.before(note.age);
            let held = self.engines.get(&note.server);
            if held.is_some_and(|held| held.taken >= taken) {
                continue;
            }
            let missed = match (note.load, held) {
                (Some(_), _) => 0,
                (None, Some(held)) if held.incarnation == note.incarnation => held.missed + 1,
                (None, _) => 1,
            };
            let surveyed = SurveyedEngine {
                incarnation: note.incarnation,
                load: note.load,
                taken,
                missed,
            };
            self.engines.insert(note.server, surveyed);
        }
        self.engines
            .retain(|_, engine| now.since(engine.taken) < MAX_AGE);
    }

    /// What is known of an engine's life at `now`.
    pub fn get(
        &self,
        now: MonotonicTime,
        server: &ServerName,
        incarnation: Incarnation,
    ) -> Option<SurveyedEngine> {
        let engine = self.engines.get(server)?;
        let is_good = engine.incarnation == incarnation && now.since(engine.taken) < MAX_AGE;
        is_good.then_some(*engine)
    }
}
