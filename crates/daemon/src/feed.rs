//! Keeps this host's configuration current: asks keepers for newer revisions, and sends peers the
//! revision that this host serves.
//!
//! Every host follows keepers in the same way, keepers included: an isolated keeper has old state
//! on its disk and must not serve it.

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

use self::copy::{ConfigurationCopy, CopyVerdict, OfferedContent, content_bytes, content_for};
use crate::agreed::StaleConfiguration;
use crate::clock::{TimeSource, millis};
use crate::coalesced::CoalescedRounds;
use crate::keeper::{KeeperClient, KeeperList};
use crate::peers::{
    ConfigurationContent, ConfigurationFrame, PeerAnswer, PeerFrame, PeerHub, PeerQuestion,
};
use crate::state::SharedState;
use crate::telemetry::RecorderSlot;

/// Least time between two broadcasts of an unchanged revision.
const BROADCAST_PERIOD: Duration = Duration::from_secs(1);
/// Largest content in bytes that any answer may include. A larger one is fetched by a question of its own,
/// so that answers which only confirm a revision stay short.
const MAX_INCLUDED_BYTES: u64 = 16 * 1024;
/// Broadcast period per entry in large deployments, since every host broadcasts to every peer.
const BROADCAST_PERIOD_PER_ENTRY: Duration = Duration::from_millis(10);

/// Revision that a peer reported to serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerRevision {
    /// Host that reported the revision.
    pub host: HostName,
    /// Revision that the host serves.
    pub revision: Revision,
    /// Time of the last report, on this host's clock.
    #[serde(rename = "heard_at")]
    pub reported_at: MonotonicTime,
}

/// Follows the configuration at a keeper, and holds this host's copy and its lease.
pub struct ConfigurationFeed {
    state: Mutex<FeedState>,
    /// Locked before `state`, never after it: requests must not wait while a text is parsed.
    copy: Mutex<ConfigurationCopy>,
    cached_answer: Mutex<Option<CachedAnswer>>,
    hub: PeerHub,
    keepers: KeeperList,
    client: KeeperClient,
    /// State of this host's keeper, if it has one.
    shared: Option<SharedState>,
    clock: Arc<dyn TimeSource>,
    recorder: Arc<RecorderSlot>,
    wake: Notify,
    /// Time to wait for an answer; it is useful for as long as the lease that it renews.
    answer_timeout: Duration,
    barrier_reads: CoalescedRounds,
}

/// The last answer with content. After a change all hosts request a delta from the same revision;
/// without this cache a keeper would compare the two texts again for each host.
struct CachedAnswer {
    have: Option<Revision>,
    revision: Revision,
    content: ConfigurationContent,
}

impl CachedAnswer {
    fn answer(&self, max_bytes: Option<u64>) -> PeerAnswer {
        let is_too_large = max_bytes.is_some_and(|max| content_bytes(&self.content) > max);
        let content = if is_too_large {
            ConfigurationContent::Unchanged
        } else {
            self.content.clone()
        };
        PeerAnswer::Configuration {
            revision: self.revision,
            content,
        }
    }
}

struct FeedState {
    follower: RevisionFollower,
    /// Configuration at the follower's revision; `None` before the first answer.
    configuration: Option<Arc<Configuration>>,
    /// Revision that was recorded last as in force.
    recorded: Option<Revision>,
    /// Whether the next question requests the complete text, because the last content was refused.
    needs_full_text: bool,
    /// Revisions that peers reported. Only peers can send frames, so the hosts of the settings
    /// bound its size.
    peers: BTreeMap<HostName, PeerRevision>,
}

/// A quorum-checked answer: the revision, and the delta or complete text that yields it.
struct ConfirmedRevision {
    revision: Revision,
    content: OfferedContent,
}

impl ConfigurationFeed {
    /// Creates a feed without a configuration or a lease.
    pub fn new(
        settings: FollowSettings,
        keepers: KeeperList,
        hub: PeerHub,
        client: KeeperClient,
        shared: Option<SharedState>,
        clock: Arc<dyn TimeSource>,
        recorder: Arc<RecorderSlot>,
    ) -> Self {
        let keeper_offset = usize::from(rand::random::<u16>());
        let follower = RevisionFollower::new(settings, Vec::new(), keeper_offset);
        Self {
            state: Mutex::new(FeedState {
                follower,
                configuration: None,
                recorded: None,
                needs_full_text: false,
                peers: BTreeMap::new(),
            }),
            copy: Mutex::default(),
            cached_answer: Mutex::default(),
            hub,
            keepers,
            client,
            shared,
            clock,
            recorder,
            wake: Notify::new(),
            answer_timeout: settings.lease,
            barrier_reads: CoalescedRounds::default(),
        }
    }

