//! Types in the interface of the table.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::digest::ContentDigest;

/// Number of one send, unique over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SendNumber(pub u64);

/// Number of one attempt of a caller at this host; all its sends have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunNumber(pub u64);

/// How sure the end of a server is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossKind {
    /// It does not answer one host, which may itself be overloaded.
    #[display("silent")]
    Silent,
    /// Nothing listens at its address, or it does not answer the keepers either.
    #[display("gone")]
    Gone,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// The whole answer came.
    Answered,
    /// The server did not get the request, or declined it.
    NotTaken,
    /// Anything else: the request may have been on the server until now.
    Broken,
}

/// Whether a request may be sent to servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// No server is known to have ended under it.
    Send,
    /// Servers have ended under it, and fewer than allowed.
    Trial,
    /// It is on as many servers as may still end under it, or such servers are silent; what became of
    /// them comes first.
    Wait,
    /// It must not be sent.
    Stop(StoppedRequest),
}

/// A request that is not sent to servers any more.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("servers ended each time the request was sent to them: {ends} times")]
pub struct StoppedRequest {
    /// Sends under which servers ended.
    pub ends: u32,
    /// Time after which it may be sent again.
    pub wait: Duration,
}

/// A change of what is known of a request, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoisonEvent {
    /// A server ended under the request.
    Lost {
        /// The request.
        digest: ContentDigest,
        /// Server that ended.
        server: crate::base::ServerName,
        /// Sends under which servers have ended.
        ends: u32,
        /// Further sends under which servers are silent.
        unsure: u32,
        /// Servers that ended beside it and did not have the request.
        others: u32,
    },
    /// The request is not sent any more.
    Stopped {
        /// The request.
        digest: ContentDigest,
        /// Sends under which servers ended.
        ends: u32,
    },
    /// A whole answer to a request under which servers had ended.
    Cleared {
        /// The request.
        digest: ContentDigest,
    },
}
