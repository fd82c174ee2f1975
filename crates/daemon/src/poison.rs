//! Requests under which servers end, shared by the requests of this host and the frames of other hosts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::Display;
use pollendrift_coordination::base::{MonotonicTime, ServiceName};
use pollendrift_coordination::poison::{
    ContentDigest, LossKind, PoisonDump, PoisonEvent, PoisonNotice, PoisonSettings, PoisonTable,
    PoisonVerdict, RunNumber, SendEnd, StoppedRequest, TrackedKey,
};
use pollendrift_coordination::quarantine::{CrashId, NoticeAudience};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::TimeSource;
use crate::telemetry::MetricRegistry;

/// Time for which a request under which a server has ended waits before it is sent again. Other hosts tell
/// of their sends of it, and of further servers that ended, within it.
const NOTICE_WAIT: Duration = Duration::from_millis(40);
/// Time within which a notice leaves this host.
const FLUSH_TIME: Duration = Duration::from_millis(20);
/// Longest time for which a request waits for the result of its sends by other hosts, and for the keepers'
/// next probes of silent servers.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);
/// Retry delay for a caller whose request is being sent by other hosts.
const RETRY_UNDER_WAY: Duration = Duration::from_secs(2);

/// Decides which requests are not sent any more because servers end under them.
pub(crate) struct PoisonState {
    table: Mutex<PoisonTable>,
    /// Wakes the task that tells other hosts of changes.
    changed: Notify,
    clock: Arc<dyn TimeSource>,
    metrics: Arc<MetricRegistry>,
}

/// Reason why a request is not sent to servers.
#[derive(Clone, Debug, Display)]
pub(crate) enum WithheldRequest {
    /// Servers ended under it.
    #[display("{_0}")]
    Stopped(StoppedRequest),
    /// Servers ended under it, and it is on others now.
    #[display("servers ended under the request, and it is on as many as may still end")]
    UnderWay,
}

impl WithheldRequest {
    /// Time after which the request may be sent.
    pub(crate) fn wait(&self) -> Duration {
        match self {
            Self::Stopped(stopped) => stopped.wait,
            Self::UnderWay => RETRY_UNDER_WAY,
        }
    }
}

impl PoisonState {
    /// Creates a state of a process that has seen no server end. `sends_requests` tells whether it sends
    /// requests to servers; otherwise it only passes on what others tell.
    pub(crate) fn new(
        sends_requests: bool,
        clock: Arc<dyn TimeSource>,
        metrics: Arc<MetricRegistry>,
    ) -> Self {
        let settings = PoisonSettings {
            sends_requests,
            ..PoisonSettings::default()
        };
        let table = PoisonTable::new(settings, rand::random());
        Self {
            table: Mutex::new(table),
            changed: Notify::new(),
            clock,
            metrics,
        }
    }

    /// Whether the end of a server is known.
    pub(crate) fn is_lost(&self, id: &CrashId) -> bool {
        self.table().is_lost(id)
    }

    /// Records that a server of `service` ended, with all requests of this host on it.
    pub(crate) fn record_loss(&self, id: &CrashId, service: &ServiceName, kind: LossKind) {
        let now = self.clock.now();
        // Each stream of a silent engine finds it silent again and again.
        if self.table().is_just_known(now, id, kind) {
            return;
        }
        if !self.is_lost(id) {
            log::info!(server:% = id.server, service:% = service, kind:% = kind; "backend server ended");
        }
        self.update(|table| ((), table.record_loss(now, id, service, kind)));
    }

    /// Records that a server answered.
    pub(crate) fn record_answer(&self, id: &CrashId) {
        let now = self.clock.now();
        self.update(|table| {
            table.record_answer(now, id);
            ((), Vec::new())
        });
    }

    /// Servers that are silent and may be alive, with the time at which that was noticed.
    pub(crate) fn silent_servers(&self) -> Vec<(CrashId, MonotonicTime)> {
        self.table().silent_servers()
    }

    /// Sets the number of servers of each service that take requests.
    pub(crate) fn set_service_sizes(&self, sizes: BTreeMap<ServiceName, u32>) {
        self.table().set_service_sizes(sizes);
    }

    /// Removes what is too old.
    pub(crate) fn tick(&self) {
        let mut table = self.table();
        table.tick(self.clock.now());
        let stopped = u64::try_from(table.stopped_count()).unwrap_or(u64::MAX);
        drop(table);
        self.metrics.set_stopped_requests(stopped);
    }

    /// Applies a notice of a keeper, or of a host without one.
    pub(crate) fn merge(&self, notice: PoisonNotice, is_from_keeper: bool) {
        let now = self.clock.now();
        self.update(|table| ((), table.merge(now, notice, is_from_keeper)));
    }

    /// Resolves when a change must be sent to other hosts.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the changes since the last call for the same audience.
    pub(crate) fn take_changes(&self, audience: NoticeAudience) -> PoisonNotice {
        let mut table = self.table();
        let notice = table.take_changes(self.clock.now(), audience);
        // A notice has a limit; the rest goes into the next one.
        if table.has_changes() {
            self.changed.notify_one();
        }
        notice
    }

    /// Returns what hosts need that have missed changes.
    pub(crate) fn full_notice(&self) -> PoisonNotice {
        self.table().full_notice(self.clock.now())
    }

