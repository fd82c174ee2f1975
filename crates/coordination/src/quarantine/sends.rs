//! Requests that are on engines and whose parts are not proven yet.

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
    sent_at: MonotonicTime,
    /// Time of the first event of the answer.
    began_at: Option<MonotonicTime>,
    /// Whether its parts are suspects of a crash. Other engines of its chain that crash for the same
    /// reason do not make them suspects of several crashes.
    is_blamed: bool,
}

/// Requests of this host that are on engines, until they are proven or end.
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
            is_blamed: false,
        })
    }

    /// Records an event of an answer. Returns the request if that proves its parts; it is no longer in
    /// the table then.
    pub(super) fn record_event(
        &mut self,
        now: MonotonicTime,
        key: SendKey,
        proof_time: Duration,
    ) -> Option<EngineSend> {
        let send = self.sends.get_mut(key)?;
        let began_at = *send.began_at.get_or_insert(now);
        if now.since(began_at) < proof_time {
            return None;
        }
        self.sends.remove(key)
    }

    /// Removes a request; returns it if its answer had begun.
    pub(super) fn end(&mut self, key: SendKey) -> Option<EngineSend> {
        let send = self.sends.remove(key)?;
        send.began_at.is_some().then_some(send)
    }

    pub(super) fn contains(&self, key: SendKey) -> bool {
        self.sends.contains_key(key)
    }

    /// Returns the parts of the requests of `service` on `server`, those of the latest requests first,
    /// once for each request.
    pub(super) fn take_parts_on(
        &mut self,
        service: &ServiceName,
        server: &ServerName,
    ) -> Vec<PartName> {
        let on_server = |send: &&mut EngineSend| {
            !send.is_blamed && send.service == *service && send.engines.contains(server)
        };
        let mut sends: Vec<&mut EngineSend> = self.sends.values_mut().filter(on_server).collect();
        sends.sort_by_key(|send| std::cmp::Reverse(send.sent_at));
        let mut parts = Vec::new();
        for send in sends {
            send.is_blamed = true;
            parts.extend(send.parts.iter().cloned());
        }
        parts
    }
}
