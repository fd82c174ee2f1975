//! Survey results: the state of all engines, probed by one host and shared with the others.
//!
//! An entry (the reverse proxy part of a daemon) knows only the load that it causes itself, which
//! is a small part of the load if there are many entries. Keepers divide the engines among
//! themselves, probe each engine a few times per second and send the results to all entries. Thus
//! all entries use the same data, and each engine is probed once rather than once per entry.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{Incarnation, MonotonicTime, ServerName};

/// Maximum age of a valid survey result; a few survey intervals.
const MAX_AGE: Duration = Duration::from_secs(2);

/// State that an engine reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// KV memory in use, in tokens across the held layers.
    pub kv_tokens: u64,
    /// Processing time of the engine, in percent of the usual time of its kind; 100 is usual.
    pub slowness: u32,
}

/// Result of a survey for one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurveyResult {
    /// Name of the engine.
    pub server: ServerName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its state; `None` if it did not answer.
    pub load: Option<EngineLoad>,
    /// Time since the engine answered, or since its answer was due.
    pub age: Duration,
}

/// The latest survey result of an engine, as stored in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SurveyedEngine {
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Its state; `None` if it did not answer.
    pub load: Option<EngineLoad>,
    /// When the engine answered, or when its answer was due.
    pub measured_at: MonotonicTime,
    /// Number of consecutive results without an answer.
    pub missed: u32,
}

/// The latest survey result of each engine.
#[derive(Clone, Debug, Default)]
pub struct SurveyTable {
    engines: BTreeMap<ServerName, SurveyedEngine>,
}

impl SurveyTable {
    /// Merges results. A result that is not newer than the stored one is ignored, and results older
    /// than `MAX_AGE` are removed.
    pub fn merge(&mut self, now: MonotonicTime, results: Vec<SurveyResult>) {
        for result in results {
            let measured_at = now.before(result.age);
            let stored = self.engines.get(&result.server);
            if stored.is_some_and(|stored| stored.measured_at >= measured_at) {
                continue;
            }
            let missed = match (result.load, stored) {
                (Some(_), _) => 0,
                (None, Some(stored)) if stored.incarnation == result.incarnation => {
                    stored.missed + 1
                }
                (None, _) => 1,
            };
            let surveyed = SurveyedEngine {
                incarnation: result.incarnation,
                load: result.load,
                measured_at,
                missed,
            };
            self.engines.insert(result.server, surveyed);
        }
        self.engines
            .retain(|_, engine| now.since(engine.measured_at) < MAX_AGE);
    }

    /// Returns the result for this incarnation of an engine, if it is still valid at `now`.
    pub fn get(
        &self,
        now: MonotonicTime,
        server: &ServerName,
        incarnation: Incarnation,
    ) -> Option<SurveyedEngine> {
        let engine = self.engines.get(server)?;
        let is_valid = engine.incarnation == incarnation && now.since(engine.measured_at) < MAX_AGE;
        is_valid.then_some(*engine)
    }
}
