//! Which records a question is about.

use serde::{Deserialize, Serialize};

use super::record::{EvidenceRecord, OutcomeKind};
use crate::base::{CustomerName, RequestId, SelectorName, WallTime};

/// Conditions that a record meets all of; an absent one is met by every record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EvidenceFilter {
    /// The record speaks of this request.
    pub request: Option<RequestId>,
    /// The record speaks of this customer.
    pub customer: Option<CustomerName>,
    /// The record is not older.
    pub from: Option<WallTime>,
    /// The record is older.
    pub until: Option<WallTime>,
    /// The caller was told this.
    pub outcome: Option<OutcomeKind>,
    /// This selector served the request.
    pub selector: Option<SelectorName>,
}

impl EvidenceFilter {
    /// Whether `record` meets every condition.
    pub fn matches(&self, record: &EvidenceRecord) -> bool {
        let event = &record.event;
        met(self.request.as_ref(), event.request())
            && met(self.customer.as_ref(), event.customer())
            && met(self.outcome.as_ref(), event.outcome().as_ref())
            && met(self.selector.as_ref(), event.selector())
            && self.from.is_none_or(|from| from <= record.time)
            && self.until.is_none_or(|until| record.time < until)
    }
}

fn met<T>(wanted: Option<&T>, found: Option<&T>) -> bool
where
    T: PartialEq,
{
    wanted.is_none() || wanted == found
}
