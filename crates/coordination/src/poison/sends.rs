//! Sends of this host, and those of other hosts whose requests have ended servers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use slotmap::{SlotMap, new_key_type};

use super::digest::ContentDigest;
use super::interface::{RunNumber, SendEnd, SendNumber};
use super::notice::LostRequest;
use super::settings::PoisonSettings;
use crate::base::MonotonicTime;
use crate::quarantine::CrashId;

new_key_type! {
    /// Key of a tracked send.
    pub struct TrackedKey;
}

/// A send of a request to one server, or to the servers of one pipeline.
#[derive(Clone, Debug)]
pub(super) struct TrackedSend {
    pub(super) number: SendNumber,
    pub(super) run: RunNumber,
    pub(super) digest: ContentDigest,
    pub(super) servers: Vec<CrashId>,
    pub(super) began_at: MonotonicTime,
    /// Set once the send is over and its servers may still turn out to have ended under it.
    broken_at: Option<MonotonicTime>,
    /// Whether other hosts know of it.
    pub(super) is_told: bool,
}

impl TrackedSend {
    pub(super) fn is_running(&self) -> bool {
        self.broken_at.is_none()
    }

    /// Whether the request was on `id` when that server ended at `at`.
    fn was_on(&self, id: &CrashId, at: MonotonicTime, settings: &PoisonSettings) -> bool {
        let until = self.broken_at.map(|at| at.after(settings.notice_time));
        at >= self.began_at && until.is_none_or(|until| at <= until) && self.servers.contains(id)
    }

    fn lost(&self) -> LostRequest {
        LostRequest {
            digest: self.digest,
            send: self.number,
            servers: u16::try_from(self.servers.len()).unwrap_or(u16::MAX),
        }
    }
}

/// A send of another host.
#[derive(Clone, Debug)]
pub(super) struct RemoteTrial {
    pub(super) digest: ContentDigest,
    pub(super) servers: Vec<CrashId>,
    pub(super) began_at: MonotonicTime,
}

/// Sends that may be on servers now.
#[derive(Clone, Debug, Default)]
pub(super) struct SendTable {
    own: SlotMap<TrackedKey, TrackedSend>,
    trials: BTreeMap<SendNumber, RemoteTrial>,
    /// Sends of other hosts that are over, with the time at which this host learned of it. A late notice
    /// of such a send must not count it as under way again.
    ended: BTreeMap<SendNumber, MonotonicTime>,
    /// The keys of `ended`, the oldest first, and such as have been removed.
    ended_order: VecDeque<SendNumber>,
}

impl SendTable {
    pub(super) fn begin(
        &mut self,
        now: MonotonicTime,
        number: SendNumber,
        run: RunNumber,
        digest: ContentDigest,
        servers: Vec<CrashId>,
    ) -> TrackedKey {
        self.own.insert(TrackedSend {
            number,
            run,
            digest,
            servers,
            began_at: now,
            broken_at: None,
            is_told: false,
        })
    }

    pub(super) fn get(&self, key: TrackedKey) -> Option<&TrackedSend> {
        self.own.get(key)
    }

    /// Ends a send; returns it if it was running.
    pub(super) fn end(
        &mut self,
        now: MonotonicTime,
        key: TrackedKey,
        end: SendEnd,
    ) -> Option<TrackedSend> {
        let send = self.own.get_mut(key).filter(|send| send.is_running())?;
        if end == SendEnd::Broken {
            let ended = send.clone();
            send.broken_at = Some(now);
            return Some(ended);
        }
        self.own.remove(key)
    }

    /// Requests of this host that were on `id` when it ended at `at`.
    pub(super) fn own_requests_on(
        &self,
        id: &CrashId,
        at: MonotonicTime,
        settings: &PoisonSettings,
    ) -> Vec<LostRequest> {
        let own = self.own.values();
        let own = own.filter(|send| send.was_on(id, at, settings));
        own.map(TrackedSend::lost).collect()
    }

