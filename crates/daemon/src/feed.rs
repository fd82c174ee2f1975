//! Keeps this host's configuration current: asks keepers, and tells peers what it holds.
//!
//! Every host follows in the same way, keepers included: an isolated keeper has the old state on
//! its disk and must not serve it.

mod barrier;
mod copy;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime, Revision};
use pollendrift_coordination::configuration::Configuration;
use pollendrift_coordination::evidence::{EvidenceEvent, RevisionInForce};
use pollendrift_coordination::revision_follower::{
    AnswerVerdict, FollowSettings, RevisionFollower, RevisionQuestion,
};
use serde::Serialize;
use tokio::sync::Notify;

use self::barrier::CoalescedBarrier;
use self::copy::{ConfigurationCopy, CopyVerdict, OfferedContent, content_for};
use crate::agreed::StaleConfiguration;
use crate::clock::TimeSource;
use crate::keeper::{KeeperClient, KeeperList};
use crate::peers::{
    ConfigurationContent, ConfigurationFrame, PeerAnswer, PeerFrame, PeerHub, PeerQuestion,
};
use crate::state::SharedState;
use crate::telemetry::RecorderSlot;

/// Least time between two statements of the revision held, if it does not change.
const STATEMENT_PERIOD: Duration = Duration::from_secs(1);
/// Time that each peer adds to it, beyond the least: every host states it to every peer.
const STATEMENT_SHARE: Duration = Duration::from_millis(10);

/// What a peer said that it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerRevision {
    /// The host.
    pub host: HostName,
    /// Revision that it serves.
    pub revision: Revision,
    /// When it last said so, in this host's time.
    pub heard_at: MonotonicTime,
}

/// The configuration that this host holds, and its lease.
pub struct ConfigurationFeed {
    state: Mutex<FeedState>,
    /// Locked before `state`, never after it: reading a text must not hold up requests.
    copy: Mutex<ConfigurationCopy>,
    answered: Mutex<Option<AnsweredContent>>,
    hub: PeerHub,
    keepers: KeeperList,
    client: KeeperClient,
    /// State of this host's keeper, if it has one.
    shared: Option<SharedState>,
    clock: Arc<dyn TimeSource>,
    recorder: Arc<RecorderSlot>,
    wake: Notify,
    patience: Duration,
    barriers: CoalescedBarrier,
}

/// The content that was answered last. After a change all hosts ask from the same revision; without it
/// a keeper compares the two texts anew for each of them.
struct AnsweredContent {
    have: Option<Revision>,
    revision: Revision,
    content: ConfigurationContent,
}

impl AnsweredContent {
    fn answer(&self) -> PeerAnswer {
        PeerAnswer::Configuration {
            revision: self.revision,
            content: self.content.clone(),
        }
    }
}

struct FeedState {
    follower: RevisionFollower,
    /// Content of the follower's revision; `None` before the first answer.
    held: Option<Arc<Configuration>>,
    /// Revision in force that was put on record last.
    recorded: Option<Revision>,
    /// A content was refused: the next question asks for the whole.
    ask_whole: bool,
    /// Bounded by the hosts of the settings: only peers can speak.
    peers: BTreeMap<HostName, PeerRevision>,
}

/// A quorum-checked answer: the revision, and what leads there.
struct FreshRevision {
    revision: Revision,
    content: OfferedContent,
}

impl ConfigurationFeed {
    /// A feed that holds nothing yet.
    pub fn new(
        settings: FollowSettings,
        keepers: KeeperList,
        hub: PeerHub,
        client: KeeperClient,
        shared: Option<SharedState>,
        clock: Arc<dyn TimeSource>,
        recorder: Arc<RecorderSlot>,
    ) -> Self {
        let spread = usize::from(rand::random::<u16>());
        let follower = RevisionFollower::new(settings, Vec::new(), spread);
        Self {
            state: Mutex::new(FeedState {
                follower,
                held: None,
                recorded: None,
                ask_whole: false,
                peers: BTreeMap::new(),
            }),
            copy: Mutex::default(),
            answered: Mutex::default(),
            hub,
            keepers,
            client,
            shared,
            clock,
            recorder,
            wake: Notify::new(),
            patience: settings.period,
            barriers: CoalescedBarrier::default(),
        }
    }

