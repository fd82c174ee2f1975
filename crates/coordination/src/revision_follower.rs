//! Follows the configuration and decides which revision a host may serve, and until when.
//!
//! A host sends a question to a keeper, which answers after a quorum-checked read. The answer
//! renews a lease that starts at the time of the *question*, because the answer may lack every
//! change accepted after it. Within one lease of its acceptance, a change is therefore in force on
//! each host, or the host refuses new work. Pushed revisions only make a host ask sooner;
//! correctness does not depend on them.

mod followers;
mod settings;

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

pub use followers::FollowerTable;
pub use settings::FollowSettings;

use crate::base::{HostName, MonotonicTime, Revision};

/// Consecutive answers of far keepers after which a near keeper is tried again.
const MAX_FAR_ANSWERS: u32 = 8;

/// Number of a question. A late answer to an older question still renews the lease from the time
/// of that question.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct QuestionNumber(pub u64);

/// A question to send to a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionQuestion {
    /// Number of the question.
    pub number: QuestionNumber,
    /// Keeper that gets the question.
    pub keeper: HostName,
    /// Held revision, so that the answer contains only the changes since; `None` before the first.
    pub have: Option<Revision>,
    /// Time at which the question was issued; the lease starts here.
    pub asked_at: MonotonicTime,
    /// Whether the answer is to include the content whatever its size. The answers to other questions
    /// include small contents only.
    pub fetches_content: bool,
}

/// A pending question that fetches content.
#[derive(Clone, Copy, Debug)]
struct ContentFetch {
    number: QuestionNumber,
    asked_at: MonotonicTime,
}

/// Reason why a host may not serve any configuration.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnconfirmedRevision {
    /// No keeper has answered since this process started.
    #[display("no keeper has confirmed a configuration since this process started")]
    NeverConfirmed,
    /// The lease has expired.
    #[display("no keeper has confirmed revision {held} for {} ms", since.as_millis())]
    LeaseOver {
        /// Held revision.
        held: Revision,
        /// Time since the latest answered question.
        since: Duration,
    },
}

/// Result of processing an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerVerdict {
    /// The answer confirmed the held revision.
    Renewed,
    /// The answer contained a newer revision, which the host serves from now on.
    Advanced,
    /// The answer names a revision older than the held one and changes nothing.
    Stale,
    /// The answer names a newer revision without its content; the host must ask again.
    ContentMissing,
}

/// Decides when a host asks for the configuration and which revision it serves.
///
/// Invariants: `held` and `confirmed_at` never decrease; `confirmed_at` is the time of a question
/// whose answer named `held` or an earlier held revision.
#[derive(Clone, Debug)]
pub struct RevisionFollower {
    settings: FollowSettings,
    /// Keepers that are asked first, in general those of the own data centre.
    near: Vec<HostName>,
    /// Keepers that are asked while no keeper in `near` answers.
    far: Vec<HostName>,
    /// Offset of the first keeper within each list; distributes hosts over keepers.
    keeper_offset: usize,
    /// Number of failovers to the next keeper since the first keeper was last selected.
    failover_count: usize,
    /// Consecutive answers of keepers in `far`.
    far_answers: u32,
    number: QuestionNumber,
    held: Option<Revision>,
    /// Highest revision that a peer has reported.
    observed: Option<Revision>,
    confirmed_at: Option<MonotonicTime>,
    next_question: MonotonicTime,
    /// Time of the last question.
    asked_at: Option<MonotonicTime>,
    /// Time of the latest question whose answer advanced the held revision.
    advanced_at: Option<MonotonicTime>,
    /// Consecutive questions without an answer.
    unanswered: u32,
    /// Whether an answer has left out the content of a newer revision.
    is_content_due: bool,
    /// Latest question that fetches content, while it is pending.
    fetch: Option<ContentFetch>,
}

