//! The routes in force at this host, laid out for requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, Revision};
use pollendrift_coordination::configuration::Configuration;
use pollendrift_coordination::routes::RouteTable;
use pollendrift_dialect::{OperatorDialect, RefusalKind};
use tokio::time::sleep;

use super::request::{Refused, refused};
use crate::agreed::AgreedState;
use crate::clock::TimeSource;

/// Advice to a caller of a host that can't tell which routes are in force: an election takes about
/// as long.
const RETRY_UNKNOWN: Duration = Duration::from_millis(500);

/// Time without known routes within which they are likely to be known soon: keepers that all started
/// again have elected a leader by then, also where the first one that was elected was too busy with
/// its start to keep its followers.
const KNOWN_SOON: Duration = Duration::from_secs(4);
/// Longest wait of one request. Callers give up a request that nothing comes back on for 2 s.
const LONGEST_WAIT: Duration = Duration::from_millis(1_600);
/// Longest time without knowing the newest revision after which the routes that are laid out may be
/// old: five looks of the chains, and half of the time in which a change must be in force.
const LONGEST_GAP: Duration = Duration::from_secs(1);
/// Time between two looks of a waiting request.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Lays out the published source each time that it changes.
pub(crate) struct RouteFeed {
    agreed: Arc<dyn AgreedState>,
    dialect: Arc<dyn OperatorDialect>,
    build_state: Arc<Mutex<BuildState>>,
    /// Time after its acceptance in which a change is in force here.
    change_within: Duration,
    /// Since when no routes are known; `None` while some are.
    unknown_since: Mutex<Option<MonotonicTime>>,
}

/// The last routes that were laid out, and the work at the next ones.
struct BuildState {
    last: Option<BuiltTable>,
    /// When the newest revision was last known here.
    known_at: Option<MonotonicTime>,
    /// Revision below which nothing is served any more.
    must_reach: Revision,
    is_working: bool,
}

struct BuiltTable {
    revision: Revision,
    /// The table, or why the source can't be laid out.
    table: Result<Arc<RouteTable>, String>,
}

impl BuildState {
    fn new() -> Self {
        Self {
            last: None,
            known_at: None,
            must_reach: Revision(0),
            is_working: false,
        }
    }

    /// What to serve by while `newest` is in force.
    ///
    /// Failure: a host that was cut off or suspended has old routes, and is told the newest ones as it
    /// comes back. Symptom: it served by the old ones while those were laid out, and a request ran whose
    /// key had been revoked ten seconds before. So a host that did not know the newest revision for
    /// [`LONGEST_GAP`] lays out the one that it finds before it serves again. One revision is enough:
    /// had it to reach each newer one as well, changes that come faster than they are laid out would
    /// keep it from ever serving.
    fn table(&mut self, now: MonotonicTime, newest: Revision) -> Result<Arc<RouteTable>, String> {
        let was_away = self.known_at.is_none_or(|at| now.since(at) >= LONGEST_GAP);
        if was_away {
            self.must_reach = newest;
        }
        self.known_at = Some(now);
        let reached = self.last.as_ref();
        let reached = reached.filter(|last| last.revision >= self.must_reach);
        match reached {
            Some(last) => last.table.clone(),
            None => Err("the routes are being laid out".to_owned()),
        }
    }
}

