//! The route table that this host serves by, built from the published source.
//!
//! The newest revision is the newest that this host knows; the group may already have accepted a
//! later one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, Revision};
use pollendrift_coordination::configuration::Configuration;
use pollendrift_coordination::routes::RouteTable;
use pollendrift_dialect::{OperatorDialect, RefusalKind};
use tokio::time::sleep;

use super::request::{Refused, refused};
use crate::agreed::AgreedState;
use crate::clock::{SystemClock, TimeSource, millis};

/// Retry delay for a caller of a host that does not know which routes are in force: an election
/// takes about as long.
const RETRY_UNAVAILABLE: Duration = Duration::from_millis(500);

/// Time without known routes for which requests wait for them. Keepers that all restarted elect a
/// leader within this time, even if the first leader was too busy starting to keep its followers.
const STARTUP_GRACE: Duration = Duration::from_secs(4);
/// Longest wait of one request. Callers abandon a request that returns nothing for 2 s.
const MAX_WAIT: Duration = Duration::from_millis(1_600);
/// Time without knowing the newest revision after which the built routes may be stale: five updates
/// of the chain table (`CHAIN_TICK`), and half of the time within which a change must be in force.
const ROUTES_MAX_AGE: Duration = Duration::from_secs(1);
/// Time between two polls of a waiting request.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Builds a route table from the published source each time the source changes.
pub(crate) struct RouteTableBuilder {
    agreed: Arc<dyn AgreedState>,
    dialect: Arc<dyn OperatorDialect>,
    build_state: Arc<Mutex<BuildState>>,
    /// Time within which an accepted change is in force on this host.
    change_within: Duration,
    /// Start of the time without known routes; `None` while routes are known.
    unavailable_since: Mutex<Option<MonotonicTime>>,
}

/// The table that was built last, and the state of the next build.
struct BuildState {
    last: Option<BuiltTable>,
    /// Time at which this host last knew the newest revision.
    newest_known_at: Option<MonotonicTime>,
    /// Lowest revision that may be served.
    min_revision: Revision,
    is_building: bool,
}

struct BuiltTable {
    revision: Revision,
    /// Latest known time at which `revision` was the newest: the table contains every change accepted
    /// before it.
    confirmed_at: MonotonicTime,
    /// The table, or the reason why the source can't be built.
    table: Result<Arc<RouteTable>, String>,
}

impl BuildState {
    fn new() -> Self {
        Self {
            last: None,
            newest_known_at: None,
            min_revision: Revision(0),
            is_building: false,
        }
    }

    /// Returns the table to serve by while `newest` is in force.
    ///
    /// A host that was disconnected or suspended has old routes, and receives the newest ones when
    /// it comes back. If it served by the old routes while it builds the new ones, a request could
    /// run with a key that was revoked ten seconds before. A host that did not know the newest
    /// revision for [`ROUTES_MAX_AGE`] therefore builds the revision that it finds before it serves
    /// again. It waits for that one revision only: if it also had to reach each newer one, changes
    /// that arrive faster than it builds them would keep it from ever serving.
    fn table(&mut self, now: MonotonicTime, newest: Revision) -> Result<Arc<RouteTable>, String> {
        let was_stale = self
            .newest_known_at
            .is_none_or(|at| now.since(at) >= ROUTES_MAX_AGE);
        if was_stale {
            self.min_revision = newest;
        }
        self.newest_known_at = Some(now);
        let reached = self.last.as_ref();
        let reached = reached.filter(|last| last.revision >= self.min_revision);
        match reached {
            Some(last) => last.table.clone(),
            None => Err("the routes are being laid out".to_owned()),
        }
    }

    /// Records that `newest` was the newest revision at `confirmed_at`.
    fn confirm(&mut self, newest: Revision, confirmed_at: MonotonicTime) {
        if let Some(last) = self.last.as_mut().filter(|last| last.revision == newest) {
            last.confirmed_at = last.confirmed_at.max(confirmed_at);
        }
    }

