//! Filter of evidence records.

use serde::{Deserialize, Serialize};

use super::record::{EvidenceRecord, OutcomeKind};
use crate::base::{CustomerName, RequestId, SelectorName, WallTime};

/// Conditions that a record must meet; an absent condition matches every record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EvidenceFilter {
    /// Request that the record is about.
    pub request: Option<RequestId>,
    /// Customer that the record is about.
    pub customer: Option<CustomerName>,
    /// Earliest time of the record, inclusive.
    pub from: Option<WallTime>,
    /// Latest time of the record, exclusive.
    pub until: Option<WallTime>,
    /// Outcome that was reported to the caller.
    pub outcome: Option<OutcomeKind>,
    /// Selector that served the request.
    pub selector: Option<SelectorName>,
}

impl EvidenceFilter {
    /// Whether `record` meets every condition.
    pub fn matches(&self, record: &EvidenceRecord) -> bool {
        let event = &record.event;
        is_met(self.request.as_ref(), event.request())
            && is_met(self.customer.as_ref(), event.customer())
            && is_met(self.outcome.as_ref(), event.outcome().as_ref())
            && is_met(self.selector.as_ref(), event.selector())
            && self.from.is_none_or(|from| from <= record.time)
            && self.until.is_none_or(|until| record.time < until)
    }
}

fn is_met<T>(required: Option<&T>, found: Option<&T>) -> bool
where
    T: PartialEq,
{
    required.is_none() || required == found
}
