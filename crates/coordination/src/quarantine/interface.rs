//! Types in the interface of the quarantine.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::base::{Incarnation, MonotonicTime, PartName, ServerName, ServiceName};

/// A part of the prompts of one service.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{part} of {service}")]
pub struct PartKey {
    /// Service whose engines run the prompts.
    pub service: ServiceName,
    /// Name of the part.
    pub part: PartName,
}

/// Identity of a crash: an incarnation of an engine crashes once.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{server}")]
pub struct CrashId {
    /// Engine that crashed.
    pub server: ServerName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// Whether a request may be sent to engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// None of its parts is suspected.
    Send,
    /// It may be sent as the test of its suspected parts, which began at this time.
    Test(MonotonicTime),
    /// It must not be sent now.
    Hold(HeldRequest),
}

/// A request that is held back.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display(
    "a part of the prompt is held back, as engines crashed under it: part {part}, {crashes} crashes"
)]
pub struct HeldRequest {
    /// Suspected part with the longest wait.
    pub part: PartKey,
    /// Crashes that the part is suspected of.
    pub crashes: u32,
    /// Time after which it may be sent.
    pub wait: Duration,
}

/// What is known of a part.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PartVerdict {
    /// Engines answer it.
    #[display("sound")]
    Sound,
    /// It was on engines that crashed, and no answer to it is known.
    #[display("suspected")]
    Suspected {
        /// Crashes.
        crashes: u32,
        /// Rounds of crashes.
        rounds: u32,
    },
}

/// A change of what is known of a part, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineEvent {
    /// Changed part.
    pub part: PartKey,
    /// New verdict.
    pub verdict: PartVerdict,
}
