//! Requests offered for admission, and the decisions about them.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::base::{CustomerName, MonotonicTime, RequestId};

new_key_type! {
    /// Key of a running or waiting request in its admission table.
    pub struct TicketKey;
}

/// Priority of a request among the waiting requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestPriority {
    /// Runs last, such as a background request.
    Batch,
    /// Default priority.
    #[default]
    Normal,
    /// Runs first.
    Urgent,
}

impl RequestPriority {
    /// All priorities, highest first.
    pub const DESCENDING: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];
}

/// A request offered for admission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AdmissionRequest {
    /// Identity of the request.
    pub request: RequestId,
    /// Customer that sent it.
    pub customer: CustomerName,
    /// Its priority.
    pub priority: RequestPriority,
    /// Tokens of the prompt and of the expected answer: its cost and its KV cache, in tokens.
    pub tokens: u64,
    /// Predicted run time, from start to end.
    #[serde(rename = "run")]
    pub run_time: Duration,
    /// Time by which it must end.
    pub deadline: Option<MonotonicTime>,
    /// Whether its caller was refused before and comes back.
    pub is_return: bool,
}

/// KV memory that requests of lower priorities leave free for more urgent ones, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PriorityReserve {
    /// Memory that a request of normal priority leaves free.
    pub normal: u64,
    /// Memory that a request of batch priority leaves free.
    pub batch: u64,
}

/// Limits on the requests that an entry runs concurrently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct AdmissionCapacity {
    /// Running requests.
    pub max_in_flight: u32,
    /// KV cache of complete pipelines that running requests may hold, in tokens.
    pub kv_tokens: u64,
    /// KV cache of the largest possible request, in tokens; a larger one is refused for good.
    pub max_request_tokens: u64,
    /// Part of `kv_tokens` that requests of lower priorities leave free.
    pub reserve: PriorityReserve,
}

/// Decision about an offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionVerdict {
    /// The request runs now.
    Admit(TicketKey),
    /// The request waits; a later tick admits or refuses it.
    Queue {
        /// Its ticket.
        ticket: TicketKey,
        /// Predicted time until it starts.
        wait: Duration,
    },
    /// The request does not run, now or later.
    Refuse(RequestRefusal),
}

/// Decision about a request that waited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionChange {
    /// The request runs now.
    Admitted {
        /// Its ticket.
        ticket: TicketKey,
        /// Identity of the request.
        request: RequestId,
    },
    /// The request does not run, now or later.
    Refused {
        /// Identity of the request.
        request: RequestId,
        /// Reason, and when to retry.
        refusal: RequestRefusal,
    },
}

/// A refusal of a request that did not run.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{reason}")]
pub struct RequestRefusal {
    /// Reason of the refusal.
    pub reason: AdmissionRefusal,
    /// Time after which a retry may succeed; `None` if no retry can.
    pub retry_after: Option<Duration>,
}

/// Reason why a request was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionRefusal {
    /// The customer exceeds its request rate.
    #[display("rate of the customer exceeded")]
    RateLimited,
    /// The customer's queue or the total queue is full.
    #[display("queue full")]
    QueueFull,
    /// The request cannot end by its deadline.
    #[display("deadline cannot be met")]
    DeadlineUnreachable,
    /// The request needs more than the total KV cache.
    #[display("larger than the KV cache")]
    TooLarge,
    /// The table holds its maximum of customers, and none of them can be removed.
    #[display("too many customers")]
    TooManyCustomers,
}
