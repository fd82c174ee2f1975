//! Requests that are on engines.

use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::base::{MonotonicTime, PartName, ServerName, ServiceName};

new_key_type! {
    /// Key of a request that is on engines.
    pub struct SendKey;
}

/// A request that is on engines.
#[derive(Clone, Debug)]
pub(super) struct EngineSend {
    pub(super) service: ServiceName,
    pub(super) parts: Arc<[PartName]>,
    engines: Vec<ServerName>,
    pub(super) sent_at: MonotonicTime,
    /// Time of the first event of the answer.
    began_at: Option<MonotonicTime>,
    /// Whether its answer has proven its parts.
    pub(super) is_proven: bool,
    /// Whether its parts are suspects of a crash. Other engines of its chain that crash for the same
    /// reason do not make them suspects of several crashes.
    pub(super) is_blamed: bool,
}

/// Parts of the requests on an engine that crashed, those of the latest requests first, once for each
/// request.
#[derive(Debug, Default)]
pub(super) struct CrashedParts {
    /// Parts of requests whose answers had not proven them.
    pub(super) unproven: Vec<PartName>,
    /// Parts of requests whose answers had begun, with the time of the send.
    pub(super) begun: Vec<(PartName, MonotonicTime)>,
}

/// Requests of this host that are on engines, until they end.
#[derive(Clone, Debug, Default)]
pub(super) struct SendTable {
    sends: SlotMap<SendKey, EngineSend>,
}

impl SendTable {
    pub(super) fn begin(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &Arc<[PartName]>,
        engines: Vec<ServerName>,
    ) -> SendKey {
        self.sends.insert(EngineSend {
            service: service.clone(),
            parts: Arc::clone(parts),
            engines,
            sent_at: now,
            began_at: None,
            is_proven: false,
            is_blamed: false,
        })
    }

    /// Records an event of an answer. Returns the request if that proves its parts, and none before did.
    pub(super) fn record_event(
        &mut self,
        now: MonotonicTime,
        key: SendKey,
        proof_time: Duration,
    ) -> Option<&EngineSend> {
        let send = self.sends.get_mut(key)?;
        let began_at = *send.began_at.get_or_insert(now);
        if send.is_proven || now.since(began_at) < proof_time {
            return None;
        }
        send.is_proven = true;
        Some(send)
    }

    /// Removes a request; returns it if its answer had begun.
    pub(super) fn end(&mut self, key: SendKey) -> Option<EngineSend> {
        let send = self.sends.remove(key)?;
        send.began_at.is_some().then_some(send)
    }

    pub(super) fn get(&self, key: SendKey) -> Option<&EngineSend> {
        self.sends.get(key)
    }

    /// Whether a request is on engines and its parts are not proven by its answer.
    pub(super) fn is_unproven(&self, key: SendKey) -> bool {
        self.sends.get(key).is_some_and(|send| !send.is_proven)
    }

    /// Returns the parts of the requests of `service` on `server`.
    pub(super) fn take_parts_on(
        &mut self,
        service: &ServiceName,
        server: &ServerName,
    ) -> CrashedParts {
        let on_server = |send: &&mut EngineSend| {
            !send.is_blamed && send.service == *service && send.engines.contains(server)
        };
        let mut sends: Vec<&mut EngineSend> = self.sends.values_mut().filter(on_server).collect();
        sends.sort_by_key(|send| std::cmp::Reverse(send.sent_at));
        let mut parts = CrashedParts::default();
        for send in sends {
            send.is_blamed = true;
            if !send.is_proven {
                parts.unproven.extend(send.parts.iter().cloned());
            }
            if send.began_at.is_some() {
                let sent = send.parts.iter().map(|part| (part.clone(), send.sent_at));
                parts.begun.extend(sent);
            }
        }
        parts
    }
}
