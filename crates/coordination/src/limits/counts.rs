//! Counts of an admission table, for the dump and the metrics.

use serde::{Deserialize, Serialize};

use super::offer::RequestPriority;
use crate::base::CustomerName;

/// Counts of the requests of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityCounts {
    /// Requests admitted since the table was created.
    pub admitted: u64,
    /// Those of the admitted requests that had waited in a queue.
    pub admitted_after_wait: u64,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests refused since the table was created, at once or after a wait.
    pub refused: u64,
}

impl PriorityCounts {
    fn since(&self, earlier: &Self) -> Self {
        let after_wait = self.admitted_after_wait;
        Self {
            admitted: self.admitted.saturating_sub(earlier.admitted),
            admitted_after_wait: after_wait.saturating_sub(earlier.admitted_after_wait),
            waiting: self.waiting,
            refused: self.refused.saturating_sub(earlier.refused),
        }
    }
}

/// Counts of all requests of a table, by priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionCounts {
    /// Counts of urgent requests.
    pub urgent: PriorityCounts,
    /// Counts of normal requests.
    pub normal: PriorityCounts,
    /// Counts of batch requests.
    pub batch: PriorityCounts,
}

impl AdmissionCounts {
    /// Returns the counts of one priority.
    pub fn of(&self, priority: RequestPriority) -> PriorityCounts {
        match priority {
            RequestPriority::Urgent => self.urgent,
            RequestPriority::Normal => self.normal,
            RequestPriority::Batch => self.batch,
        }
    }

    /// Returns the requests admitted and refused since `earlier`, and those that wait now.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            urgent: self.urgent.since(&earlier.urgent),
            normal: self.normal.since(&earlier.normal),
            batch: self.batch.since(&earlier.batch),
        }
    }

    pub(super) fn of_mut(&mut self, priority: RequestPriority) -> &mut PriorityCounts {
        match priority {
            RequestPriority::Urgent => &mut self.urgent,
            RequestPriority::Normal => &mut self.normal,
            RequestPriority::Batch => &mut self.batch,
        }
    }
}

/// Requests of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerCounts {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Requests that run now.
    pub in_flight: u32,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests admitted since the table remembers the customer.
    pub admitted: u64,
    /// Requests refused since then, at once or after a wait.
    pub refused: u64,
}
