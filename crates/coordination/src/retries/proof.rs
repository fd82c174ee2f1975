//! What is proved about a call when its attempt failed.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How an attempt to send a call ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SendOutcome {
    /// The backend server's host refused the connection.
    #[display("connection refused")]
    ConnectionRefused,
    /// No connection came about in time, and no byte was written.
    #[display("no connection")]
    NotConnected,
    /// The backend server itself says that it did not start the call.
    #[display("declined")]
    Declined,
    /// The connection broke after the first byte was written.
    #[display("reset after the send")]
    ResetAfterSend,
    /// No answer came in time after the first byte was written.
    #[display("timed out")]
    TimedOut,
    /// An error status without the backend server's word that it did not start; a proxy on the way
    /// may have made it.
    #[display("error status")]
    ErrorStatus,
    /// The answer began and did not end.
    #[display("incomplete answer")]
    IncompleteAnswer,
    /// The whole answer came.
    #[display("answered")]
    Answered,
}

/// What is proved about whether a call ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunProof {
    /// No byte of it left this process.
    #[display("not sent")]
    NotSent,
    /// It was sent, and the backend server says that it did not start.
    #[display("not run")]
    NotRun,
    /// It may or may not have run.
    #[display("unknown")]
    Unknown,
    /// It ran.
    #[display("ran")]
    Ran,
}

impl SendOutcome {
    /// What the outcome proves.
    ///
    /// Only a connection that never was, or the backend server's own word, proves that a call did
    /// not run. A reset, a time-out or an error status after the send may hide a call that ran and
    /// whose answer was lost; taking them for proof would run an attestation twice.
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
    /// Whether the caller may be told that the call did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun)
    }
}

/// What sending a call twice would do.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// Nothing more than sending it once.
    #[display("idempotent")]
    Idempotent,
    /// It may run at most once, with or without a claim.
    #[display("non-idempotent")]
    NonIdempotent,
}

impl CallKind {
    /// Whether a call may be sent again after an attempt of which `proof` is known.
    ///
    /// A non-idempotent call is never sent again once a byte of it has left, not even on a backend
    /// server's word: the claim says "sent", and no one else can tell this word from a wrong one.
    pub fn may_resend(self, proof: RunProof) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => proof == RunProof::NotSent,
        }
    }
}
