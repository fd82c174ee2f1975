//! State machine of one arrival of a non-idempotent call at its entry.

use derive_more::Display;

use super::claim::{
    ClaimOutcome, ClaimScope, ClaimState, ClaimTicket, KnownClaim, SettleClaim, StoredAnswer,
    TakeAnswer, TakeClaim,
};
use crate::base::RequestId;

/// Input of [`ClaimedCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEvent {
    /// The keepers answered the take.
    TakeAnswered(TakeAnswer),
    /// The keepers did not answer the take in time; they may still apply it later. Contains the
    /// claim of the key that the entry knows without them, if any.
    TakeUnanswered(Option<KnownClaim>),
    /// The connection was refused before a byte was sent.
    ConnectionRefused,
    /// The backend server reported that it did not start the call. `SendOutcome::Declined` of
    /// [`crate::retries`] is the same fact.
    ProvedNotStarted,
    /// The complete answer arrived.
    Answered(StoredAnswer),
    /// The link failed, the answer was cut off or the deadline passed, after a byte was sent.
    AnswerLost,
    /// The keepers recorded the outcome, or rejected it permanently.
    SettleAnswered,
    /// The keepers did not confirm the outcome in time; they may still record it later.
    SettleUnanswered,
}

/// Next step of the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEffect {
    /// Propose this claim to the keepers.
    Take(TakeClaim),
    /// Send the call to a backend server, once.
    Send,
    /// Propose this outcome to the keepers; repeated until they answer.
    Settle(SettleClaim),
    /// Send this response to the caller.
    Respond(CallerResponse),
}

/// Reason why a call did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NotRunReason {
    /// The keepers did not answer, so nothing was sent.
    #[display("the claim could not be taken in time")]
    KeepersUnreachable,
    /// The claim table is full.
    #[display("there is no room for another claim")]
    ClaimsFull,
    /// The backend server refused the connection.
    #[display("the backend server refused the connection")]
    ConnectionRefused,
    /// The backend server reported that it did not start the call.
    #[display("the backend server did not start the call")]
    ProvedNotStarted,
    /// A newer incarnation of this entry has started, or the ticket has released the key.
    #[display("this entry has been replaced")]
    EntryReplaced,
}

/// Response to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerResponse {
    /// The answer to the call, which this arrival sent.
    Answer(StoredAnswer),
    /// The answer to the call, which an earlier arrival sent.
    StoredAnswer {
        /// Request of that arrival.
        request: RequestId,
        /// Stored answer.
        answer: StoredAnswer,
    },
    /// An earlier arrival may still run the call.
    InProgress {
        /// Request of that arrival.
        request: RequestId,
    },
    /// The call may have run; it never runs again under this key.
    Unknown {
        /// Request under which it may have run.
        request: RequestId,
    },
    /// The key belongs to a call with another digest; this call did not run.
    BodyDiffers {
        /// Request that took the key.
        request: RequestId,
    },
    /// This arrival did not run, and no later event can run it.
    NotRun(NotRunReason),
}

/// State machine of one arrival at its entry.
///
/// Invariants: [`CallEffect::Send`] is returned at most once, and only after the keepers answered
/// the take with [`TakeAnswer::Taken`]. [`CallEffect::Respond`] is returned exactly once.
#[derive(Clone, Debug)]
pub struct ClaimedCall {
    take: TakeClaim,
    step: CallStep,
    /// Response to return once the keepers recorded the outcome, or after one attempt at it.
    response: Option<CallerResponse>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum CallStep {
    Taking,
    Sending,
    Settling(SettleClaim),
    Ended,
}

impl ClaimedCall {
    /// Starts a call; the first effect proposes its claim.
    pub fn begin(take: TakeClaim) -> (Self, Vec<CallEffect>) {
        let effects = vec![CallEffect::Take(take.clone())];
        let step = CallStep::Taking;
        let call = Self {
            take,
            step,
            response: None,
        };
        (call, effects)
    }

    /// Scope within which the key is unique.
    pub fn scope(&self) -> &ClaimScope {
        &self.take.scope
    }

    /// Ticket of the arrival.
    pub fn ticket(&self) -> &ClaimTicket {
        &self.take.ticket
    }

    /// Whether no further event changes the state.
    pub fn is_ended(&self) -> bool {
        self.step == CallStep::Ended
    }