    /// Returns the configuration to serve now.
    ///
    /// # Errors
    /// The lease has expired, or no keeper has confirmed a revision yet.
    pub fn current(&self) -> Result<Arc<Configuration>, StaleConfiguration> {
        let now = self.clock.now();
        let state = self.lock();
        let stale = |reason: String| StaleConfiguration { reason };
        state
            .follower
            .current(now)
            .map_err(|gap| stale(gap.to_string()))?;
        state
            .configuration
            .clone()
            .ok_or_else(|| stale("it holds no configuration".to_owned()))
    }

    /// Whether a peer serves a newer revision than this host.
    pub fn is_behind(&self) -> bool {
        self.lock().follower.is_behind()
    }

    /// Returns the time before which every accepted change is known here; `None` before the first
    /// answer.
    pub fn confirmed_at(&self) -> Option<MonotonicTime> {
        self.lock().follower.confirmed_at()
    }

    /// Returns the revision of this host's copy, and the time left of its lease.
    pub fn lease(&self) -> (Revision, Duration) {
        let now = self.clock.now();
        let state = self.lock();
        let revision = state.follower.held().unwrap_or(Revision(0));
        (revision, state.follower.remaining(now))
    }

    /// Returns the keeper that this host asks; `None` before it knows a keeper.
    pub(crate) fn followed_keeper(&self) -> Option<HostName> {
        self.lock().follower.followed_keeper().cloned()
    }

