//! Which stage of a silent chain is at fault.
//!
//! A stage that dies is silent: the first engine of the chain only stops to send events, and says
//! nothing of the others for seconds. But many streams run over each engine at a time, and an event
//! of any of them proves every engine of its chain alive. So an engine is suspected when all streams
//! over it have fallen silent together, and a stream that is merely slow, such as one whose request
//! was put back for want of memory, is left alone: sent again, it would read its prompt once more on
//! engines that are short of room already.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{MonotonicTime, ServerName};

/// When engines are suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct HealthSettings {
    /// Streams that must be silent together for an early suspicion. One stream alone may be silent
    /// for many reasons.
    pub early_streams: u32,
    /// Events under way when a stage dies may come so much later than those of other streams.
    pub settle: Duration,
    /// Time for which a suspected engine is left out, unless an event clears it. Above the time in
    /// which its own heartbeats stop to renew its lease.
    pub suspicion: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            early_streams: 3,
            settle: Duration::from_millis(40),
            suspicion: Duration::from_secs(6),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct EngineHealth {
    /// Streams that run over it.
    streams: u32,
    /// Last event of any of them.
    heard_at: Option<MonotonicTime>,
    suspected_until: Option<MonotonicTime>,
}

/// Engines as the streams of one host see them.
#[derive(Clone, Debug, Default)]
pub struct ChainHealth {
    settings: HealthSettings,
    engines: BTreeMap<ServerName, EngineHealth>,
}

/// How long a stream has been silent, against what its route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamSilence {
    /// When its last event came, or its request was sent.
    pub since: MonotonicTime,
    /// Silence after which several streams together raise a suspicion.
    pub early: Duration,
    /// Silence after which one stream alone does.
    pub late: Duration,
}

impl ChainHealth {
    /// A table without streams.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
        }
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
        self.engines.retain(|_, engine| {
            let is_suspected = engine.suspected_until.is_some_and(|until| until > now);
            engine.streams > 0 || is_suspected
        });
    }

    /// An event came over `chain`: all of its engines are alive.
    pub fn heard<'a, C>(&mut self, now: MonotonicTime, chain: C)
    where
        C: IntoIterator<Item = &'a ServerName>,
    {
        for server in chain {
            let engine = self.find(server);
            engine.heard_at = Some(now);
            engine.suspected_until = None;
        }
    }

    /// Engines of `chain` that are at fault for the silence of a stream over it; none while it may
    /// only be slow. They are left out of new chains from now on.
    pub fn suspect<'a, C>(
        &mut self,
        now: MonotonicTime,
        silence: StreamSilence,
        chain: C,
    ) -> Vec<ServerName>
    where
        C: IntoIterator<Item = &'a ServerName>,
    {
        let passed = now.since(silence.since);
        if passed < silence.early {
            return Vec::new();
        }
        let settings = self.settings;
        let mut suspects = Vec::new();
        for server in chain {
            let engine = self.find(server);
            let quiet_from = silence.since.after(settings.settle);
            let is_alive = engine.heard_at.is_some_and(|at| at > quiet_from);
            let is_enough = engine.streams >= settings.early_streams || passed >= silence.late;
            if !is_alive && is_enough {
                engine.suspected_until = Some(now.after(settings.suspicion));
                suspects.push(server.clone());
            }
        }
        suspects
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