    /// Requests of other hosts that were on `id` when it ended at `at`.
    pub(super) fn trials_on(
        &self,
        id: &CrashId,
        at: MonotonicTime,
        settings: &PoisonSettings,
    ) -> Vec<LostRequest> {
        let trials = self.trials.iter().filter(|(_, trial)| {
            at.after(settings.notice_time) >= trial.began_at && trial.servers.contains(id)
        });
        let trials = trials.map(|(send, trial)| LostRequest {
            digest: trial.digest,
            send: *send,
            servers: u16::try_from(trial.servers.len()).unwrap_or(u16::MAX),
        });
        trials.collect()
    }

    /// Requests of this host that are under way.
    pub(super) fn running_requests(&self) -> BTreeSet<ContentDigest> {
        let running = self.own.values().filter(|send| send.is_running());
        running.map(|send| send.digest).collect()
    }

    /// Marks the running sends of a request as told to other hosts; returns those that were not.
    pub(super) fn mark_told(&mut self, digest: ContentDigest) -> Vec<SendNumber> {
        let sends = self.own.values_mut();
        let untold =
            sends.filter(|send| send.digest == digest && send.is_running() && !send.is_told);
        let told = untold.map(|send| {
            send.is_told = true;
            send.number
        });
        told.collect()
    }

    /// Sends of a request that are under way, but for those of `run`: number and time of the begin.
    pub(super) fn under_way(
        &self,
        digest: ContentDigest,
        run: RunNumber,
    ) -> impl Iterator<Item = (SendNumber, MonotonicTime)> {
        let own = self.own.values().filter(move |send| {
            send.digest == digest && send.run != run && send.is_running() && send.is_told
        });
        let own = own.map(|send| (send.number, send.began_at));
        let trials = self.trials.iter();
        let trials = trials.filter(move |(_, trial)| trial.digest == digest);
        own.chain(trials.map(|(number, trial)| (*number, trial.began_at)))
    }

    /// The send `number` of this or another host: the request, its servers and the time of its begin.
    pub(super) fn find(&self, number: SendNumber) -> Option<RemoteTrial> {
        if let Some(trial) = self.trials.get(&number) {
            return Some(trial.clone());
        }
        let mut own = self.own.values();
        let send = own.find(|send| send.number == number && send.is_running())?;
        Some(RemoteTrial {
            digest: send.digest,
            servers: send.servers.clone(),
            began_at: send.began_at,
        })
    }

    /// Sends that other hosts know of, with their requests.
    pub(super) fn told(&self) -> impl Iterator<Item = (SendNumber, ContentDigest)> {
        let own = self.own.values();
        let own = own.filter(|send| send.is_told && send.is_running());
        let trials = self.trials.iter();
        own.map(|send| (send.number, send.digest))
            .chain(trials.map(|(number, trial)| (*number, trial.digest)))
    }

    /// Adds a send of another host; returns whether it is new.
    pub(super) fn add_trial(
        &mut self,
        number: SendNumber,
        trial: RemoteTrial,
        settings: &PoisonSettings,
    ) -> bool {
        let is_own = self.own.values().any(|send| send.number == number);
        let is_known = is_own || self.trials.contains_key(&number);
        if is_known || self.ended.contains_key(&number) || self.trials.len() >= settings.max_trials
        {
            return false;
        }
        self.trials.insert(number, trial);
        true
    }

    /// Records that a send of another host is over; returns whether that is new.
    pub(super) fn end_trial(
        &mut self,
        now: MonotonicTime,
        number: SendNumber,
        settings: &PoisonSettings,
    ) -> bool {
        self.trials.remove(&number);
        if self.ended.insert(number, now).is_some() {
            return false;
        }
        self.ended_order.push_back(number);
        while self.ended_order.len() > settings.max_trials {
            if let Some(oldest) = self.ended_order.pop_front() {
                self.ended.remove(&oldest);
            }
        }
        true
    }

    /// Removes what is too old.
    pub(super) fn forget(&mut self, now: MonotonicTime, settings: &PoisonSettings) {
        self.own.retain(|_, send| {
            let broken_at = send.broken_at;
            broken_at.is_none_or(|at| now.since(at) < settings.notice_time * 2)
        });
        self.trials
            .retain(|_, trial| now.since(trial.began_at) < settings.trial_timeout);
        self.ended
            .retain(|_, at| now.since(*at) < settings.trial_timeout * 2);
    }
}
