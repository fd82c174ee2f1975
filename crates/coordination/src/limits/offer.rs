//! What is offered for admission, and what is decided.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::base::{CustomerName, MonotonicTime, RequestId};

new_key_type! {
    /// Key of a request that was admitted or waits.
    pub struct TicketKey;
}

/// How a request ranks among those that wait.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestPriority {
    /// Goes last, such as a draft in a batch.
    Batch,
    /// The usual.
    #[default]
    Normal,
    /// Goes first.
    Urgent,
}

impl RequestPriority {
    /// All priorities, the highest first.
    pub const DESCENDING: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];
}

/// A request that asks to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AdmissionOffer {
    /// Its identity.
    pub request: RequestId,
    /// Who pays for it.
    pub customer: CustomerName,
    /// How it ranks.
    pub priority: RequestPriority,
    /// Tokens of the prompt and of the expected answer: its cost, and its KV cache.
    pub tokens: u64,
    /// Predicted time from its start to its end.
    pub run: Duration,
    /// Time by which it must have ended.
    pub deadline: Option<MonotonicTime>,
}

/// What the entry can run at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct AdmissionCapacity {
    /// Requests.
    pub max_in_flight: u32,
    /// KV cache, in tokens, over whole pipelines.
    pub kv_tokens: u64,
}

/// What was decided about an offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionVerdict {
    /// It runs now.
    Admit(TicketKey),
    /// It waits; a later tick admits or refuses it.
    Queue {
        /// Its ticket.
        ticket: TicketKey,
        /// Predicted time until it starts.
        wait: Duration,
    },
    /// It does not run, and never will.
    Refuse(RequestRefusal),
}

/// What became of a request that waited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionChange {
    /// It runs now.
    Admitted {
        /// Its ticket.
        ticket: TicketKey,
        /// Its identity.
        request: RequestId,
    },
    /// It does not run, and never will.
    Refused {
        /// Its identity.
        request: RequestId,
        /// Why.
        refusal: RequestRefusal,
    },
}

/// A refusal of a request that did not run.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{reason}")]
pub struct RequestRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When it is worth trying again; none where it never is.
    pub retry_after: Option<Duration>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The customer sends more than its rate.
    #[display("rate of the customer exceeded")]
    RateLimited,
    /// The customer's queue, or that of all, is full.
    #[display("queue full")]
    QueueFull,
    /// It could not end by its deadline.
    #[display("deadline cannot be met")]
    DeadlineUnreachable,
    /// It is larger than all KV cache.
    #[display("larger than the KV cache")]
    TooLarge,
    /// Too many customers at once.
    #[display("too many customers")]
    TooManyCustomers,
}
