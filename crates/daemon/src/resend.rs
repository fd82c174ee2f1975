//! Resends at this entry: whether a failed attempt is followed by another, within the budgets.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::CustomerName;
use pollendrift_coordination::retries::{
    BudgetTable, CallDeadline, CallKind, FailedAttempt, RetrySettings, RetryVerdict, SendOutcome,
    decide_retry,
};
use pollendrift_http::ClientError;

use crate::clock::TimeSource;

/// A request that may be sent again.
#[derive(Clone, Copy, Debug)]
pub struct ResendQuery<'query> {
    /// Whose request it is.
    pub customer: &'query CustomerName,
    /// What sending it twice would do.
    pub kind: CallKind,
    /// How the last attempt ended.
    pub outcome: SendOutcome,
    /// Attempts so far.
    pub attempts: u32,
    /// Time by which it must have ended.
    pub deadline: CallDeadline,
}

/// Decides on resends within the customers' budgets.
pub struct ResendPolicy {
    budgets: Mutex<BudgetTable>,
    clock: Arc<dyn TimeSource>,
}

impl ResendPolicy {
    /// A desk with full budgets.
    pub fn new(settings: RetrySettings, clock: Arc<dyn TimeSource>) -> Self {
        Self {
            budgets: Mutex::new(BudgetTable::new(settings)),
            clock,
        }
    }

    /// Notes a first attempt, which earns a part of a retry.
    pub fn record_first_attempt(&self, customer: &CustomerName) {
        let now = self.clock.now();
        self.budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_call(now, customer);
    }

    /// The wait before the next attempt, or why there is none.
    ///
    /// # Errors
    /// The request is not sent again; the text says why.
    pub fn next_delay(&self, query: ResendQuery<'_>) -> Result<Duration, String> {
        let failed = FailedAttempt {
            customer: query.customer,
            kind: query.kind,
            outcome: query.outcome,
            attempts: query.attempts,
            deadline: Some(query.deadline),
        };
        let jitter = rand::random::<f64>();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        match decide_retry(self.clock.now(), &mut budgets, &failed, jitter) {
            RetryVerdict::Retry { wait } => Ok(wait),
            RetryVerdict::Stop { reason, .. } => Err(reason.to_string()),
        }
    }
}

/// What a client's error says of an attempt.
pub fn send_outcome(error: &ClientError) -> SendOutcome {
    match error {
        ClientError::NotSent { .. } => SendOutcome::NotConnected,
        ClientError::NoAnswer { .. } => SendOutcome::ResetAfterSend,
        ClientError::BadAnswer { .. } => SendOutcome::ErrorStatus,
    }
}
