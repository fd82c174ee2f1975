//! Tests of the selection of a route table while a newer one is being built.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Response};
use pollendrift_coordination::base::{FindingList, Incarnation, MonotonicTime, Revision};
use pollendrift_coordination::claims::{ClaimScope, KnownClaim};
use pollendrift_coordination::configuration::{
    Configuration, ParsedConfiguration, PublishedSource, source_document,
};
use pollendrift_coordination::replicated::ReplicatedCommand;
use pollendrift_coordination::routes::{CallerBounds, RouteDocument, SourceVersion};
use pollendrift_dialect::{OperatorCall, OperatorDialect, OperatorReply};

use super::{BuildState, BuiltTable, Refused, RouteTableBuilder};
use crate::agreed::{AgreedState, StaleConfiguration, SubmitFuture};
use crate::keeper::SubmitError;

/// Time within which a change must be in force.
const CHANGE_WITHIN: Duration = Duration::from_secs(2);

fn built_table(revision: u64) -> BuiltTable {
    BuiltTable {
        revision: Revision(revision),
        confirmed_at: MonotonicTime::START,
        // An error text identifies the table in the snapshot.
        table: Err(format!("routes {revision}")),
    }
}

/// Guards against a host that accepts a revoked key after a suspension of ten seconds because it
/// serves by its old table while it builds the new one. Also guards against a host that serves
/// nobody while changes arrive faster than it builds them: it must reach only the first revision
/// that it finds.
#[test]
fn suspended_host_does_not_serve_by_stale_routes() {
    let mut state = BuildState::new();
    let mut seen = Vec::new();
    let mut observe = |state: &mut BuildState, millis: u64, newest: u64| {
        let now = MonotonicTime::from_millis(millis);
        let served = state
            .table(now, Revision(newest))
            .expect_err("the table holds an error text");
        seen.push(format!("{millis} ms, {newest} in force: {served}"));
    };
    observe(&mut state, 100, 1);
    state.last = Some(built_table(1));
    for (millis, newest) in [(200, 1), (900, 2), (1_500, 3), (2_100, 4)] {
        observe(&mut state, millis, newest);
    }
    state.last = Some(built_table(2));
    observe(&mut state, 2_900, 5);
    for (millis, newest) in [(12_900, 7), (13_100, 8)] {
        observe(&mut state, millis, newest);
    }
    state.last = Some(built_table(7));
    observe(&mut state, 13_200, 9);
    insta::assert_snapshot!(seen.join("\n"), @r"
    100 ms, 1 in force: the routes are being laid out
    200 ms, 1 in force: routes 1
    900 ms, 2 in force: routes 1
    1500 ms, 3 in force: routes 1
    2100 ms, 4 in force: routes 1
    2900 ms, 5 in force: routes 2
    12900 ms, 7 in force: the routes are being laid out
    13100 ms, 8 in force: the routes are being laid out
    13200 ms, 9 in force: routes 7
    ");
}

/// Agreed state that a test sets.
struct StubState(Mutex<StubFields>);

struct StubFields {
    configuration: Arc<Configuration>,
    confirmed_at: MonotonicTime,
    is_behind: bool,
}

impl StubState {
    fn set(&self, revision: u64, confirmed_at: u64, is_behind: bool) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = StubFields {
            configuration: configuration(revision),
            confirmed_at: MonotonicTime::from_millis(confirmed_at),
            is_behind,
        };
    }

    fn read<F, R>(&self, read: F) -> R
    where
        F: FnOnce(&StubFields) -> R,
    {
        read(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl AgreedState for StubState {
    fn configuration(&self) -> Result<Arc<Configuration>, StaleConfiguration> {
        Ok(self.read(|fields| Arc::clone(&fields.configuration)))
    }

    fn is_behind(&self) -> bool {
        self.read(|fields| fields.is_behind)
    }

    fn confirmed_at(&self) -> Option<MonotonicTime> {
        Some(self.read(|fields| fields.confirmed_at))
    }

    fn incarnation(&self) -> Option<Incarnation> {
        None
    }

    fn known_claim(&self, _scope: &ClaimScope) -> Option<KnownClaim> {
        None
    }

    fn submit(&self, _command: ReplicatedCommand) -> SubmitFuture<'_> {
        let reason = "a stub runs no commands".to_owned();
        Box::pin(async { Err(SubmitError::NotRun { reason }) })
    }
}

/// Dialect whose documents consist of their version. Reads each one when the test allows it.
struct StubDialect(Mutex<Receiver<()>>);

impl OperatorDialect for StubDialect {
    fn call(&self, _method: &Method, _path: &str) -> Option<OperatorCall> {
        None
    }

    fn read_document(&self, text: &[u8]) -> Result<RouteDocument, FindingList> {
        let turns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        // The test has ended if there is no sender.
        let _ = turns.recv();
        let version = std::str::from_utf8(text)
            .ok()
            .and_then(|text| text.parse().ok());
        Ok(RouteDocument {
            version: SourceVersion(version.unwrap_or_default()),
            routes: Vec::new(),
            services: Vec::new(),
            bounds: CallerBounds {
                head_bytes: 0,
                body_bytes: 0,
                head_timeout: Duration::ZERO,
                idle_timeout: Duration::ZERO,
            },
            customers: None,
        })
    }

    fn reply(&self, _reply: &OperatorReply) -> Response<Bytes> {
        Response::default()
    }
}

/// Configuration at `revision`, whose published source has that version.
fn configuration(revision: u64) -> Arc<Configuration> {
    let source = PublishedSource {
        version: SourceVersion(revision),
        text: revision.to_string().into(),
    };
    let parsed = ParsedConfiguration::parse("test", &source_document(&source)).unwrap();
    Arc::new(Configuration::build(Revision(revision), &parsed))
}

/// Route tables over a state and builds that the test controls.
struct BuilderTest {
    state: Arc<StubState>,
    builds: Sender<()>,
    routes: RouteTableBuilder,
    seen: Vec<String>,
}

impl BuilderTest {
    /// Starts with the table of revision 1, which was confirmed as the newest at 1,000 ms.
    async fn start() -> Self {
        let (builds, turns) = channel();
        let state = Arc::new(StubState(Mutex::new(StubFields {
            configuration: configuration(1),
            confirmed_at: MonotonicTime::from_millis(1_000),
            is_behind: false,
        })));
        let agreed: Arc<dyn AgreedState> = Arc::clone(&state) as Arc<dyn AgreedState>;
        let dialect = Arc::new(StubDialect(Mutex::new(turns)));
        let test = Self {
            state,
            builds,
            routes: RouteTableBuilder::new(agreed, dialect, CHANGE_WITHIN),
            seen: Vec::new(),
        };
        test.build(1_000, 1).await;
        test
    }

    /// Lets the build of `revision` finish, and waits for its table.
    async fn build(&self, millis: u64, revision: u64) {
        let _ = self.routes.current(MonotonicTime::from_millis(millis));
        self.builds.send(()).unwrap();
        let began = Instant::now();
        while self.built_revision() != Some(Revision(revision)) {
            assert!(began.elapsed() < Duration::from_secs(30), "no table");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn built_revision(&self) -> Option<Revision> {
        let state = super::lock(&self.routes.build_state);
        state.last.as_ref().map(|last| last.revision)
    }

    /// Asks for the table at `millis`, and records the answer.
    fn ask(&mut self, millis: u64) {
        let table = self.routes.current(MonotonicTime::from_millis(millis));
        let text = match table {
            Ok(table) => format!("version {}", table.version()),
            Err(Refused { refusal, .. }) => format!("{}, {}", refusal.kind, refusal.reason),
        };
        self.seen.push(format!("{millis} ms: {text}"));
    }
}

/// Guards against requests that are served by a superseded table for longer than the time in which a
/// change must be in force, because the newer table is not built in time.
#[tokio::test]
async fn a_table_whose_successor_is_built_slowly_serves_no_longer_than_a_change_may_take() {
    let mut test = BuilderTest::start().await;
    test.ask(1_100);
    for millis in (1_800..=3_400).step_by(400) {
        test.state.set(2, 1_700, false);
        test.ask(millis);
    }
    test.build(3_500, 2).await;
    test.ask(3_600);
    insta::assert_snapshot!(test.seen.join("\n"), @r"
    1100 ms: version 1
    1800 ms: version 1
    2200 ms: version 1
    2600 ms: version 1
    3000 ms: not-run, newer routes are in force than those that this host has
    3400 ms: not-run, newer routes are in force than those that this host has
    3600 ms: version 2
    ");
}

/// Guards against requests that are served by a superseded table for as long as the lease lasts: a host
/// that knows of a newer revision, and doesn't get its content, must refuse in time.
#[tokio::test]
async fn a_host_without_the_content_of_a_newer_revision_stops_serving_the_older_one_in_time() {
    let mut test = BuilderTest::start().await;
    test.state.set(1, 1_600, false);
    test.ask(1_700);
    test.state.set(1, 1_600, true);
    for millis in (2_000..=4_000).step_by(400) {
        test.ask(millis);
    }
    test.state.set(2, 4_100, false);
    test.build(4_200, 2).await;
    test.ask(4_300);
    insta::assert_snapshot!(test.seen.join("\n"), @r"
    1700 ms: version 1
    2000 ms: version 1
    2400 ms: version 1
    2800 ms: version 1
    3200 ms: version 1
    3600 ms: not-run, newer routes are in force than those that this host has
    4000 ms: not-run, newer routes are in force than those that this host has
    4300 ms: version 2
    ");
}