    /// The configuration to serve now.
    ///
    /// # Errors
    /// The lease ran out, or nothing was ever confirmed.
    pub fn current(&self) -> Result<Arc<Configuration>, StaleConfiguration> {
        let now = self.clock.now();
        let state = self.lock();
        let stale = |reason: String| StaleConfiguration { reason };
        state
            .follower
            .current(now)
            .map_err(|gap| stale(gap.to_string()))?;
        state
            .held
            .clone()
            .ok_or_else(|| stale("it holds no configuration".to_owned()))
    }

    /// Whether a peer serves a newer revision than the one held here.
    pub fn is_behind(&self) -> bool {
        self.lock().follower.is_behind()
    }

    /// Every change accepted before this time is known here; `None` before the first answer.
    pub fn confirmed_at(&self) -> Option<MonotonicTime> {
        self.lock().follower.confirmed_at()
    }

    /// The revision held, and the time for which it may still be served.
    pub fn lease(&self) -> (Revision, Duration) {
        let now = self.clock.now();
        let state = self.lock();
        let held = state.follower.held().unwrap_or(Revision(0));
        (held, state.follower.remaining(now))
    }

    /// The keeper that this host asks; `None` before it knows one.
    pub(crate) fn followed_keeper(&self) -> Option<HostName> {
        self.lock().follower.followed_keeper().cloned()
    }

    /// Revisions that hosts serve, this one included.
    pub fn in_force(&self) -> Vec<PeerRevision> {
        let now = self.clock.now();
        let state = self.lock();
        let own = state
            .follower
            .current(now)
            .ok()
            .map(|revision| PeerRevision {
                host: self.hub.host().clone(),
                revision,
                heard_at: now,
            });
        state.peers.values().cloned().chain(own).collect()
    }

    /// Takes what a peer says of the configuration.
    pub fn receive_frame(&self, from: &HostName, frame: ConfigurationFrame) {
        let ConfigurationFrame::Holds { revision } = frame else {
            return;
        };
        let heard_at = self.clock.now();
        let mut state = self.lock();
        state.follower.observe(heard_at, revision);
        let statement = PeerRevision {
            host: from.clone(),
            revision,
            heard_at,
        };
        state.peers.insert(from.clone(), statement);
        drop(state);
        self.wake.notify_one();
    }

    /// Answers another host's question after a quorum-checked read at this host's keeper.
    pub async fn answer(&self, have: Option<Revision>) -> PeerAnswer {
        let not_run = |reason: String| PeerAnswer::NotRun { reason };
        let shared = match self.read_barrier().await {
            Ok(shared) => shared,
            Err(reason) => return not_run(reason),
        };
        let revision = shared.read(|state| state.configuration().revision());
        if have == Some(revision) {
            let content = ConfigurationContent::Unchanged;
            return PeerAnswer::Configuration { revision, content };
        }
        let mut answered = self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(last) = answered.as_ref()
            && (last.have, last.revision) == (have, revision)
        {
            return last.answer();
        }
        let (configuration, delta) = shared.read(|state| {
            let delta = have.and_then(|have| state.changes().delta_since(have));
            (state.configuration(), delta)
        });
        let fresh = AnsweredContent {
            have,
            revision: configuration.revision(),
            content: content_for(have, &configuration, delta),
        };
        let answer = fresh.answer();
        *answered = Some(fresh);
        answer
    }

