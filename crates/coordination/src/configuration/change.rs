//! Requests to change the configuration, and the answers to them.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::canonical::ConfigurationDigest;
use super::delta::{DifferenceSummary, DocumentChange};
use crate::base::{ChangeId, FindingList, OperatorName, Revision, WallTime};

/// Maximum number of findings in an answer; further findings are only counted.
pub const MAX_ANSWERED_FINDINGS: usize = 200;

/// An operator's request to replace the complete configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Identity of the change; a resend carries the same id.
    pub change_id: ChangeId,
    /// Revision that the operator edited; the change is accepted only if it is still in force.
    pub based_on: Revision,
    /// Operator who sent the request.
    pub operator: OperatorName,
    /// The complete new configuration, a YAML stream.
    pub text: Arc<str>,
}

/// An operator's request that carries only the documents that differ from its base revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRequest {
    /// Identity of the change; a resend carries the same id.
    pub change_id: ChangeId,
    /// Revision that the edit starts from; the edit is accepted only if it is still in force.
    pub based_on: Revision,
    /// Operator who sent the request.
    pub operator: OperatorName,
    /// Documents to set or remove. Invariant: their texts are canonical.
    pub changes: Vec<DocumentChange>,
    /// Digest of the canonical text after the edit.
    pub digest: ConfigurationDigest,
}

/// Outcome of a change. A resend within the retention period gets the first answer again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAnswer {
    /// The change is in force from this revision on.
    Accepted {
        /// Revision of the new configuration.
        revision: Revision,
        /// Findings on content that is accepted but probably unintended.
        warnings: FindingList,
    },
    /// Another change was accepted first; nothing changed.
    Conflict(Box<ChangeConflict>),
    /// The text is refused; nothing changed.
    Refused {
        /// Findings of the text, at most [`MAX_ANSWERED_FINDINGS`] and a count of the others.
        findings: FindingList,
    },
    /// The change id already belongs to another change; nothing changed.
    ChangeIdReused,
}

/// Details of a change that is not based on the revision in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeConflict {
    /// Revision that the change was based on.
    pub based_on: Revision,
    /// Revision in force at the time of the decision.
    pub current: Revision,
    /// The accepted change that follows `based_on`; `None` if it is no longer retained or
    /// `based_on` has never been in force.
    pub winner: Option<ChangeSummary>,
    /// Differences between the text in force and the refused text.
    pub difference: DifferenceSummary,
}

/// An accepted change, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Revision that the change created.
    pub revision: Revision,
    /// Identity of the change.
    pub change_id: ChangeId,
    /// Operator who requested it.
    pub operator: OperatorName,
    /// Wall-clock time of its proposer. Clocks can disagree; the order of revisions is reliable.
    pub time: WallTime,
    /// Digest of the resulting canonical text.
    pub digest: ConfigurationDigest,
    /// Documents that the change added, removed or changed.
    pub difference: DifferenceSummary,
}

impl fmt::Display for ChangeConflict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "based on revision {}, but {} is in force",
            self.based_on, self.current
        )?;
        if let Some(winner) = &self.winner {
            write!(
                formatter,
                "; change {} by {} made revision {}",
                winner.change_id, winner.operator, winner.revision
            )?;
        }
        write!(formatter, "; yours against it: {}", self.difference)
    }
}

/// The first [`MAX_ANSWERED_FINDINGS`] findings; one more finding counts the others.
pub(super) fn bounded_findings(findings: &FindingList) -> FindingList {
    use crate::base::Severity;
    let mut bounded = FindingList::default();
    for finding in findings.iter().take(MAX_ANSWERED_FINDINGS) {
        let (place, message) = (finding.place.clone(), finding.message.clone());
        match finding.severity {
            Severity::Warning => bounded.warning(place, message, finding.expected.clone()),
            Severity::Error => bounded.error(place, message, finding.expected.clone()),
        }
    }
    let rest = findings.iter().skip(MAX_ANSWERED_FINDINGS).count();
    if let Some(last) = findings.iter().last().filter(|_| rest > 0) {
        let message = format!("{rest} more findings up to here");
        bounded.error(last.place.clone(), message, "");
    }
    bounded
}
