//! Classifies how an attempt ended, and whether that proves that the call did or did not run.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How an attempt to send a call ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SendOutcome {
    /// The backend server's host refused the connection.
    #[display("connection refused")]
    ConnectionRefused,
    /// No connection was established in time, and no byte was written.
    #[display("no connection")]
    NotConnected,
    /// The backend server reports that it did not start the call. `CallEvent::ProvedNotStarted` of
    /// [`crate::claims`] is the same fact.
    #[display("declined")]
    Declined,
    /// The connection broke after the first byte was written.
    #[display("reset after the send")]
    ResetAfterSend,
    /// No answer arrived in time after the first byte was written.
    #[display("timed out")]
    TimedOut,
    /// An error status, without a report of the backend server that it did not start the call; an
    /// intermediate proxy may have generated it.
    #[display("error status")]
    ErrorStatus,
    /// The answer began and was cut off.
    #[display("incomplete answer")]
    IncompleteAnswer,
    /// The complete answer arrived.
    #[display("answered")]
    Answered,
}

/// Proof whether a call ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunProof {
    /// No byte of the call left this process.
    #[display("not sent")]
    NotSent,
    /// The call was sent, and the backend server reports that it did not start it.
    #[display("not run")]
    NotRun,
    /// The call may or may not have run.
    #[display("unknown")]
    Unknown,
    /// The call ran.
    #[display("ran")]
    Ran,
}

impl SendOutcome {
    /// Returns what the outcome proves.
    ///
    /// Only a connection that was never established, or a report of the backend server itself,
    /// proves that a call did not run. After a reset, a timeout or an error status the call may
    /// have run and its answer may be lost; treating them as proof would run a non-idempotent call
    /// twice.
    pub fn proof(self) -> RunProof {
        match self {
            Self::ConnectionRefused | Self::NotConnected => RunProof::NotSent,
            Self::Declined => RunProof::NotRun,
            Self::ResetAfterSend | Self::TimedOut | Self::ErrorStatus => RunProof::Unknown,
            Self::IncompleteAnswer | Self::Answered => RunProof::Ran,
        }
    }
}

impl RunProof {
    /// Whether it is proved that the call did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun)
    }
}

/// Whether a call may run more than once. [`RouteKind::may_repeat`] maps the kind of a route to it:
/// idempotent routes and resumable streams may run more than once.
///
/// [`RouteKind::may_repeat`]: crate::routes::RouteKind::may_repeat
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// Running the call twice has the same effect as running it once.
    #[display("idempotent")]
    Idempotent,
    /// The call may run at most once, with or without a claim.
    #[display("non-idempotent")]
    NonIdempotent,
}

impl CallKind {
    /// Whether a call may be sent again after an attempt with `proof`.
    ///
    /// A non-idempotent call is never sent again after a byte of it was sent, even if the backend
    /// server reports that it did not start the call: the claim records it as sent, and nothing
    /// else can verify the report.
    pub fn may_resend(self, proof: RunProof) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => proof == RunProof::NotSent,
        }
    }
}
