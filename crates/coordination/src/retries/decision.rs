//! Decides whether and when a failed attempt is retried.

use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use super::budget::BudgetTable;
use super::deadline::CallDeadline;
use super::proof::{CallKind, RunProof, SendOutcome};
use super::settings::RetrySettings;
use crate::base::{CustomerName, MonotonicTime};

/// Maximum exponent of the backoff.
const MAX_DOUBLINGS: u32 = 16;

/// An attempt to send a call, with the state that the retry decision needs.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// Customer that sent the call.
    pub customer: &'a CustomerName,
    /// Whether the call is idempotent.
    pub kind: CallKind,
    /// How the attempt ended.
    pub outcome: SendOutcome,
    /// Number of attempts, including this one.
    pub attempts: u32,
    /// Time by which the call must end.
    pub deadline: Option<CallDeadline>,
}

/// Decision about a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryVerdict {
    /// The call is sent again after `wait`.
    Retry {
        /// Backoff before the retry.
        wait: Duration,
    },
    /// The call is not sent again; the caller's response depends on the proof.
    Stop {
        /// Reason why it is not retried.
        reason: StopReason,
        /// Whether this attempt ran, as far as is proved; to be combined with earlier attempts.
        proof: RunProof,
    },
}

/// Reason why a call is not sent again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// The call was answered.
    #[display("answered")]
    Answered,
    /// The call may have run, and is not idempotent.
    #[display("may not run twice")]
    NotRepeatable,
    /// The call reached the limit of attempts.
    #[display("too many attempts")]
    TooManyAttempts,
    /// The deadline leaves no time for another attempt.
    #[display("deadline too near")]
    DeadlineTooNear,
    /// The customer's retry budget is used up.
    #[display("retry budget used up")]
    BudgetUsedUp,
}

/// Decides whether a failed attempt is retried. `jitter`, from 0 to 1, scales the backoff, so that
/// many callers do not retry at the same moment.
///
/// The budget is checked last, so that only a retry that is sent consumes it.
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
