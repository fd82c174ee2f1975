//! Reports of hosts to each other about the demand for services.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::shared::DemandSum;
use crate::base::ServiceName;

/// Highest demand of a valid report, in tokens per second.
const MAX_TOKENS_PER_SECOND: f64 = 1e9;
/// Highest number of hosts of a valid report.
const MAX_HOSTS: u32 = 1_000_000;
/// Longest service name of a valid report. It bounds the memory of the table.
const MAX_NAME_BYTES: usize = 256;

/// Hosts that a batch of reports is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportScope {
    /// The sender, or the hosts that follow it.
    Part,
    /// All hosts that the sender, a keeper, knows of; includes the receiver.
    Total,
}

/// Role of the sender of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSender {
    /// A keeper, which reports for the hosts that follow it.
    Keeper,
    /// A host that serves callers.
    Entry,
}

/// Demand of one or more hosts for a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Name of the service.
    pub service: ServiceName,
    /// KV tokens per second of the drafts that arrived at the reported hosts, whether they were
    /// sent or not; a whole number.
    #[serde(rename = "tokens")]
    pub tokens_per_second: f64,
    /// Number of the reported hosts that serve callers; 0, without demand, if the sender withdraws
    /// its last report.
    pub hosts: u32,
}

impl DemandReport {
    pub(super) fn new(service: ServiceName, sum: DemandSum) -> Self {
        Self {
            service,
            tokens_per_second: sum.demand.min(MAX_TOKENS_PER_SECOND),
            hosts: sum.hosts.min(MAX_HOSTS),
        }
    }

    /// Returns the reported sum.
    ///
    /// # Errors
    /// A value is invalid; the text names it and the accepted values.
    pub(super) fn checked(&self) -> Result<DemandSum, String> {
        let tokens = self.tokens_per_second;
        if !(0.0..=MAX_TOKENS_PER_SECOND).contains(&tokens) {
            return Err(format!(
                "{tokens} tokens per second, not 0 to {MAX_TOKENS_PER_SECOND}"
            ));
        }
        if self.hosts > MAX_HOSTS {
            return Err(format!("{} hosts, not 0 to {MAX_HOSTS}", self.hosts));
        }
        if self.hosts == 0 && tokens > 0.0 {
            return Err(format!("{tokens} tokens per second of no host"));
        }
        let name_bytes = self.service.as_str().len();
        if name_bytes > MAX_NAME_BYTES {
            return Err(format!(
                "service name of {name_bytes} bytes, not at most {MAX_NAME_BYTES}"
            ));
        }
        Ok(DemandSum {
            demand: tokens,
            hosts: self.hosts,
        })
    }
}

/// Batch of reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandBatch {
    /// Hosts that the reports are about.
    pub scope: ReportScope,
    /// Reports, at most one per service.
    pub reports: Vec<DemandReport>,
}

impl DemandBatch {
    /// Whether the batch has no reports and need not be sent.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}

/// Invalid reports of a batch, for a warning.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{count} invalid, the first with {reason}")]
pub struct InvalidDemand {
    /// Number of invalid reports in the batch.
    pub count: usize,
    /// First invalid value and the accepted ones.
    pub reason: String,
}
