//! Commands of the claim table, their answers, and the states of claims.

use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::base::{
    ClaimKey, CustomerName, HostName, Incarnation, RequestId, SequenceNumber, ServiceName,
};

/// Scope of a claim: the key is unique per customer and service.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{customer}/{service}/{key}")]
pub struct ClaimScope {
    /// Customer that sent the key.
    pub customer: CustomerName,
    /// Called service.
    pub service: ServiceName,
    /// Key that the caller chose.
    pub key: ClaimKey,
}

/// Identity of one arrival of a call at one entry.
///
/// Each arrival has its own ticket, even if callers reuse a request id: if two arrivals shared a
/// ticket, both would send the call.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{host}#{incarnation}/{sequence}")]
pub struct ClaimTicket {
    /// Host of the entry.
    pub host: HostName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Number of the arrival within that incarnation.
    pub sequence: SequenceNumber,
}

/// SHA-256 over method, path, query and body of a call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub [u8; 32]);

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, ..] = self.0;
        write!(formatter, "RequestDigest({first:02x}{second:02x}..)")
    }
}

/// A header of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHeader {
    /// Header name in lower case.
    pub name: Arc<str>,
    /// Header value.
    pub value: Arc<str>,
}

/// Body of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerBody {
    /// The complete body.
    Whole(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The body exceeded a limit and is not stored.
    TooLong {
        /// Length in bytes.
        bytes: u64,
    },
}

/// Answer of a call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are repeated to the caller.
    pub headers: Vec<AnswerHeader>,
    /// Response body.
    pub body: AnswerBody,
}

impl StoredAnswer {
    /// Size of body and headers in bytes, as counted by the table.
    pub(super) fn stored_bytes(&self) -> usize {
        let body = match &self.body {
            AnswerBody::Whole(bytes) => bytes.len(),
            AnswerBody::TooLong { .. } => 0,
        };
        body + self.header_bytes()
    }

    fn header_bytes(&self) -> usize {
        self.headers.iter().map(AnswerHeader::bytes).sum()
    }

    /// Drops the body and keeps its length.
    pub(super) fn without_body(mut self) -> Self {
        if let AnswerBody::Whole(bytes) = &self.body {
            let bytes = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
            self.body = AnswerBody::TooLong { bytes };
        }
        self
    }

    /// Limits the answer to `max_body` and `max_headers` bytes: drops headers that do not fit and a
    /// body that is too long.
    pub(super) fn bounded(mut self, max_body: usize, max_headers: usize) -> Self {
        let mut remaining = max_headers;
        self.headers.retain(|header| {
            let fits = header.bytes() <= remaining;
            remaining -= if fits { header.bytes() } else { 0 };
            fits
        });
        let is_too_long = matches!(&self.body, AnswerBody::Whole(bytes) if bytes.len() > max_body);
        if is_too_long {
            self.without_body()
        } else {
            self
        }
    }
}

impl AnswerHeader {
    fn bytes(&self) -> usize {
        self.name.len() + self.value.len()
    }
}

/// Command that takes a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeClaim {
    /// Scope of the claim.
    pub scope: ClaimScope,
    /// Digest of the call; a take of the same key with another digest is refused.
    pub digest: RequestDigest,
    /// Request that the call belongs to; look-ups return it.
    pub request: RequestId,
    /// Arrival that sends the call if the claim is taken.
    pub ticket: ClaimTicket,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The holder may be sending the call.
    InProgress,
    /// The call ran and was answered.
    Finished(StoredAnswer),
    /// The call may have run; this remains unknown unless its holder settles it, and it never runs
    /// again.
    Unknown,
}

/// A claim as one process knows it, from its own calls or from its copy of the claim table.
///
/// The keepers agreed on it at some time. They may have recorded its outcome, or released its key,
/// since then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownClaim {
    /// Arrival that holds or held the claim.
    pub ticket: ClaimTicket,
    /// Digest of its call.
    pub digest: RequestDigest,
    /// Request of that arrival.
    pub request: RequestId,
    /// Last known state.
    pub state: ClaimState,
}

/// Answer to [`TakeClaim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeAnswer {
    /// The ticket holds the claim and may send once.
    Taken,
    /// Another arrival took the claim first; this one must not send.
    AlreadyTaken {
        /// Request of that arrival.
        request: RequestId,
        /// State of its claim.
        state: ClaimState,
    },
    /// The key belongs to a call with another digest; this arrival must not send.
    BodyDiffers {
        /// Request that took the key.
        request: RequestId,
    },
    /// The table or the customer's share of it is full; this arrival must not send.
    Full,
    /// The ticket was released, or a newer incarnation of its entry exists; it must not send.
    TicketSpent,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The call ran, and its complete answer arrived.
    Finished(StoredAnswer),
    /// Bytes of the call were sent, and no complete answer arrived.
    Unknown,
    /// The call provably did not run: nothing was sent, or the backend server reported that it did
    /// not start the call. The key becomes free.
    #[serde(rename = "NotSent")]
    NotRun,
}

/// Command that records the outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleClaim {
    /// Scope of the claim.
    pub scope: ClaimScope,
    /// Ticket of its holder.
    pub ticket: ClaimTicket,
    /// Outcome of the call.
    pub outcome: ClaimOutcome,
}

/// Answer to [`SettleClaim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleAnswer {
    /// The outcome is recorded.
    Settled,
    /// An earlier outcome is recorded and stays.
    AlreadySettled,
    /// The ticket does not hold the claim; nothing changed.
    NotHeld,
}