    /// Whether a change that the built table lacks should be in force by now, `change_within` after it
    /// was accepted. `newest` is the newest revision that this host holds; `is_behind` states that
    /// there is a newer one.
    fn is_overdue(
        &self,
        now: MonotonicTime,
        newest: Revision,
        is_behind: bool,
        change_within: Duration,
    ) -> bool {
        self.last.as_ref().is_some_and(|last| {
            let is_superseded = is_behind || last.revision < newest;
            is_superseded && now.since(last.confirmed_at) >= change_within
        })
    }
}

impl RouteTableBuilder {
    /// Creates a feed of the configuration in `agreed`, without a table and with no build running.
    pub(crate) fn new(
        agreed: Arc<dyn AgreedState>,
        dialect: Arc<dyn OperatorDialect>,
        change_within: Duration,
    ) -> Self {
        Self {
            agreed,
            dialect,
            change_within,
            build_state: Arc::new(Mutex::new(BuildState::new())),
            unavailable_since: Mutex::new(Some(MonotonicTime::START)),
        }
    }

    /// Returns the table of the newest revision that is built.
    ///
    /// Starts to build a newer revision on a separate thread, since all streams of a small host
    /// would pause during the build. The host serves by the older table until then, but not beyond the
    /// time within which the change must be in force.
    ///
    /// # Errors
    /// This host does not know which routes are in force, or has not built them in time. The refusal
    /// says so instead of denying that the route exists.
    pub(super) fn current(&self, now: MonotonicTime) -> Result<Arc<RouteTable>, Refused> {
        let unavailable = |reason: String| {
            let refusal = refused(RefusalKind::NotRun, reason);
            refusal.retry_after(RETRY_UNAVAILABLE)
        };
        // Read before the configuration: an answer that arrives in between confirms a later revision.
        let confirmed_at = self.agreed.confirmed_at().unwrap_or(MonotonicTime::START);
        let is_behind = self.agreed.is_behind();
        let configuration = self
            .agreed
            .configuration()
            .map_err(|stale| unavailable(stale.to_string()))?;
        let mut state = lock(&self.build_state);
        let newest = configuration.revision();
        let built_revision = state.last.as_ref().map(|last| last.revision);
        if built_revision < Some(newest) && !state.is_building {
            state.is_building = true;
            self.start_build(configuration, confirmed_at);
        }
        let table = state.table(now, newest).map_err(unavailable)?;
        state.confirm(newest, confirmed_at);
        if state.is_overdue(now, newest, is_behind, self.change_within) {
            let reason = "newer routes are in force than those that this host has";
            return Err(unavailable(reason.to_owned()));
        }
        Ok(table)
    }

    /// Starts to build the table of `configuration`, which was the newest at `confirmed_at`.
    fn start_build(&self, configuration: Arc<Configuration>, confirmed_at: MonotonicTime) {
        let (build_state, dialect) = (Arc::clone(&self.build_state), Arc::clone(&self.dialect));
        let clock = SystemClock::default();
        tokio::task::spawn_blocking(move || {
            let revision = configuration.revision();
            let table = build_table(dialect.as_ref(), &configuration).map(Arc::new);
            if let Ok(table) = &table {
                // A clock that starts at the request of the build shows the wait for a thread too.
                log::info!(revision:% = revision, version:% = table.version(),
                    build_ms = millis(clock.now().since(MonotonicTime::START)); "route table built");
            }
            let mut state = lock(&build_state);
            state.last = Some(BuiltTable {
                revision,
                confirmed_at,
                table,
            });
            state.is_building = false;
        });
    }