    /// Handles an event and returns the effects to carry out. An event that does not apply to the
    /// current step, such as a late duplicate of an answer, has no effect.
    pub fn handle(&mut self, event: CallEvent) -> Vec<CallEffect> {
        match (&self.step, event) {
            (CallStep::Taking, CallEvent::TakeAnswered(answer)) => self.handle_take_answer(answer),
            (CallStep::Taking, CallEvent::TakeUnanswered(known)) => self.give_up_take(known),
            (CallStep::Sending, CallEvent::ConnectionRefused) => {
                self.not_run(NotRunReason::ConnectionRefused)
            }
            (CallStep::Sending, CallEvent::ProvedNotStarted) => {
                self.not_run(NotRunReason::ProvedNotStarted)
            }
            (CallStep::Sending, CallEvent::Answered(answer)) => {
                let response = CallerResponse::Answer(answer.clone());
                self.settle(ClaimOutcome::Finished(answer), response)
            }
            (CallStep::Sending, CallEvent::AnswerLost) => {
                let request = self.take.request.clone();
                self.settle(ClaimOutcome::Unknown, CallerResponse::Unknown { request })
            }
            (CallStep::Settling(settle), CallEvent::SettleUnanswered) => {
                let settle = CallEffect::Settle(settle.clone());
                let response = self.response.take().map(CallEffect::Respond);
                response.into_iter().chain([settle]).collect()
            }
            (CallStep::Settling(_), CallEvent::SettleAnswered) => {
                let response = self.response.take().map(CallEffect::Respond);
                self.step = CallStep::Ended;
                response.into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    fn handle_take_answer(&mut self, answer: TakeAnswer) -> Vec<CallEffect> {
        let response = match answer {
            TakeAnswer::Taken => {
                self.step = CallStep::Sending;
                return vec![CallEffect::Send];
            }
            TakeAnswer::AlreadyTaken { request, state } => response_of_claim(request, state),
            TakeAnswer::BodyDiffers { request } => CallerResponse::BodyDiffers { request },
            TakeAnswer::Full => CallerResponse::NotRun(NotRunReason::ClaimsFull),
            TakeAnswer::TicketSpent => CallerResponse::NotRun(NotRunReason::EntryReplaced),
        };
        self.step = CallStep::Ended;
        vec![CallEffect::Respond(response)]
    }

    /// Responds at once and releases the key: the caller has already waited for the keepers.
    ///
    /// If the entry knows that an earlier arrival claimed the key, the response is the state of that
    /// claim. This arrival did not run, but a caller that is told so of a resend may conclude that
    /// its call did not run, and send it again under another key.
    fn give_up_take(&mut self, known: Option<KnownClaim>) -> Vec<CallEffect> {
        let is_earlier = |known: &KnownClaim| {
            known.ticket != self.take.ticket && known.digest == self.take.digest
        };
        let response = match known.filter(is_earlier) {
            Some(known) => response_of_claim(known.request, known.state),
            None => CallerResponse::NotRun(NotRunReason::KeepersUnreachable),
        };
        let settle = self.settle_command(ClaimOutcome::NotRun);
        self.step = CallStep::Settling(settle.clone());
        vec![CallEffect::Respond(response), CallEffect::Settle(settle)]
    }

    /// Releases the key, so that a call that did not run does not block the caller's retry.
    fn not_run(&mut self, reason: NotRunReason) -> Vec<CallEffect> {
        self.settle(ClaimOutcome::NotRun, CallerResponse::NotRun(reason))
    }

    /// Records the outcome, and responds after the first attempt at it.
    ///
    /// A caller that got the response first could resend its key through another entry before the
    /// keepers had the outcome, and was told that its finished call is in progress.
    fn settle(&mut self, outcome: ClaimOutcome, response: CallerResponse) -> Vec<CallEffect> {
        let settle = self.settle_command(outcome);
        self.step = CallStep::Settling(settle.clone());
        self.response = Some(response);
        vec![CallEffect::Settle(settle)]
    }

    fn settle_command(&self, outcome: ClaimOutcome) -> SettleClaim {
        SettleClaim {
            scope: self.take.scope.clone(),
            ticket: self.take.ticket.clone(),
            outcome,
        }
    }
}

/// Response to an arrival whose key an earlier arrival, `request`, has claimed.
fn response_of_claim(request: RequestId, state: ClaimState) -> CallerResponse {
    match state {
        ClaimState::InProgress => CallerResponse::InProgress { request },
        ClaimState::Unknown => CallerResponse::Unknown { request },
        ClaimState::Finished(answer) => CallerResponse::StoredAnswer { request, answer },
    }
}
