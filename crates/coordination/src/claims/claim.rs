//! Claims, who holds them, and what they came to.

use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::base::{
    ClaimKey, CustomerName, HostName, Incarnation, RequestId, SequenceNumber, ServiceName,
};

/// What a key is unique in.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{customer}/{service}/{key}")]
pub struct ClaimScope {
    /// Customer that chose the key.
    pub customer: CustomerName,
    /// Service that is called.
    pub service: ServiceName,
    /// The key.
    pub key: ClaimKey,
}

/// One arrival of a call at one entry.
///
/// Each arrival takes a ticket of its own, also where callers resend one request id: a ticket that
/// two arrivals shared would let both of them send.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{host}#{incarnation}/{sequence}")]
pub struct ClaimTicket {
    /// Host of the entry.
    pub host: HostName,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Number of the arrival within that life.
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
    /// Name in lower case.
    pub name: Arc<str>,
    /// Value.
    pub value: Arc<str>,
}

/// Body of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerBody {
    /// The whole body.
    Whole(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The body was too long to keep.
    TooLong {
        /// Its length in bytes.
        bytes: u64,
    },
}

/// Answer of a call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that matter to the caller.
    pub headers: Vec<AnswerHeader>,
    /// Body.
    pub body: AnswerBody,
}

impl StoredAnswer {
    /// Bytes that the answer takes in the table.
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

    /// The answer without its body.
    pub(super) fn without_body(mut self) -> Self {
        if let AnswerBody::Whole(bytes) = &self.body {
            let bytes = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
            self.body = AnswerBody::TooLong { bytes };
        }
        self
    }

    /// The answer cut to bounds.
    pub(super) fn bounded(mut self, max_body: usize, max_headers: usize) -> Self {
        let mut room = max_headers;
        self.headers.retain(|header| {
            let fits = header.bytes() <= room;
            room -= if fits { header.bytes() } else { 0 };
            fits
        });
        let long = matches!(&self.body, AnswerBody::Whole(bytes) if bytes.len() > max_body);
        if long { self.without_body() } else { self }
    }
}

impl AnswerHeader {
    fn bytes(&self) -> usize {
        self.name.len() + self.value.len()
    }
}

/// Asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeClaim {
    /// What the key is unique in.
    pub scope: ClaimScope,
    /// Digest of the call; the same key with another digest is refused.
    pub digest: RequestDigest,
    /// Request that the call belongs to; look-ups name it.
    pub request: RequestId,
    /// The arrival that would send the call.
    pub ticket: ClaimTicket,
}

/// How a claim stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Its holder may be sending.
    InProgress,
    /// The call ran and this is its answer.
    Finished(StoredAnswer),
    /// It may have run; nobody will ever know more, and it is never run again.
    Unknown,
}

/// Answer to [`TakeClaim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeAnswer {
    /// The ticket holds the claim and may send once.
    Taken,
    /// Another arrival came first; this one must not send.
    AlreadyTaken {
        /// Request of that arrival.
        request: RequestId,
        /// How its claim stands.
        state: ClaimState,
    },
    /// The key stands for another call; this one must not send.
    BodyDiffers {
        /// Request that took the key.
        request: RequestId,
    },
    /// No room for another claim; this one must not send.
    Full,
    /// The ticket was given back, or its entry's process was replaced; it must not send.
    TicketSpent,
}

/// What a call came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// It ran and was answered whole.
    Finished(StoredAnswer),
    /// Bytes went out and no whole answer came back.
    Unknown,
    /// Proved not to have run: nothing was sent, or the backend server proved that it did not
    /// start. The key is free again.
    NotSent,
}

/// Settles a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleClaim {
    /// The claim.
    pub scope: ClaimScope,
    /// Its holder.
    pub ticket: ClaimTicket,
    /// What the call came to.
    pub outcome: ClaimOutcome,
}

/// Answer to [`SettleClaim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleAnswer {
    /// The outcome is recorded.
    Settled,
    /// An outcome was recorded before; it stays.
    AlreadySettled,
    /// The ticket holds no such claim; nothing changed.
    NotHeld,
}
