//! Customers of a table with the most refusals.

use super::AdmissionTable;
use crate::limits::counts::CustomerCounts;
use crate::limits::customer::CustomerRecord;

impl AdmissionTable {
    /// Counts of the customers with the most refusals, at most `limit` of them, most refusals first.
    pub fn most_refused(&self, limit: usize) -> Vec<CustomerCounts> {
        let customers = self.customers.values();
        let refused = customers.filter(|customer| customer.refused > 0);
        let mut counts: Vec<CustomerCounts> = refused.map(CustomerRecord::counts).collect();
        counts.sort_by(|one, other| {
            let by_refusals = other.refused.cmp(&one.refused);
            by_refusals.then_with(|| one.customer.cmp(&other.customer))
        });
        counts.truncate(limit);
        counts
    }
}
