//! Quarantine of prompt parts that crash engines, shared by the requests of this host and the frames of
//! other hosts.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pollendrift_coordination::base::{
    HostName, MonotonicTime, PartName, ServerName, ServiceName, VersionName,
};
use pollendrift_coordination::quarantine::{
    Admission, CrashId, HeldRequest, NoticeAudience, PartDigest, PartVerdict, QuarantineDump,
    QuarantineEvent, QuarantineNotice, QuarantineSettings, QuarantineTable, SendKey,
};
use tokio::sync::Notify;

use crate::clock::TimeSource;
use crate::telemetry::MetricRegistry;

/// Decides which requests are held back because engines crash under a part of their prompts.
pub(crate) struct QuarantineState {
    table: Mutex<QuarantineTable>,
    /// Whether answers may have to be cut. Read at each event of each answer, without the lock.
    has_cuts: AtomicBool,
    /// Wakes the task that tells other hosts of urgent changes.
    changed: Notify,
    clock: Arc<dyn TimeSource>,
    metrics: Arc<MetricRegistry>,
}

impl QuarantineState {
    /// Creates a state for `host` that has seen no crash.
    pub(crate) fn new(
        host: &HostName,
        clock: Arc<dyn TimeSource>,
        metrics: Arc<MetricRegistry>,
    ) -> Self {
        let table = QuarantineTable::new(QuarantineSettings::default(), host.as_str());
        Self {
            table: Mutex::new(table),
            has_cuts: AtomicBool::new(false),
            changed: Notify::new(),
            clock,
            metrics,
        }
    }

    /// Decides whether a request may be sent to engines now. `test` is the begin of the test that it
    /// is, if it was admitted as one.
    pub(crate) fn admit(
        &self,
        service: &ServiceName,
        parts: &[PartName],
        test: Option<MonotonicTime>,
    ) -> Admission {
        if parts.is_empty() {
            return Admission::Send;
        }
        let now = self.clock.now();
        self.update(|table| (table.admit(now, service, parts, test), Vec::new()))
    }

    /// Returns the reason why a request must not be sent to further engines now.
    pub(crate) fn held(
        &self,
        service: &ServiceName,
        parts: &[PartName],
        test: Option<MonotonicTime>,
    ) -> Option<HeldRequest> {
        let now = self.clock.now();
        self.table().held(now, service, parts, test)
    }

    /// Ends a test without a result.
    pub(crate) fn cancel_test(
        &self,
        service: &ServiceName,
        parts: &[PartName],
        began_at: MonotonicTime,
    ) {
        self.table().cancel_test(service, parts, began_at);
    }

    /// Whether no host is known to have got an answer to one of `parts` lately.
    pub(crate) fn has_unproven_part(&self, service: &ServiceName, parts: &[PartName]) -> bool {
        let now = self.clock.now();
        !parts.is_empty() && self.table().unproven_part(now, service, parts).is_some()
    }

    /// Returns the first unproven part of a request that is to be kept together with others of the same
    /// part.
    pub(crate) fn rare_unproven_part(
        &self,
        service: &ServiceName,
        parts: &[PartName],
    ) -> Option<PartDigest> {
        if parts.is_empty() {
            return None;
        }
        let now = self.clock.now();
        self.table().rare_unproven_part(now, service, parts)
    }

    /// Records that a request was sent to `engines`.
    pub(crate) fn record_sent(
        &self,
        service: &ServiceName,
        parts: &Arc<[PartName]>,
        engines: Vec<ServerName>,
    ) -> SendKey {
        let now = self.clock.now();
        self.table().record_sent(now, service, parts, engines)
    }

    /// Records an event of the answer to a request. Returns whether the request is proven, so that
    /// later events need not be recorded.
    pub(crate) fn record_event(&self, send: SendKey) -> bool {
        let now = self.clock.now();
        self.update(|table| {
            let events = table.record_event(now, send);
            (!table.is_unproven(send), events)
        })
    }

