//! Whether and when a failed attempt is followed by another.

use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use super::budget::BudgetTable;
use super::deadline::CallDeadline;
use super::proof::{CallKind, RunProof, SendOutcome};
use super::settings::RetrySettings;
use crate::base::{CustomerName, MonotonicTime};

/// Longest exponent of the backoff.
const MAX_DOUBLINGS: u32 = 16;

/// An attempt that did not give an answer.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// Whose call it was.
    pub customer: &'a CustomerName,
    /// What sending it twice would do.
    pub kind: CallKind,
    /// How the attempt ended.
    pub outcome: SendOutcome,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Time by which the call must have ended.
    pub deadline: Option<CallDeadline>,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryVerdict {
    /// It is sent again after the wait.
    Retry {
        /// The wait.
        wait: Duration,
    },
    /// It is not sent again, and the caller is told what is proved.
    Stop {
        /// Why not.
        reason: StopReason,
        /// What is proved of this attempt; the caller weighs it with earlier ones.
        proof: RunProof,
    },
}

/// Why a call is not sent again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// It was answered.
    #[display("answered")]
    Answered,
    /// It may have run, and may not run twice.
    #[display("may not run twice")]
    NotRepeatable,
    /// It was sent as often as it may be.
    #[display("too many attempts")]
    TooManyAttempts,
    /// The deadline leaves no time for another attempt.
    #[display("deadline too near")]
    DeadlineTooNear,
    /// The customer's retry budget is used up.
    #[display("retry budget used up")]
    BudgetUsedUp,
}

/// Decides on a failed attempt. `jitter`, from 0 to 1, spreads the waits of many callers.
///
/// The budget is asked last, so that only a retry that is really sent uses it up.
pub fn decide_retry(
    now: MonotonicTime,
    budgets: &mut BudgetTable,
    attempt: &FailedAttempt<'_>,
    jitter: f64,
) -> RetryVerdict {
    let settings = *budgets.settings();
    let proof = attempt.outcome.proof();
    let wait = find_wait(&settings, attempt.attempts, jitter);
    let stop = |reason| RetryVerdict::Stop { reason, proof };
    if attempt.outcome == SendOutcome::Answered {
        return stop(StopReason::Answered);
    }
    if !attempt.kind.may_resend(proof) {
        return stop(StopReason::NotRepeatable);
    }
    if attempt.attempts >= settings.max_attempts {
        return stop(StopReason::TooManyAttempts);
    }
    let sent = now.after(wait).after(settings.min_remaining);
    if attempt.deadline.is_some_and(|deadline| sent > deadline.0) {
        return stop(StopReason::DeadlineTooNear);
    }
    if !budgets.take(now, attempt.customer) {
        return stop(StopReason::BudgetUsedUp);
    }
    RetryVerdict::Retry { wait }
}

fn find_wait(settings: &RetrySettings, attempts: u32, jitter: f64) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let longest = settings
        .base_backoff
        .saturating_mul(1 << doublings)
        .min(settings.max_backoff);
    longest.mul_f64(jitter.clamp(0.0, 1.0))
}