    /// Returns the state for the dump.
    pub(crate) fn dump(&self) -> PoisonDump {
        self.table().dump(self.clock.now())
    }

    fn update<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut PoisonTable) -> (T, Vec<PoisonEvent>),
    {
        let mut table = self.table();
        let (result, events) = change(&mut table);
        let has_changes = table.has_changes();
        drop(table);
        events.iter().for_each(log_event);
        if has_changes {
            self.changed.notify_one();
        }
        result
    }

    fn table(&self) -> MutexGuard<'_, PoisonTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_event(event: &PoisonEvent) {
    match event {
        PoisonEvent::Lost {
            digest,
            server,
            ends,
            unsure,
            others,
        } => {
            log::info!(content:% = digest, server:% = server, ends = ends, unsure = unsure, others = others; "backend server ended under a request");
        }
        PoisonEvent::Stopped { digest, ends } => {
            log::warn!(content:% = digest, ends = ends; "request stopped: servers end under it");
        }
        PoisonEvent::Cleared { digest } => {
            log::info!(content:% = digest; "request answered under which servers had ended");
        }
    }
}

/// One attempt of a caller, which asks before each of its sends.
pub(crate) struct SendGate {
    state: Arc<PoisonState>,
    digest: ContentDigest,
    run: RunNumber,
    withheld: Option<WithheldRequest>,
}

impl SendGate {
    /// Creates the gate of an attempt at the request `digest`.
    pub(crate) fn new(state: &Arc<PoisonState>, digest: ContentDigest) -> Self {
        Self {
            state: Arc::clone(state),
            digest,
            run: state.table().begin_run(),
            withheld: None,
        }
    }

    /// Waits until the request may be sent; returns false if it must not be sent.
    pub(crate) async fn admit(&mut self) -> bool {
        let began_at = self.state.clock.now();
        loop {
            let now = self.state.clock.now();
            let withheld = match self.verdict(now) {
                PoisonVerdict::Send | PoisonVerdict::Trial => {
                    self.withheld = None;
                    return true;
                }
                PoisonVerdict::Wait if now.since(began_at) < MAX_TRIAL_WAIT => {
                    sleep(NOTICE_WAIT).await;
                    continue;
                }
                PoisonVerdict::Wait => WithheldRequest::UnderWay,
                PoisonVerdict::Stop(stopped) => WithheldRequest::Stopped(stopped),
            };
            log::info!(content:% = self.digest, reason:% = withheld; "request not sent");
            self.state.metrics.record_withheld_request();
            self.withheld = Some(withheld);
            return false;
        }
    }

    /// Waits until other hosts have been told of servers that ended under the request. Its caller may come
    /// back at another host at once, and this one may be gone.
    pub(crate) async fn flush(&self) {
        if self.verdict(self.state.clock.now()) != PoisonVerdict::Send {
            sleep(FLUSH_TIME).await;
        }
    }

    /// Reason why the request was not sent the last time that it was to be.
    pub(crate) fn withheld(&self) -> Option<&WithheldRequest> {
        self.withheld.as_ref()
    }

    /// Whether the request must not be sent to further servers now.
    pub(crate) fn is_closed(&self) -> bool {
        let verdict = self.verdict(self.state.clock.now());
        matches!(verdict, PoisonVerdict::Wait | PoisonVerdict::Stop(_))
    }

    /// Whether servers have certainly ended under the request.
    pub(crate) fn has_ends(&self) -> bool {
        self.state.table().has_ends(self.digest)
    }

    /// Whether the request is not sent any more.
    pub(crate) fn is_stopped(&self) -> bool {
        let now = self.state.clock.now();
        self.state.table().stop_reason(now, self.digest).is_some()
    }

    /// Records that the request is about to be sent to `servers`.
    pub(crate) fn begin(&self, servers: Vec<CrashId>) -> TrackedSend {
        let now = self.state.clock.now();
        let key = self.state.update(|table| {
            (
                table.begin_send(now, self.digest, self.run, servers),
                Vec::new(),
            )
        });
        TrackedSend {
            state: Arc::clone(&self.state),
            key: Some(key),
        }
    }

    fn verdict(&self, now: MonotonicTime) -> PoisonVerdict {
        self.state.table().verdict(now, self.digest, self.run)
    }
}

/// A send that counts as on its servers until it ends. Dropped, it may have been on them until then.
pub(crate) struct TrackedSend {
    state: Arc<PoisonState>,
    key: Option<TrackedKey>,
}

impl TrackedSend {
    /// Waits for the sends of other hosts, if a server has ended under the request; returns false if
    /// they come first.
    pub(crate) async fn await_turn(&self) -> bool {
        let Some(key) = self.key.filter(|key| self.state.table().is_trial(*key)) else {
            return true;
        };
        sleep(NOTICE_WAIT).await;
        self.state.table().has_turn(key)
    }

    /// Records how the send ended.
    pub(crate) fn end(mut self, end: SendEnd) {
        self.record(end);
    }

    fn record(&mut self, end: SendEnd) {
        let now = self.state.clock.now();
        if let Some(key) = self.key.take() {
            self.state
                .update(|table| ((), table.end_send(now, key, end)));
        }
    }
}

impl Drop for TrackedSend {
    fn drop(&mut self) {
        self.record(SendEnd::Broken);
    }
}