    /// Asks keepers in turn for as long as the host runs.
    pub async fn run(self: Arc<Self>) {
        let mut stated_at = MonotonicTime::START;
        loop {
            let now = self.clock.now();
            let (near, far) = self.keepers.by_distance(self.hub.host());
            let question = {
                let mut state = self.lock();
                state.follower.set_keepers(near, far);
                state.follower.tick(now)
            };
            if let Some(question) = question {
                tokio::spawn(Arc::clone(&self).ask(question));
            }
            if now.since(stated_at) >= self.statement_period() {
                self.state_revision();
                self.record_revision(now);
                stated_at = now;
            }
            let pause = self.lock().follower.next_deadline().since(self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(pause.min(STATEMENT_PERIOD)) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    fn statement_period(&self) -> Duration {
        let entries = self.hub.discovery().and_then(|found| found.entry_count());
        STATEMENT_PERIOD.max(STATEMENT_SHARE * entries.unwrap_or(0))
    }

    async fn ask(self: Arc<Self>, question: RevisionQuestion) {
        let answer = if question.keeper == *self.hub.host() {
            self.read_own().await
        } else {
            self.read_from(&question).await
        };
        match answer {
            Ok(fresh) => {
                // Reading a long source takes tens of milliseconds of a small host. Among its requests,
                // that was a part of late pauses in all its streams at each change.
                let feed = Arc::clone(&self);
                let taking = move || feed.take_answer(question.asked_at, fresh);
                if let Err(error) = tokio::task::spawn_blocking(taking).await {
                    log::error!(reason:% = error; "configuration not taken");
                }
            }
            Err(reason) => {
                log::debug!(keeper:% = question.keeper, reason:% = reason; "no revision")
            }
        }
    }

    fn take_answer(&self, asked_at: MonotonicTime, fresh: FreshRevision) {
        let mut copy = self.copy.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = match copy.apply(fresh.revision, fresh.content) {
            CopyVerdict::Applied(configuration) => Some(configuration),
            CopyVerdict::NotNeeded | CopyVerdict::StaleBase => None,
            CopyVerdict::Refused(reason) => {
                // As if unanswered: the next question goes to another keeper.
                self.lock().ask_whole = true;
                log::warn!(revision:% = fresh.revision, reason:% = reason; "configuration refused");
                return;
            }
        };
        let verdict = {
            let mut state = self.lock();
            let has_content = taken.is_some();
            let verdict = state.follower.answer(asked_at, fresh.revision, has_content);
            match verdict {
                AnswerVerdict::Advanced => {
                    state.held = taken;
                    state.ask_whole = false;
                }
                AnswerVerdict::ContentMissing => {
                    state.follower.observe(self.clock.now(), fresh.revision);
                    self.wake.notify_one();
                }
                AnswerVerdict::Renewed | AnswerVerdict::Stale => {}
            }
            verdict
        };
        drop(copy);
        if verdict == AnswerVerdict::Advanced {
            log::info!(revision:% = fresh.revision; "configuration in force");
            self.state_revision();
        }
    }

    /// State of this host's keeper, which holds all that was accepted before this call.
    async fn read_barrier(&self) -> Result<&SharedState, String> {
        let shared = self.shared.as_ref().ok_or("this host has no keeper")?;
        let read = async || {
            let index = self.client.read_barrier().await;
            index.map(drop).map_err(|error| error.to_string())
        };
        self.barriers.wait(read).await?;
        Ok(shared)
    }

    async fn read_own(&self) -> Result<FreshRevision, String> {
        let configuration = self.read_barrier().await?.configuration();
        Ok(FreshRevision {
            revision: configuration.revision(),
            content: OfferedContent::Local(configuration),
        })
    }

    async fn read_from(&self, question: &RevisionQuestion) -> Result<FreshRevision, String> {
        let ask_whole = self.lock().ask_whole;
        let have = question.have.filter(|_| !ask_whole);
        let ask = PeerQuestion::ConfigurationAfter { have };
        let answer = self.hub.call(&question.keeper, ask, 0, self.patience).await;
        match answer.map_err(|error| error.to_string())? {
            PeerAnswer::Configuration { revision, content } => {
                let content = OfferedContent::Remote(content);
                Ok(FreshRevision { revision, content })
            }
            PeerAnswer::NotRun { reason } | PeerAnswer::Unknown { reason } => Err(reason),
            _ => Err("keeper answered another question".to_owned()),
        }
    }

    /// Puts the revision in force on record, once. Of several within a [`STATEMENT_PERIOD`] that is the
    /// last: each request's record names its own, and one of every host for every change would cost
    /// keepers more than the changes do.
    fn record_revision(&self, now: MonotonicTime) {
        let revision = {
            let mut state = self.lock();
            let Ok(revision) = state.follower.current(now) else {
                return;
            };
            if state.recorded.replace(revision) == Some(revision) {
                return;
            }
            revision
        };
        let event = RevisionInForce { revision };
        self.recorder.note(EvidenceEvent::RevisionInForce(event));
    }

    /// Tells every peer what is served here: those that hold less ask at once, and operators see
    /// where a change is in force.
    fn state_revision(&self) {
        let Ok(revision) = self.lock().follower.current(self.clock.now()) else {
            return;
        };
        let frame = PeerFrame::Configuration(ConfigurationFrame::Holds { revision });
        // A statement that can't be sent is made again within a second.
        self.hub.send_to(&self.hub.hosts(), &frame);
    }

    fn lock(&self) -> MutexGuard<'_, FeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wakes the feed when this host's keeper applies a change, so that it asks at once.
pub async fn follow_own_keeper(feed: Arc<ConfigurationFeed>, shared: SharedState) {
    let mut revisions = shared.watch_revision();
    while revisions.changed().await.is_ok() {
        let revision = *revisions.borrow_and_update();
        let now = feed.clock.now();
        feed.lock().follower.observe(now, revision);
        feed.wake.notify_one();
    }
}