impl RevisionFollower {
    /// Creates a follower without a revision, which asks `keepers` as near keepers. `keeper_offset`
    /// selects the first keeper to ask; different values distribute hosts over the keepers.
    pub fn new(settings: FollowSettings, keepers: Vec<HostName>, keeper_offset: usize) -> Self {
        Self {
            settings,
            near: keepers,
            far: Vec::new(),
            keeper_offset,
            failover_count: 0,
            far_answers: 0,
            number: QuestionNumber(0),
            held: None,
            observed: None,
            confirmed_at: None,
            next_question: MonotonicTime::START,
            asked_at: None,
            advanced_at: None,
            unanswered: 0,
            is_content_due: false,
            fetch: None,
        }
    }

    /// Replaces the lists of keepers. Keepers in `near` are asked first, so that a change crosses
    /// between data centres once per keeper and not once per host.
    pub fn set_keepers(&mut self, near: Vec<HostName>, far: Vec<HostName>) {
        self.near = near;
        self.far = far;
    }

    /// Returns the question that is due at `now`, if any.
    ///
    /// If the previous question is unanswered, the question goes to the next keeper. A keeper that
    /// hangs therefore costs one period and not the lease.
    ///
    /// One question at a time fetches a large content, for [`FollowSettings::fetch_timeout`]. If each
    /// question did, several keepers would send the same content at once, and on a narrow link none of the
    /// answers would arrive in time.
    pub fn tick(&mut self, now: MonotonicTime) -> Option<RevisionQuestion> {
        if now < self.next_question {
            return None;
        }
        if self.unanswered > 0 {
            self.failover_count = self.failover_count.wrapping_add(1);
        }
        let keeper = self.keeper()?.clone();
        self.unanswered = self.unanswered.saturating_add(1);
        self.number = QuestionNumber(self.number.0 + 1);
        self.next_question = now.after(self.settings.period);
        self.asked_at = Some(now);
        let needs_content = self.held.is_none() || self.is_content_due;
        let fetches_content = needs_content && !self.is_fetching(now);
        if fetches_content {
            self.fetch = Some(ContentFetch {
                number: self.number,
                asked_at: now,
            });
        }
        Some(RevisionQuestion {
            number: self.number,
            keeper,
            have: self.held,
            asked_at: now,
            fetches_content,
        })
    }

    /// Records that question `number` is answered or has failed.
    pub fn end_question(&mut self, number: QuestionNumber) {
        if self.fetch.is_some_and(|fetch| fetch.number == number) {
            self.fetch = None;
        }
    }

    /// Whether a question that fetches content may still be answered in time.
    fn is_fetching(&self, now: MonotonicTime) -> bool {
        self.fetch
            .is_some_and(|fetch| now.since(fetch.asked_at) < self.settings.fetch_timeout)
    }

    /// Returns the keeper that gets the questions; `None` if no keeper is known.
    pub fn followed_keeper(&self) -> Option<&HostName> {
        self.keeper()
    }

    /// Returns the keeper at position `failover_count` of the near and then the far keepers.
    fn keeper(&self) -> Option<&HostName> {
        let turn = self
            .failover_count
            .checked_rem(self.near.len() + self.far.len())?;
        let (keepers, turn) = match turn.checked_sub(self.near.len()) {
            None => (&self.near, turn),
            Some(turn) => (&self.far, turn),
        };
        keepers.get((self.keeper_offset % keepers.len() + turn) % keepers.len())
    }

    /// Records an answer. After [`MAX_FAR_ANSWERS`] consecutive answers of far keepers it selects
    /// the near keepers again.
    fn record_answer(&mut self) {
        self.unanswered = 0;
        let is_far = self
            .keeper()
            .is_some_and(|keeper| !self.near.contains(keeper));
        if !is_far || self.near.is_empty() {
            self.far_answers = 0;
            return;
        }
        self.far_answers += 1;
        if self.far_answers >= MAX_FAR_ANSWERS {
            self.far_answers = 0;
            self.failover_count = 0;
        }
    }