impl RouteFeed {
    /// A feed of what `agreed` holds.
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
            unknown_since: Mutex::new(Some(MonotonicTime::START)),
        }
    }

    /// The routes to serve by: those of the newest revision that is laid out. A newer one is laid out
    /// on a thread beside the requests, as all streams of a small host would pause for that time. The
    /// host goes on by the older routes meanwhile.
    ///
    /// # Errors
    /// This host can't tell which routes are in force. It says so rather than that there is none.
    pub(super) fn current(&self, now: MonotonicTime) -> Result<Arc<RouteTable>, Refused> {
        let unknown = |reason: String| {
            let refusal = refused(RefusalKind::NotRun, reason);
            refusal.retry_after(RETRY_UNKNOWN)
        };
        let configuration = self
            .agreed
            .configuration()
            .map_err(|stale| unknown(stale.to_string()))?;
        let mut state = lock(&self.build_state);
        let newest = configuration.revision();
        let held = state.last.as_ref().map(|last| last.revision);
        if held < Some(newest) && !state.is_working {
            state.is_working = true;
            self.start_build(configuration);
        }
        state.table(now, newest).map_err(unknown)
    }

    fn start_build(&self, configuration: Arc<Configuration>) {
        let (build_state, dialect) = (Arc::clone(&self.build_state), Arc::clone(&self.dialect));
        tokio::task::spawn_blocking(move || {
            let revision = configuration.revision();
            let table = build_table(dialect.as_ref(), &configuration).map(Arc::new);
            if let Ok(table) = &table {
                log::info!(revision:% = revision, version:% = table.version(); "routes in force");
            }
            let mut state = lock(&build_state);
            state.last = Some(BuiltTable { revision, table });
            state.is_working = false;
        });
    }

    /// The routes to serve by, after a short wait where they are about to be known.
    ///
    /// A host that has just started, or whose keepers are electing a leader, knows the routes a
    /// moment later. Refused meanwhile, callers use up the one retry that many of them have. A host
    /// that has been cut off for longer refuses at once.
    ///
    /// # Errors
    /// As [`RouteFeed::current`].
    pub(super) async fn wait_for_table(
        &self,
        clock: &dyn TimeSource,
    ) -> Result<Arc<RouteTable>, Refused> {
        let arrived = clock.now();
        loop {
            let refused = match self.current(clock.now()) {
                Ok(table) => {
                    self.set_unknown(None);
                    return Ok(table);
                }
                Err(refused) => refused,
            };
            let now = clock.now();
            let since = self.unknown_from(now);
            let is_over = now.since(arrived) >= LONGEST_WAIT;
            if is_over || now.since(since) >= KNOWN_SOON {
                return Err(refused);
            }
            sleep(LOOK_PERIOD).await;
        }
    }

    /// Whether a change may be in force by now that the routes served by do not show.
    ///
    /// Failure: keepers accept a change and are gone before this host asks again. Symptom: it denied
    /// the new route for the rest of its lease, which is as long as a revoked key may be served, and
    /// callers believe that for good. A change that was accepted after the last confirmation is
    /// younger than that confirmation, so within `change_within` of it nothing can be missed.
    pub(super) fn may_be_stale(&self, now: MonotonicTime) -> bool {
        let confirmed_at = self.agreed.confirmed_at();
        self.is_behind() || confirmed_at.is_none_or(|at| now.since(at) >= self.change_within)
    }

    /// Whether other routes than those served by are known to be in force.
    fn is_behind(&self) -> bool {
        if self.agreed.is_behind() {
            return true;
        }
        let newest = self.agreed.configuration();
        let newest = newest.ok().map(|configuration| configuration.revision());
        let state = lock(&self.build_state);
        state.last.as_ref().map(|last| last.revision) < newest
    }

    /// The routes to serve by, once a keeper has confirmed that they are the newest.
    ///
    /// Failure: a change is accepted, and a caller uses its new route or key at a host that does not
    /// have it yet. Symptom: it was told that there is no such route, which it believes for good.
    /// Waiting here, it is served a moment later, or told that it was not run and when to come back.
    ///
    /// # Errors
    /// The host did not catch up within [`LONGEST_WAIT`].
    pub(super) async fn catch_up(
        &self,
        clock: &dyn TimeSource,
    ) -> Result<Arc<RouteTable>, Refused> {
        let until = clock.now().after(LONGEST_WAIT);
        while self.may_be_stale(clock.now()) {
            if clock.now() >= until {
                let reason = "newer routes may be in force than this host knows";
                let refusal = refused(RefusalKind::NotRun, reason);
                return Err(refusal.retry_after(RETRY_UNKNOWN));
            }
            sleep(LOOK_PERIOD).await;
            // Starts to lay out what has come meanwhile.
            let _ = self.current(clock.now());
        }
        self.current(clock.now())
    }

    fn unknown_from(&self, now: MonotonicTime) -> MonotonicTime {
        let mut since = self
            .unknown_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *since.get_or_insert(now)
    }

    fn set_unknown(&self, since: Option<MonotonicTime>) {
        *self
            .unknown_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = since;
    }

    /// Why no routes are known; `None` if some are.
    pub(crate) fn unavailable_reason(&self, now: MonotonicTime) -> Option<String> {
        self.current(now).err().map(|refused| refused.0.reason)
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
        log::error!(version:% = source.version, findings:% = findings; "published routes not readable here");
        "the published routes can't be read here".to_owned()
    })?;
    Ok(RouteTable::build(document))
}

#[cfg(test)]
mod tests;
