//! Reports of hosts to each other about rate-limited servers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rate::RequestRate;
use crate::base::ServerName;
pub use crate::demand::ReportScope as RateScope;

/// Statement of a server, as reported by the host that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementReport {
    /// Accepted rate; `None` if the answer stated no limit.
    pub limit: Option<RequestRate>,
    /// Time since the answer.
    pub age: Duration,
}

/// Demand of one or more hosts for a rate-limited server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateReport {
    /// Name of the server.
    pub server: ServerName,
    /// Newest statement that the reported hosts received from the server itself, if any did. What
    /// they know from reports is omitted, or a statement could circulate for ever.
    pub stated: Option<StatementReport>,
    /// Requests per second that the reported hosts want to send to the server.
    pub demand: RequestRate,
    /// Number of the reported hosts that serve callers.
    pub hosts: u32,
}

/// Batch of reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateBatch {
    /// Hosts that the reports are about.
    pub scope: RateScope,
    /// Reports, at most one per server.
    pub reports: Vec<RateReport>,
}