    /// Returns the reason why the answer to a request must be cut, if there is one.
    pub(crate) fn cut(&self, send: SendKey) -> Option<HeldRequest> {
        if !self.has_cuts.load(Ordering::Relaxed) {
            return None;
        }
        self.table().cut(self.clock.now(), send)
    }

    /// Whether the engine of a request is known to have crashed, or the request has ended.
    pub(crate) fn is_blamed(&self, send: SendKey) -> bool {
        self.table().is_blamed(send)
    }

    /// Records the end of a request on its engines; `is_complete` if its whole answer came.
    pub(crate) fn record_ended(&self, send: SendKey, is_complete: bool) {
        let now = self.clock.now();
        self.update(|table| ((), table.record_ended(now, send, is_complete)));
    }

    /// Records that an engine crashed, with all requests of this host on it.
    pub(crate) fn record_crash(
        &self,
        id: &CrashId,
        service: &ServiceName,
        version: Option<VersionName>,
    ) {
        let now = self.clock.now();
        self.update(|table| ((), table.record_crash(now, id, service, version)));
    }

    /// Removes what is too old; `hosts` is the number of hosts that send requests to engines.
    pub(crate) fn tick(&self, hosts: Option<u32>) {
        let now = self.clock.now();
        let mut table = self.table();
        if let Some(hosts) = hosts {
            table.set_hosts(hosts);
        }
        table.tick(now);
        self.has_cuts.store(table.has_cuts(), Ordering::Relaxed);
        let suspects = u64::try_from(table.suspect_count(now)).unwrap_or(u64::MAX);
        drop(table);
        self.metrics.set_suspected_parts(suspects);
    }

    /// Removes the crashes on versions of a service's model that no engine holds any more.
    pub(crate) fn retain_versions(&self, service: &ServiceName, held: &BTreeSet<VersionName>) {
        self.table().retain_versions(service, held);
    }

    /// Applies a notice of a keeper, or of a host without one.
    pub(crate) fn merge(&self, notice: QuarantineNotice, is_from_keeper: bool) {
        let now = self.clock.now();
        self.update(|table| ((), table.merge(now, notice, is_from_keeper)));
    }

    /// Resolves when a change must be sent to other hosts at once.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the changes since the last call for the same audience.
    pub(crate) fn take_changes(&self, audience: NoticeAudience) -> QuarantineNotice {
        self.table().take_changes(self.clock.now(), audience)
    }

    /// Returns everything that concerns suspected parts.
    pub(crate) fn full_notice(&self) -> QuarantineNotice {
        self.table().full_notice(self.clock.now())
    }

    /// Returns the state for the dump.
    pub(crate) fn dump(&self) -> QuarantineDump {
        self.table().dump(self.clock.now())
    }

    fn update<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut QuarantineTable) -> (T, Vec<QuarantineEvent>),
    {
        let mut table = self.table();
        let (result, events) = change(&mut table);
        let is_urgent = table.has_urgent_changes();
        self.has_cuts.store(table.has_cuts(), Ordering::Relaxed);
        for event in &events {
            self.log_event(event, &table.engines_under(&event.part));
        }
        drop(table);
        if is_urgent {
            self.changed.notify_one();
        }
        result
    }

    fn log_event(&self, event: &QuarantineEvent, engines: &[ServerName]) {
        let engines: Vec<&str> = engines.iter().map(ServerName::as_str).collect();
        let engines = engines.join(" ");
        let part = &event.part;
        match event.verdict {
            PartVerdict::Suspected { crashes, rounds } => {
                log::warn!(part:% = part.part, service:% = part.service, crashes = crashes, rounds = rounds,
                    engines = engines.as_str(); "prompt part suspected: engines crashed under it");
                self.metrics.record_part_verdict("suspected");
            }
            PartVerdict::Sound => {
                log::info!(part:% = part.part, service:% = part.service, engines = engines.as_str(); "prompt part cleared: engines answer it");
                self.metrics.record_part_verdict("cleared");
            }
        }
    }

    fn table(&self) -> MutexGuard<'_, QuarantineTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