    /// Returns the table to serve by; waits for it for a short time if it may soon be known.
    ///
    /// A host that has just started, or whose keepers are electing a leader, knows the routes a
    /// moment later. An early refusal would use up the only retry that many callers have. A host
    /// that has been disconnected from the keepers for longer than [`STARTUP_GRACE`] refuses at
    /// once.
    ///
    /// # Errors
    /// As [`RouteTableBuilder::current`].
    pub(super) async fn wait_for_table(
        &self,
        clock: &dyn TimeSource,
    ) -> Result<Arc<RouteTable>, Refused> {
        let arrived = clock.now();
        loop {
            let refused = match self.current(clock.now()) {
                Ok(table) => {
                    self.set_unavailable_since(None);
                    return Ok(table);
                }
                Err(refused) => refused,
            };
            let now = clock.now();
            let since = self.unavailable_from(now);
            let has_timed_out = now.since(arrived) >= MAX_WAIT;
            if has_timed_out || now.since(since) >= STARTUP_GRACE {
                return Err(refused);
            }
            sleep(POLL_PERIOD).await;
        }
    }

    /// Whether a change may be in force that the current table does not contain.
    ///
    /// Keepers may accept a change and fail before this host asks again. Without this check, the
    /// host would deny the new route for the rest of its lease, which is as long as it may serve a
    /// revoked key, and callers treat that refusal as permanent. Only a change accepted after the
    /// last confirmation can be missing, so none is overdue within `change_within` of the
    /// confirmation.
    pub(super) fn may_be_stale(&self, now: MonotonicTime) -> bool {
        let confirmed_at = self.agreed.confirmed_at();
        self.is_behind() || confirmed_at.is_none_or(|at| now.since(at) >= self.change_within)
    }

    /// Whether a newer revision than that of the current table is known to be in force.
    fn is_behind(&self) -> bool {
        if self.agreed.is_behind() {
            return true;
        }
        let newest = self.agreed.configuration();
        let newest = newest.ok().map(|configuration| configuration.revision());
        let state = lock(&self.build_state);
        state.last.as_ref().map(|last| last.revision) < newest
    }

    /// Waits until a keeper confirms that the table is the newest, and returns the table.
    ///
    /// After a change is accepted, a caller may use its new route or key on a host that does not
    /// have the change yet. Without the wait, the host would answer that the route does not exist,
    /// which callers treat as permanent. After the wait the host either serves the request or
    /// answers that the request did not run, with the time after which to retry.
    ///
    /// # Errors
    /// The host did not catch up within [`MAX_WAIT`].
    pub(super) async fn catch_up(
        &self,
        clock: &dyn TimeSource,
    ) -> Result<Arc<RouteTable>, Refused> {
        let until = clock.now().after(MAX_WAIT);
        while self.may_be_stale(clock.now()) {
            if clock.now() >= until {
                let reason = "newer routes may be in force than this host knows";
                let refusal = refused(RefusalKind::NotRun, reason);
                return Err(refusal.retry_after(RETRY_UNAVAILABLE));
            }
            sleep(POLL_PERIOD).await;
            // Starts to build a revision that arrived during the wait.
            let _ = self.current(clock.now());
        }
        self.current(clock.now())
    }

    fn unavailable_from(&self, now: MonotonicTime) -> MonotonicTime {
        let mut since = self
            .unavailable_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *since.get_or_insert(now)
    }

    fn set_unavailable_since(&self, since: Option<MonotonicTime>) {
        *self
            .unavailable_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = since;
    }

    /// Returns the reason why no routes are known; `None` if routes are known.
    pub(crate) fn unavailable_reason(&self, now: MonotonicTime) -> Option<String> {
        self.current(now)
            .err()
            .map(|refused| refused.refusal.reason)
    }
}

fn lock(state: &Mutex<BuildState>) -> MutexGuard<'_, BuildState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn build_table(
    dialect: &dyn OperatorDialect,
    configuration: &Configuration,
) -> Result<RouteTable, String> {
    let source = configuration.source();
    let source = source.ok_or("no routes were published yet")?;
    let document = dialect.read_document(source.text.as_bytes());
    let document = document.map_err(|findings| {
        log::error!(version:% = source.version, findings:% = findings; "published routes can't be decoded");
        "the published routes can't be read here".to_owned()
    })?;
    Ok(RouteTable::build(document))
}

#[cfg(test)]
mod tests;
