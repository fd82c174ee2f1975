//! One arrival of a call that may not be repeated, at its entry.

use derive_more::Display;

use super::claim::{
    ClaimOutcome, ClaimScope, ClaimState, ClaimTicket, SettleClaim, StoredAnswer, TakeAnswer,
    TakeClaim,
};
use crate::base::RequestId;

/// What happened to the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEvent {
    /// The keepers answered the take.
    TakeAnswered(TakeAnswer),
    /// The keepers did not answer the take in time; it may still be applied later.
    TakeUnanswered,
    /// The connection was refused before a byte went out.
    ConnectionRefused,
    /// The backend server proved by its own word that it did not start the call.
    ProvedNotStarted,
    /// The whole answer arrived.
    Answered(StoredAnswer),
    /// The link failed, the answer ended early or the deadline passed, after a byte went out.
    AnswerLost,
    /// The keepers recorded the outcome, or refused it for good.
    SettleAnswered,
    /// The keepers did not answer in time whether the outcome is recorded.
    SettleUnanswered,
}

/// What the entry does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEffect {
    /// Propose this claim to the keepers.
    Take(TakeClaim),
    /// Send the call to a backend server, once.
    Send,
    /// Propose this outcome to the keepers, until they answer.
    Settle(SettleClaim),
    /// Tell the caller.
    Respond(CallerResponse),
}

/// Why a call did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NotRunReason {
    /// The keepers did not answer, so nothing was sent.
    #[display("the claim could not be taken in time")]
    KeepersUnreachable,
    /// The claim table has no room.
    #[display("there is no room for another claim")]
    ClaimsFull,
    /// The backend server refused the connection.
    #[display("the backend server refused the connection")]
    ConnectionRefused,
    /// The backend server said that it did not start.
    #[display("the backend server did not start the call")]
    ProvedNotStarted,
    /// This entry's process was replaced.
    #[display("this entry has been replaced")]
    EntryReplaced,
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerResponse {
    /// The answer of the run that this arrival made.
    Answer(StoredAnswer),
    /// The answer of the run that an earlier arrival made.
    StoredAnswer {
        /// Request of that arrival.
        request: RequestId,
        /// Its answer.
        answer: StoredAnswer,
    },
    /// An earlier arrival may be running.
    InProgress {
        /// Request of that arrival.
        request: RequestId,
    },
    /// The call may have run; it will not be run again under this key.
    Unknown {
        /// Request under which it may have run.
        request: RequestId,
    },
    /// The key stands for another call; this one did not run.
    BodyDiffers {
        /// Request that took the key.
        request: RequestId,
    },
    /// This arrival did not run, and no later event makes it run.
    NotRun(NotRunReason),
}

/// The entry's side of one arrival.
///
/// Invariant: `Send` comes out at most once, and only after the take was answered `Taken`.
#[derive(Clone, Debug)]
pub struct ClaimedCall {
    take: TakeClaim,
    step: CallStep,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum CallStep {
    Taking,
    Sending,
    Settling(SettleClaim),
    Ended,
}

impl ClaimedCall {
    /// Begins a call by proposing its claim.
    pub fn begin(take: TakeClaim) -> (Self, Vec<CallEffect>) {
        let effects = vec![CallEffect::Take(take.clone())];
        let step = CallStep::Taking;
        (Self { take, step }, effects)
    }

    /// What the key is unique in.
    pub fn scope(&self) -> &ClaimScope {
        &self.take.scope
    }

    /// The arrival's ticket.
    pub fn ticket(&self) -> &ClaimTicket {
        &self.take.ticket
    }

    /// Whether nothing is left to do.
    pub fn is_ended(&self) -> bool {
        self.step == CallStep::Ended
    }

    /// Decides what follows from an event; one that fits no step, such as a late copy of an
    /// answer, changes nothing.
    pub fn handle(&mut self, event: CallEvent) -> Vec<CallEffect> {
        match (&self.step, event) {
            (CallStep::Taking, CallEvent::TakeAnswered(answer)) => self.taken(answer),
            (CallStep::Taking, CallEvent::TakeUnanswered) => {
                self.not_run(NotRunReason::KeepersUnreachable)
            }
            (CallStep::Sending, CallEvent::ConnectionRefused) => {
                self.not_run(NotRunReason::ConnectionRefused)
            }
            (CallStep::Sending, CallEvent::ProvedNotStarted) => {
                self.not_run(NotRunReason::ProvedNotStarted)
            }
            (CallStep::Sending, CallEvent::Answered(answer)) => {
                let verdict = CallerResponse::Answer(answer.clone());
                self.settle(ClaimOutcome::Finished(answer), verdict)
            }
            (CallStep::Sending, CallEvent::AnswerLost) => {
                let request = self.take.request.clone();
                self.settle(ClaimOutcome::Unknown, CallerResponse::Unknown { request })
            }
            (CallStep::Settling(settle), CallEvent::SettleUnanswered) => {
                vec![CallEffect::Settle(settle.clone())]
            }
            (CallStep::Settling(_), CallEvent::SettleAnswered) => {
                self.step = CallStep::Ended;
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn taken(&mut self, answer: TakeAnswer) -> Vec<CallEffect> {
        let verdict = match answer {
            TakeAnswer::Taken => {
                self.step = CallStep::Sending;
                return vec![CallEffect::Send];
            }
            TakeAnswer::AlreadyTaken { request, state } => match state {
                ClaimState::InProgress => CallerResponse::InProgress { request },
                ClaimState::Unknown => CallerResponse::Unknown { request },
                ClaimState::Finished(answer) => CallerResponse::StoredAnswer { request, answer },
            },
            TakeAnswer::BodyDiffers { request } => CallerResponse::BodyDiffers { request },
            TakeAnswer::Full => CallerResponse::NotRun(NotRunReason::ClaimsFull),
            TakeAnswer::TicketSpent => CallerResponse::NotRun(NotRunReason::EntryReplaced),
        };
        self.step = CallStep::Ended;
        vec![CallEffect::Respond(verdict)]
    }

    /// Gives the key back, so that the caller's next try is not held up by a run that never was.
    fn not_run(&mut self, reason: NotRunReason) -> Vec<CallEffect> {
        self.settle(ClaimOutcome::NotSent, CallerResponse::NotRun(reason))
    }

    fn settle(&mut self, outcome: ClaimOutcome, verdict: CallerResponse) -> Vec<CallEffect> {
        let settle = SettleClaim {
            scope: self.take.scope.clone(),
            ticket: self.take.ticket.clone(),
            outcome,
        };
        self.step = CallStep::Settling(settle.clone());
        vec![CallEffect::Respond(verdict), CallEffect::Settle(settle)]
    }
}
