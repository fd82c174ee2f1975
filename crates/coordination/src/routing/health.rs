//! Finds the failed stage of a silent pipeline.
//!
//! A stage that fails is silent: the first engine of the pipeline stops sending events and reports
//! nothing about the other engines for seconds. Each engine serves many streams at a time, and an
//! event of any stream proves that every engine of its pipeline is alive. An engine without recent
//! events is probed, and only an engine that does not answer the probe is suspected. A stream that
//! is only slow, for example because its request was preempted for lack of memory, is not moved: a
//! retry would repeat its prefill on engines that are short of memory already.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{MonotonicTime, ServerName};

/// Maximum number of doublings of the silence timeout before the next probe. Each consecutive
/// answer adds one doubling.
const MAX_DOUBLINGS: u32 = 2;

/// Timeouts for suspecting an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct HealthSettings {
    /// Time within which an engine must answer a probe. Within a region an answer takes a few
    /// milliseconds and does not wait for a batch slot of the engine.
    pub answer_time: Duration,
    /// Time for which a suspected engine is excluded, unless an event clears it. It is longer than
    /// the time after which a failed engine's heartbeats no longer renew its lease.
    pub suspicion: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            answer_time: Duration::from_millis(80),
            suspicion: Duration::from_secs(6),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct EngineHealth {
    /// Number of streams over this engine.
    streams: u32,
    /// Time of the last event of any of these streams, or of the last probe answer.
    last_seen_at: Option<MonotonicTime>,
    /// Probe answers since the last event.
    probe_answers: u32,
    /// Time until which the pending probe blocks another probe of the engine.
    probe_blocked_until: Option<MonotonicTime>,
    suspected_at: Option<MonotonicTime>,
    suspected_until: Option<MonotonicTime>,
    /// Whether an answer of the engine to another host has cleared the suspicion since this host
    /// last saw the engine alive.
    is_cleared_by_peer: bool,
    /// Whether nothing listens at the engine's address.
    is_unreachable: bool,
}

/// Diagnosis of the pipeline of a silent stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainVerdict {
    /// Suspected engines; the stream must continue without them.
    pub suspects: Vec<ServerName>,
    /// Whether one of the suspects is unreachable, so that the pipeline cannot send any more
    /// events.
    pub is_dead: bool,
    /// Engines to probe now. Each engine is assigned to one requester at a time.
    pub probe: Vec<ServerName>,
}

/// Liveness of engines, observed through the streams of one host.
#[derive(Clone, Debug, Default)]
pub struct ChainHealth {
    settings: HealthSettings,
    engines: BTreeMap<ServerName, EngineHealth>,
}

