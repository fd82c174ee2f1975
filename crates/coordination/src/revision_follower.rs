//! Following the configuration: which revision a host may serve, and until when.
//!
//! A host asks a keeper, which answers after a quorum-checked read. The answer renews a lease that
//! counts from the moment of the *question*: every change accepted after that moment is unknown to
//! the answer, so a change is in force on each host, or the host refuses new work, within one
//! lease of its acceptance. Pushes only make a host ask sooner; nothing rests on them.

mod followers;
mod settings;

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

pub use followers::FollowerTable;
pub use settings::FollowSettings;

use crate::base::{HostName, MonotonicTime, Revision};

/// Answers of a keeper in another data centre after which a near one is asked again.
const AWAY_ANSWERS: u32 = 8;

/// Number of a question; answers to older ones are still good for their own time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct QuestionNumber(pub u64);

/// A question that is to be sent to a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionQuestion {
    /// Its number.
    pub number: QuestionNumber,
    /// Keeper to ask.
    pub keeper: HostName,
    /// Revision held, so that the answer carries only what is missing; `None` before the first.
    pub have: Option<Revision>,
    /// When it was decided to send it; the lease counts from here.
    pub asked_at: MonotonicTime,
}

/// Why no configuration may be served.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnconfirmedRevision {
    /// No keeper has answered since this process started.
    #[display("no keeper has confirmed a configuration since this process started")]
    NeverConfirmed,
    /// The lease ran out.
    #[display("no keeper has confirmed revision {held} for {} ms", since.as_millis())]
    LeaseOver {
        /// Revision held.
        held: Revision,
        /// Time since the last question that was answered.
        since: Duration,
    },
}

/// What became of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerVerdict {
    /// The revision held is confirmed.
    Renewed,
    /// A newer revision is to be served from now on.
    Advanced,
    /// The answer is older than what is held; it changes nothing.
    Stale,
    /// The answer names a newer revision without its content; ask again with what is held.
    ContentMissing,
}

/// Decides which revision one host serves.
///
/// Invariants: `held` never falls; `confirmed_at` never falls, and is the time of a question whose
/// answer named `held` or an earlier revision that led to it.
#[derive(Clone, Debug)]
pub struct RevisionFollower {
    settings: FollowSettings,
    /// Keepers that are asked first.
    near: Vec<HostName>,
    /// Keepers that are asked where none of `near` answers.
    far: Vec<HostName>,
    /// Where this host begins among keepers that are equally near.
    spread: usize,
    /// Keepers that were left since the first one was asked last.
    turn: usize,
    /// Consecutive answers of keepers of `far`.
    away_answers: u32,
    number: QuestionNumber,
    held: Option<Revision>,
    /// Highest revision that a peer said it serves.
    heard: Option<Revision>,
    confirmed_at: Option<MonotonicTime>,
    next_question: MonotonicTime,
    /// When the last question was due.
    asked_at: Option<MonotonicTime>,
    /// When the question was due whose answer was the last change taken.
    advanced_at: Option<MonotonicTime>,
    /// Consecutive questions without an answer.
    unanswered: u32,
}

impl RevisionFollower {
    /// A follower that holds nothing; `spread` spreads hosts over the keepers.
    pub fn new(settings: FollowSettings, keepers: Vec<HostName>, spread: usize) -> Self {
        Self {
            settings,
            near: keepers,
            far: Vec::new(),
            spread,
            turn: 0,
            away_answers: 0,
            number: QuestionNumber(0),
            held: None,
            heard: None,
            confirmed_at: None,
            next_question: MonotonicTime::START,
            asked_at: None,
            advanced_at: None,
            unanswered: 0,
        }
    }

    /// Sets whom to ask, as keepers come and go: those of `near` first. A change then crosses between
    /// data centres as often as there are keepers, not as often as there are hosts.
    pub fn set_keepers(&mut self, near: Vec<HostName>, far: Vec<HostName>) {
        self.near = near;
        self.far = far;
    }

    /// The question that is due, if any.
    ///
    /// Each question goes to the next keeper when the one before was not answered: a keeper that
    /// hangs costs one period, not the lease.
    pub fn tick(&mut self, now: MonotonicTime) -> Option<RevisionQuestion> {
        if now < self.next_question {
            return None;
        }
        if self.unanswered > 0 {
            self.turn = self.turn.wrapping_add(1);
        }
        let keeper = self.keeper()?.clone();
        self.unanswered = self.unanswered.saturating_add(1);
        self.number = QuestionNumber(self.number.0 + 1);
        self.next_question = now.after(self.settings.period);
        self.asked_at = Some(now);
        Some(RevisionQuestion {
            number: self.number,
            keeper,
            have: self.held,
            asked_at: now,
        })
    }