    /// Records that a peer holds `revision`. If the revision is newer than the held one and no
    /// question is pending, the next question is due at once.
    ///
    /// Many peers report a change within a second. If each report triggered a question for the
    /// complete content, some hosts would get a change seconds after the others. Therefore one
    /// question is pending at a time; if its answer takes longer than
    /// [`FollowSettings::answer_timeout`], the next keeper is asked.
    ///
    /// Operators may change routes ten times a second. If a host fetched each change separately,
    /// each time with a document of thousands of routes, all its streams would pause during that
    /// time. Changes within [`FollowSettings::spacing`] are therefore fetched together.
    pub fn observe(&mut self, now: MonotonicTime, revision: Revision) {
        self.observed = self.observed.max(Some(revision));
        if !self.is_behind() || self.is_fetching(now) {
            return;
        }
        let pending = self.asked_at.filter(|_| self.unanswered > 0);
        let due = pending.map_or(now, |asked| {
            asked.after(self.settings.answer_timeout).max(now)
        });
        let advanced = self.advanced_at.map(|at| at.after(self.settings.spacing));
        let due = due.max(advanced.unwrap_or(due));
        self.next_question = self.next_question.min(due);
    }

    /// Whether a peer has reported a revision newer than the held one.
    pub fn is_behind(&self) -> bool {
        self.observed > self.held
    }

    /// Processes a quorum-checked answer to the question of `asked_at`. `has_content` states
    /// whether the answer includes the content of `revision`.
    pub fn answer(
        &mut self,
        asked_at: MonotonicTime,
        revision: Revision,
        has_content: bool,
    ) -> AnswerVerdict {
        self.record_answer();
        let held = self.held;
        if held.is_some_and(|held| revision < held) {
            // Answers of two keepers arrived out of order. The host already serves the newer
            // revision and must never revert; the lease of that revision counts from its own
            // question.
            return AnswerVerdict::Stale;
        }
        if held == Some(revision) {
            self.confirm(asked_at);
            return AnswerVerdict::Renewed;
        }
        if !has_content {
            self.is_content_due = true;
            return AnswerVerdict::ContentMissing;
        }
        self.held = Some(revision);
        self.is_content_due = false;
        self.fetch = None;
        self.advanced_at = self.advanced_at.max(Some(asked_at));
        self.confirm(asked_at);
        if self.is_behind() {
            let due = asked_at.after(self.settings.spacing);
            self.next_question = self.next_question.min(due);
        }
        AnswerVerdict::Advanced
    }

    /// Returns the revision to serve at `now`.
    ///
    /// # Errors
    /// If no revision is confirmed or the lease has expired. The host must then refuse new work,
    /// because it may be partitioned from the keepers and lack changes.
    pub fn current(&self, now: MonotonicTime) -> Result<Revision, UnconfirmedRevision> {
        let (Some(held), Some(confirmed_at)) = (self.held, self.confirmed_at) else {
            return Err(UnconfirmedRevision::NeverConfirmed);
        };
        let since = now.since(confirmed_at);
        if since >= self.settings.lease {
            return Err(UnconfirmedRevision::LeaseOver { held, since });
        }
        Ok(held)
    }

    /// Time of the latest answered question. The host holds every change accepted before it.
    pub fn confirmed_at(&self) -> Option<MonotonicTime> {
        self.confirmed_at
    }

    /// Remaining time during which the host may serve the held revision.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        let confirmed_at = self.confirmed_at.unwrap_or(MonotonicTime::START);
        match self.held {
            Some(_) => self.settings.lease.saturating_sub(now.since(confirmed_at)),
            None => Duration::ZERO,
        }
    }

    /// Held revision, even if its lease has expired.
    pub fn held(&self) -> Option<Revision> {
        self.held
    }

    /// Time at which the next question is due.
    pub fn next_deadline(&self) -> MonotonicTime {
        self.next_question
    }

    fn confirm(&mut self, asked_at: MonotonicTime) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }
}

#[cfg(test)]
mod tests;
