//! Resend policy of this entry: decides whether a failed attempt is retried within the budgets.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::CustomerName;
use pollendrift_coordination::retries::{
    BudgetTable, CallDeadline, CallKind, FailedAttempt, RetrySettings, RetryVerdict, SendOutcome,
    decide_retry,
};
use pollendrift_http::ClientError;

use crate::clock::TimeSource;

/// A failed request for which a resend is considered.
#[derive(Clone, Copy, Debug)]
pub struct ResendQuery<'query> {
    /// Customer that sent the request.
    pub customer: &'query CustomerName,
    /// Whether the request may safely run more than once.
    pub kind: CallKind,
    /// Result of the last attempt.
    pub outcome: SendOutcome,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Time by which the request must have ended.
    pub deadline: CallDeadline,
}

/// Decides whether requests are resent, within each customer's retry budget.
pub struct ResendPolicy {
    budgets: Mutex<BudgetTable>,
    clock: Arc<dyn TimeSource>,
}

impl ResendPolicy {
    /// Creates a policy in which every customer has a full budget.
    pub fn new(settings: RetrySettings, clock: Arc<dyn TimeSource>) -> Self {
        Self {
            budgets: Mutex::new(BudgetTable::new(settings)),
            clock,
        }
    }

    /// Records a first attempt, which adds a fraction of a retry to the customer's budget.
    pub fn record_first_attempt(&self, customer: &CustomerName) {
        let now = self.clock.now();
        self.budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_call(now, customer);
    }

    /// Returns the back-off before the next attempt and spends the retry from the budget.
    ///
    /// # Errors
    /// Returns the reason if the request must not be resent.
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

/// Converts an HTTP client error to the outcome of an attempt.
pub fn send_outcome(error: &ClientError) -> SendOutcome {
    match error {
        ClientError::NotSent { .. } => SendOutcome::NotConnected,
        ClientError::NoAnswer { .. } => SendOutcome::ResetAfterSend,
        ClientError::BadAnswer { .. } => SendOutcome::ErrorStatus,
    }
}
