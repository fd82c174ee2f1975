//! Which stage of a silent chain is at fault.
//!
//! A stage that dies is silent: the first engine of the chain only stops to send events, and says
//! nothing of the others for seconds. But many streams run over each engine at a time, and an event
//! of any of them proves every engine of its chain alive. An engine over which nothing was heard is
//! asked itself; only one that does not answer is suspected. A stream that is merely slow, such as
//! one whose request was put back for want of memory, is left alone: sent again, it would read its
//! prompt once more on engines that are short of room already.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{MonotonicTime, ServerName};

/// Doublings of the silence after which an engine is asked again, one for each answer in a row.
const MOST_DOUBLINGS: u32 = 2;

/// When engines are suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct HealthSettings {
    /// Time for an engine's own answer. Within a region it comes in a few milliseconds, and it needs
    /// no slot.
    pub answer_time: Duration,
    /// Time for which a suspected engine is left out, unless an event clears it. Above the time in
    /// which its own heartbeats stop to renew its lease.
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
    /// Streams that run over it.
    streams: u32,
    /// Last event of any of them, or own answer.
    heard_at: Option<MonotonicTime>,
    /// Own answers since the last event.
    answers: u32,
    /// When the answer that is waited for must have come.
    asked_until: Option<MonotonicTime>,
    suspected_at: Option<MonotonicTime>,
    suspected_until: Option<MonotonicTime>,
    /// Whether another host's word has cleared it since this host last heard it.
    is_cleared_by_peer: bool,
    /// Whether nobody listens at its address any more.
    gone: bool,
}

/// What is known of the chain of a silent stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainVerdict {
    /// Engines at fault; the stream is to go on without them.
    pub suspects: Vec<ServerName>,
    /// Whether one of them is gone for certain: the chain can send nothing more.
    pub is_dead: bool,
    /// Engines to ask now whether they are alive; each is named to one asker at a time.
    pub probe: Vec<ServerName>,
}

/// Engines as the streams of one host see them.
#[derive(Clone, Debug, Default)]
pub struct ChainHealth {
    settings: HealthSettings,
    engines: BTreeMap<ServerName, EngineHealth>,
}

impl ChainHealth {
    /// A table without streams.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
        }
    }

    /// Time for an engine's own answer.
    pub fn answer_time(&self) -> Duration {
        self.settings.answer_time
    }

    /// A stream runs over `chain` from now on.
    pub fn started<'a, C>(&mut self, chain: C)
    where
        C: IntoIterator<Item = &'a ServerName>,
    {
        for server in chain {
            self.find(server).streams += 1;
        }
    }

    /// A stream over `chain` ended, however it did.
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
            // A clearing is remembered for as long as a second suspicion may follow from the same cause;
            // for good, engines that left long ago would fill the table.
            let was_cleared = engine.is_cleared_by_peer
                && engine
                    .suspected_at
                    .is_some_and(|at| now.since(at) < suspicion * 2);
            engine.streams > 0 || is_suspected || was_cleared
        });
    }

    /// An engine answered a question of this host: it is alive, whoever holds up its streams.
    pub fn answered(&mut self, now: MonotonicTime, server: &ServerName) {
        let answers = self.find(server).answers.saturating_add(1);
        self.mark_alive(now, [server]);
        self.find(server).answers = answers;
    }

    /// An event came over `chain`: all of it is alive.
    pub fn mark_alive<'a, C>(&mut self, now: MonotonicTime, chain: C)
    where
        C: IntoIterator<Item = &'a ServerName>,
    {
        for server in chain {
            let engine = self.find(server);
            engine.heard_at = Some(now);
            engine.answers = 0;
            engine.asked_until = None;
            engine.suspected_until = None;
            engine.is_cleared_by_peer = false;
            engine.gone = false;
        }
    }

    /// Another host had an answer of an engine at `answered`.
    ///
    /// Failure: this host is short of processor time, and answers that came in time are read too
    /// late. Symptom: within seconds such hosts suspected every engine, and found no whole chain of
    /// engines that were all well. A later answer to another host
    /// clears a suspicion, but once only until this host hears the engine itself: where the path from
    /// here is what is broken, the engine stays left out.
    pub fn cleared_by_peer(&mut self, server: &ServerName, answered: MonotonicTime) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let is_later = engine.suspected_at.is_some_and(|at| answered > at);
        if !is_later || engine.gone || engine.is_cleared_by_peer {
            return;
        }
        engine.is_cleared_by_peer = true;
        engine.suspected_until = None;
    }

    /// Engines that are left out of new chains.
    pub fn suspects(&self, now: MonotonicTime) -> Vec<ServerName> {
        let suspects = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.suspected_until.is_some_and(|until| until > now));
        suspects.map(|(server, _)| server.clone()).collect()
    }

    /// Nobody listens at the address of an engine that was asked: it is left out from now on.
    pub fn mark_unreachable(&mut self, now: MonotonicTime, server: &ServerName) {
        self.unanswered(now, server);
        self.find(server).gone = true;
    }

    /// An engine that was asked did not answer: it is left out of new chains from now on.
    pub fn unanswered(&mut self, now: MonotonicTime, server: &ServerName) {
        let suspicion = self.settings.suspicion;
        let engine = self.find(server);
        engine.asked_until = None;
        engine.suspected_at = Some(now);
        engine.suspected_until = Some(now.after(suspicion));
    }

    /// Judges the chain of a stream that has been silent since `since`; `patience` is the silence
    /// that needs no explanation.
    pub fn diagnose<'a, C>(
        &mut self,
        now: MonotonicTime,
        since: MonotonicTime,
        patience: Duration,
        chain: C,
    ) -> ChainVerdict
    where
        C: IntoIterator<Item = &'a ServerName>,
    {
        let mut verdict = ChainVerdict::default();
        if now.since(since) < patience {
            return verdict;
        }
        let answer_time = self.settings.answer_time;
        for server in chain {
            let engine = self.find(server);
            if engine.suspected_until.is_some_and(|until| until > now) {
                verdict.is_dead |= engine.gone;
                verdict.suspects.push(server.clone());
                continue;
            }
            // One engine that is slow holds up all streams over the others too, which answer each time.
            let patience = patience * (1 << engine.answers.min(MOST_DOUBLINGS));
            let is_quiet = engine
                .heard_at
                .is_none_or(|heard| now.since(heard) >= patience);
            let is_asked = engine.asked_until.is_some_and(|until| until > now);
            if is_quiet && !is_asked {
                engine.asked_until = Some(now.after(answer_time * 2));
                verdict.probe.push(server.clone());
            }
        }
        verdict
    }

    /// Whether an engine is to be left out of new chains.
    pub fn is_suspected(&self, now: MonotonicTime, server: &ServerName) -> bool {
        let engine = self.engines.get(server);
        let until = engine.and_then(|engine| engine.suspected_until);
        until.is_some_and(|until| until > now)
    }

    fn find(&mut self, server: &ServerName) -> &mut EngineHealth {
        self.engines.entry(server.clone()).or_default()
    }
}