    /// The keeper that is asked now.
    pub fn followed_keeper(&self) -> Option<&HostName> {
        self.keeper()
    }

    /// The keeper whose turn it is.
    fn keeper(&self) -> Option<&HostName> {
        let turn = self.turn.checked_rem(self.near.len() + self.far.len())?;
        let (keepers, turn) = match turn.checked_sub(self.near.len()) {
            None => (&self.near, turn),
            Some(turn) => (&self.far, turn),
        };
        keepers.get((self.spread % keepers.len() + turn) % keepers.len())
    }

    /// A near keeper that failed once is asked again after some answers of a far one.
    fn note_answer(&mut self) {
        self.unanswered = 0;
        let is_away = self
            .keeper()
            .is_some_and(|keeper| !self.near.contains(keeper));
        if !is_away || self.near.is_empty() {
            self.away_answers = 0;
            return;
        }
        self.away_answers += 1;
        if self.away_answers >= AWAY_ANSWERS {
            self.away_answers = 0;
            self.turn = 0;
        }
    }

    /// A peer says that it holds `revision`: ask at once if that is news, and no question is open.
    ///
    /// Failure: each of many peers tells of a change within a second, and a host asked the next keeper
    /// at each of their words, for the whole content. Symptom: some hosts had a change seconds after the
    /// others. One open question is enough, and the next keeper is asked if its answer does not come in
    /// time.
    ///
    /// Failure: operators change routes ten times a second, and a host takes each change for itself, a
    /// document of thousands of routes each time. Symptom: all its streams paused for as long as that
    /// went on. Changes within [`FollowSettings::spacing`] are taken together.
    pub fn observe(&mut self, now: MonotonicTime, revision: Revision) {
        self.heard = self.heard.max(Some(revision));
        if !self.is_behind() {
            return;
        }
        let open = self.asked_at.filter(|_| self.unanswered > 0);
        let due = open.map_or(now, |asked| asked.after(self.settings.patience).max(now));
        let advanced = self.advanced_at.map(|at| at.after(self.settings.spacing));
        let due = due.max(advanced.unwrap_or(due));
        self.next_question = self.next_question.min(due);
    }

    /// Whether a peer serves a newer revision than the one held.
    pub fn is_behind(&self) -> bool {
        self.heard > self.held
    }

    /// Takes a quorum-checked answer to a question of `asked_at`; `has_content` says whether the
    /// content of `revision` came with it.
    pub fn answer(
        &mut self,
        asked_at: MonotonicTime,
        revision: Revision,
        has_content: bool,
    ) -> AnswerVerdict {
        self.note_answer();
        let held = self.held;
        if held.is_some_and(|held| revision < held) {
            // Two keepers' answers crossed. The later one was already served, and going back would
            // break "never reverts"; its lease stands on its own question.
            return AnswerVerdict::Stale;
        }
        if held == Some(revision) {
            self.confirm(asked_at);
            return AnswerVerdict::Renewed;
        }
        if !has_content {
            return AnswerVerdict::ContentMissing;
        }
        self.held = Some(revision);
        self.advanced_at = self.advanced_at.max(Some(asked_at));
        self.confirm(asked_at);
        AnswerVerdict::Advanced
    }

    /// The revision to serve at `now`.
    ///
    /// # Errors
    /// The host must refuse new work: it may be cut off and not know of changes.
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

    /// When the last question that was answered had been asked: every change accepted before it is
    /// known here.
    pub fn confirmed_at(&self) -> Option<MonotonicTime> {
        self.confirmed_at
    }

    /// Time for which the revision held may still be served.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        let confirmed_at = self.confirmed_at.unwrap_or(MonotonicTime::START);
        match self.held {
            Some(_) => self.settings.lease.saturating_sub(now.since(confirmed_at)),
            None => Duration::ZERO,
        }
    }

    /// Revision held, whether or not it may be served.
    pub fn held(&self) -> Option<Revision> {
        self.held
    }

    /// Time of the next question.
    pub fn next_deadline(&self) -> MonotonicTime {
        self.next_question
    }

    fn confirm(&mut self, asked_at: MonotonicTime) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }
}

#[cfg(test)]
mod tests;