impl ChainHealth {
    /// Creates an empty table with these timeouts.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
        }
    }

    /// Time within which an engine must answer a probe.
    pub fn answer_time(&self) -> Duration {
        self.settings.answer_time
    }

    /// Records the start of a stream over `chain`.
    pub fn started<'a, C>(&mut self, chain: C)
    where
        C: IntoIterator<Item = &'a ServerName>,
    {
        for server in chain {
            self.find(server).streams += 1;
        }
    }

    /// Records the end of a stream over `chain`, whether it succeeded or failed.
    pub fn ended<'a, C>(&mut self, now: MonotonicTime, chain: C)
    where
        C: IntoIterator<Item = &'a ServerName>,
    {
        for server in chain {
            let engine = self.find(server);
            engine.streams = engine.streams.saturating_sub(1);
        }
        let suspicion = self.settings.suspicion;
        self.engines.retain(|_, engine| {
            let is_suspected = engine.suspected_until.is_some_and(|until| until > now);
            // Keeps the record of a cleared suspicion for as long as the same cause can raise a
            // second one. Without a time limit, engines that left long ago would fill the table.
            let was_cleared = engine.is_cleared_by_peer
                && engine
                    .suspected_at
                    .is_some_and(|at| now.since(at) < suspicion * 2);
            engine.streams > 0 || is_suspected || was_cleared
        });
    }

    /// Records a probe answer: the engine is alive even if its streams are stalled.
    pub fn answered(&mut self, now: MonotonicTime, server: &ServerName) {
        let probe_answers = self.find(server).probe_answers.saturating_add(1);
        self.mark_alive(now, [server]);
        self.find(server).probe_answers = probe_answers;
    }

    /// Records an event of a stream over `chain`: all engines of the pipeline are alive.
    pub fn mark_alive<'a, C>(&mut self, now: MonotonicTime, chain: C)
    where
        C: IntoIterator<Item = &'a ServerName>,
    {
        for server in chain {
            let engine = self.find(server);
            engine.last_seen_at = Some(now);
            engine.probe_answers = 0;
            engine.probe_blocked_until = None;
            engine.suspected_until = None;
            engine.is_cleared_by_peer = false;
            engine.is_unreachable = false;
        }
    }

    /// Records that another host received an answer of the engine at `answered`.
    ///
    /// A host that is short of CPU time reads answers too late that arrived in time. Within seconds
    /// such a host would suspect every engine and find no complete pipeline, although all engines
    /// are healthy. A later answer to another host therefore clears a suspicion, but only once
    /// until this host sees the engine alive itself: if the network path from this host is broken,
    /// the engine stays excluded.
    pub fn cleared_by_peer(&mut self, server: &ServerName, answered: MonotonicTime) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let is_later = engine.suspected_at.is_some_and(|at| answered > at);
        if !is_later || engine.is_unreachable || engine.is_cleared_by_peer {
            return;
        }
        engine.is_cleared_by_peer = true;
        engine.suspected_until = None;
    }

    /// Ends all suspicions, because this host could reach no engine while they arose.
    pub fn clear_suspicions(&mut self) {
        for engine in self.engines.values_mut() {
            engine.suspected_until = None;
            engine.is_cleared_by_peer = false;
            engine.is_unreachable = false;
            engine.probe_blocked_until = None;
        }
    }

    /// Returns the engines to exclude from new pipelines.
    pub fn suspects(&self, now: MonotonicTime) -> Vec<ServerName> {
        let suspects = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.suspected_until.is_some_and(|until| until > now));
        suspects.map(|(server, _)| server.clone()).collect()
    }

    /// Records that nothing listens at the address of a probed engine, and suspects the engine.
    pub fn mark_unreachable(&mut self, now: MonotonicTime, server: &ServerName) {
        self.unanswered(now, server);
        self.find(server).is_unreachable = true;
    }

    /// Records that an engine did not answer a probe, and suspects it from `now` on.
    pub fn unanswered(&mut self, now: MonotonicTime, server: &ServerName) {
        let suspicion = self.settings.suspicion;
        let engine = self.find(server);
        engine.probe_blocked_until = None;
        engine.suspected_at = Some(now);
        engine.suspected_until = Some(now.after(suspicion));
    }

    /// Diagnoses the pipeline of a stream that has been silent since `since`. A silence shorter
    /// than `silence_timeout` yields an empty verdict.
    pub fn diagnose<'a, C>(
        &mut self,
        now: MonotonicTime,
        since: MonotonicTime,
        silence_timeout: Duration,
        chain: C,
    ) -> ChainVerdict
    where
        C: IntoIterator<Item = &'a ServerName>,
    {
        let mut verdict = ChainVerdict::default();
        if now.since(since) < silence_timeout {
            return verdict;
        }
        let answer_time = self.settings.answer_time;
        for server in chain {
            let engine = self.find(server);
            if engine.suspected_until.is_some_and(|until| until > now) {
                verdict.is_dead |= engine.is_unreachable;
                verdict.suspects.push(server.clone());
                continue;
            }
            // A slow engine also stalls the streams over the other engines of its pipelines. These
            // answer every probe, so each answer doubles the timeout until the next one.
            let silence_timeout = silence_timeout * (1 << engine.probe_answers.min(MAX_DOUBLINGS));
            let is_quiet = engine
                .last_seen_at
                .is_none_or(|last_seen| now.since(last_seen) >= silence_timeout);
            let is_probe_pending = engine.probe_blocked_until.is_some_and(|until| until > now);
            if is_quiet && !is_probe_pending {
                engine.probe_blocked_until = Some(now.after(answer_time * 2));
                verdict.probe.push(server.clone());
            }
        }
        verdict
    }

    /// Whether an engine is currently excluded from new pipelines.
    pub fn is_suspected(&self, now: MonotonicTime, server: &ServerName) -> bool {
        let engine = self.engines.get(server);
        let until = engine.and_then(|engine| engine.suspected_until);
        until.is_some_and(|until| until > now)
    }

    fn find(&mut self, server: &ServerName) -> &mut EngineHealth {
        self.engines.entry(server.clone()).or_default()
    }
}