    /// Returns the revisions that peers reported, and this host's own while its lease is valid.
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
                reported_at: now,
            });
        state.peers.values().cloned().chain(own).collect()
    }

    /// Records the revision that a peer reports; ignores other frames.
    pub fn receive_frame(&self, from: &HostName, frame: ConfigurationFrame) {
        let ConfigurationFrame::Holds { revision } = frame else {
            return;
        };
        let reported_at = self.clock.now();
        let mut state = self.lock();
        state.follower.observe(reported_at, revision);
        let peer_revision = PeerRevision {
            host: from.clone(),
            revision,
            reported_at,
        };
        state.peers.insert(from.clone(), peer_revision);
        drop(state);
        self.wake.notify_one();
    }

    /// Answers another host's question after a quorum-checked read at this host's keeper. A content above
    /// `max_bytes` is left out.
    pub async fn answer(&self, have: Option<Revision>, max_bytes: Option<u64>) -> PeerAnswer {
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
        let mut cached_answer = self
            .cached_answer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(last) = cached_answer.as_ref()
            && (last.have, last.revision) == (have, revision)
        {
            return last.answer(max_bytes);
        }
        let cached = self.hub.work().measure("configuration-content", || {
            let (configuration, delta) = shared.read(|state| {
                let delta = have.and_then(|have| state.changes().delta_since(have));
                (state.configuration(), delta)
            });
            CachedAnswer {
                have,
                revision: configuration.revision(),
                content: content_for(have, &configuration, delta),
            }
        });
        let answer = cached.answer(max_bytes);
        *cached_answer = Some(cached);
        answer
    }

    /// Asks keepers in turn, and broadcasts the revision, for as long as the host runs.
    pub async fn run(self: Arc<Self>) {
        let mut broadcast_at = MonotonicTime::START;
        loop {
            let now = self.clock.now();
            let (near_keepers, far_keepers) = self.keepers.by_distance(self.hub.host());
            let question = {
                let mut state = self.lock();
                state.follower.set_keepers(near_keepers, far_keepers);
                state.follower.tick(now)
            };
            if let Some(question) = question {
                tokio::spawn(Arc::clone(&self).ask_keeper(question));
            }
            if now.since(broadcast_at) >= self.broadcast_period() {
                self.broadcast_revision();
                self.record_revision(now);
                broadcast_at = now;
            }
            let pause = self.lock().follower.next_deadline().since(self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(pause.min(BROADCAST_PERIOD)) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    fn broadcast_period(&self) -> Duration {
        let entries = self.hub.discovery().and_then(|found| found.entry_count());
        BROADCAST_PERIOD.max(BROADCAST_PERIOD_PER_ENTRY * entries.unwrap_or(0))
    }

    async fn ask_keeper(self: Arc<Self>, question: RevisionQuestion) {
        let answer = if question.keeper == *self.hub.host() {
            self.read_own().await
        } else {
            self.read_from(&question).await
        };
        match answer {
            Ok(confirmed) => {
                // Parsing a long source takes tens of milliseconds on a small host. On the threads
                // that serve requests it contributed to late pauses in all streams at each change.
                let feed = Arc::clone(&self);
                let apply_answer = move || feed.apply_answer(&question, confirmed);
                if let Err(error) = tokio::task::spawn_blocking(apply_answer).await {
                    log::error!(reason:% = error; "configuration update failed");
                }
            }
            Err(reason) => {
                let after = self.clock.now().since(question.asked_at);
                log::info!(keeper:% = question.keeper, question = question.number.0,
                    after_ms = millis(after), reason:% = reason; "revision question failed");
                self.lock().follower.end_question(question.number);
            }
        }
    }

    fn apply_answer(&self, question: &RevisionQuestion, confirmed: ConfirmedRevision) {
        let asked_at = question.asked_at;
        let answered_at = self.clock.now();
        let content = confirmed.content.summary();
        let mut copy = self.copy.lock().unwrap_or_else(PoisonError::into_inner);
        let applied = match copy.apply(confirmed.revision, confirmed.content) {
            CopyVerdict::Applied(configuration) => Some(configuration),
            CopyVerdict::NotNeeded | CopyVerdict::StaleBase => None,
            CopyVerdict::Refused(reason) => {
                // Handled like a missing answer: the next question goes to another keeper.
                let mut state = self.lock();
                state.follower.end_question(question.number);
                state.needs_full_text = true;
                drop(state);
                log::warn!(revision:% = confirmed.revision, reason:% = reason; "configuration refused");
                return;
            }
        };
        let verdict = {
            let mut state = self.lock();
            let has_content = applied.is_some();
            state.follower.end_question(question.number);
            let verdict = state
                .follower
                .answer(asked_at, confirmed.revision, has_content);
            match verdict {
                AnswerVerdict::Advanced => {
                    state.configuration = applied;
                    state.needs_full_text = false;
                }
                AnswerVerdict::ContentMissing => {
                    state.follower.observe(self.clock.now(), confirmed.revision);
                    self.wake.notify_one();
                }
                AnswerVerdict::Renewed | AnswerVerdict::Stale => {}
            }
            verdict
        };
        drop(copy);
        if verdict == AnswerVerdict::Advanced {
            let now = self.clock.now();
            log::info!(revision:% = confirmed.revision, keeper:% = question.keeper,
                question = question.number.0, content = content.kind, bytes = content.bytes,
                answer_ms = millis(answered_at.since(asked_at)),
                apply_ms = millis(now.since(answered_at)); "configuration in force");
            self.broadcast_revision();
            // The next question is due sooner if a peer has reported a later revision.
            self.wake.notify_one();
        }
    }

    /// Returns the state of this host's keeper after a read barrier: it contains every change
    /// accepted before this call.
    async fn read_barrier(&self) -> Result<&SharedState, String> {
        let shared = self.shared.as_ref().ok_or("this host has no keeper")?;
        let read = async || {
            let index = self.client.read_barrier().await;
            index.map(drop).map_err(|error| error.to_string())
        };
        self.barrier_reads.wait(read).await?;
        Ok(shared)
    }

    async fn read_own(&self) -> Result<ConfirmedRevision, String> {
        let configuration = self.read_barrier().await?.configuration();
        Ok(ConfirmedRevision {
            revision: configuration.revision(),
            content: OfferedContent::Local(configuration),
        })
    }

    async fn read_from(&self, question: &RevisionQuestion) -> Result<ConfirmedRevision, String> {
        let needs_full_text = self.lock().needs_full_text;
        let have = question.have.filter(|_| !needs_full_text);
        let max_bytes = (!question.fetches_content).then_some(MAX_INCLUDED_BYTES);
        let request = PeerQuestion::ConfigurationAfter { have, max_bytes };
        let answer = self
            .hub
            .call(&question.keeper, request, 0, self.answer_timeout)
            .await;
        match answer.map_err(|error| error.to_string())? {
            PeerAnswer::Configuration { revision, content } => {
                let content = OfferedContent::Remote(content);
                Ok(ConfirmedRevision { revision, content })
            }
            PeerAnswer::NotRun { reason } | PeerAnswer::Unknown { reason } => Err(reason),
            _ => Err("keeper answered another question".to_owned()),
        }
    }

    /// Records the revision in force as evidence, once per revision. Of several revisions within a
    /// [`BROADCAST_PERIOD`] it records the last only: the record of each request names its own
    /// revision, and a record of every host for every change would cost keepers more than the
    /// changes do.
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
        self.recorder
            .record_in_background(EvidenceEvent::RevisionInForce(event));
    }

    /// Sends every peer the revision that this host serves. Peers with an older revision ask a
    /// keeper at once, and operators see on which hosts a change is in force.
    fn broadcast_revision(&self) {
        let Ok(revision) = self.lock().follower.current(self.clock.now()) else {
            return;
        };
        let frame = PeerFrame::Configuration(ConfigurationFrame::Holds { revision });
        // The next broadcast, a period later, replaces a frame that can't be sent.
        self.hub.send_to(&self.hub.hosts(), &frame);
    }

    fn lock(&self) -> MutexGuard<'_, FeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wakes the feed when this host's keeper applies a change, so that the feed asks at once.
pub async fn follow_own_keeper(feed: Arc<ConfigurationFeed>, shared: SharedState) {
    let mut revisions = shared.watch_revision();
    while revisions.changed().await.is_ok() {
        let revision = *revisions.borrow_and_update();
        let now = feed.clock.now();
        feed.lock().follower.observe(now, revision);
        feed.wake.notify_one();
    }
}
