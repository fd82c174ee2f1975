//! Decides on changes in sequence, and stores their answers and the history of revisions.

mod deciding;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::canonical::{CanonicalText, ConfigurationDigest};
use super::change::{ChangeAnswer, ChangeSummary, bounded_findings};
use super::checked::DocumentCache;
use super::delta::{ConfigurationDelta, DocumentChange};
use super::model::DocumentKey;
use super::parse::ParsedConfiguration;
use super::recent_changes::RecentChanges;
use super::table::Configuration;
use crate::base::{ChangeId, FindingList, Revision, WallTime};
use crate::replicated::ReplicatedTime;

const HOUR: u64 = 3_600;

/// Limits on the stored answers and history. A list that exceeds any of its limits loses its oldest
/// entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRetention {
    /// Maximum number of answers stored for resends.
    pub answers: usize,
    /// Maximum age of a stored answer.
    pub answer_age: Duration,
    /// Maximum number of changes in the history.
    pub history: usize,
    /// Maximum age of a change in the history.
    pub history_age: Duration,
    /// Maximum size of the document texts in the history, in bytes.
    pub history_bytes: usize,
}

impl Default for ChangeRetention {
    fn default() -> Self {
        Self {
            answers: 30_000,
            answer_age: Duration::from_secs(24 * HOUR),
            history: 30_000,
            history_age: Duration::from_secs(30 * 24 * HOUR),
            history_bytes: 32 * 1024 * 1024,
        }
    }
}

/// The configuration in force at a given wall-clock time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceAnswer {
    /// The change that created the revision in force.
    pub change: ChangeSummary,
    /// Canonical text of that revision.
    pub text: String,
    /// Whether the proposers' clocks disagree around this time, so that an adjacent revision could
    /// have been in force instead.
    pub clocks_disagree: bool,
}

/// Decision on a change.
#[derive(Debug)]
pub struct ChangeDecision {
    /// Answer to the operator.
    pub answer: ChangeAnswer,
    /// The new configuration; `None` if the change is not accepted.
    pub configuration: Option<Arc<Configuration>>,
}

impl ChangeDecision {
    fn of(answer: ChangeAnswer) -> Self {
        Self {
            answer,
            configuration: None,
        }
    }

    fn refused(findings: &FindingList) -> Self {
        Self::of(ChangeAnswer::Refused {
            findings: bounded_findings(findings),
        })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedAnswer {
    /// Digest of the request; distinguishes a resend from another change with the same id.
    request: ConfigurationDigest,
    answer: ChangeAnswer,
    at: ReplicatedTime,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HistoryRecord {
    summary: ChangeSummary,
    at: ReplicatedTime,
    /// Changes that lead from this revision back to the previous one.
    undo: Vec<DocumentChange>,
}

/// The sequence of accepted changes.
///
/// Invariants: `history` contains consecutive revisions that end with `revision`; `answer_order`
/// contains each key of `answers` once, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChangeLog {
    retention: ChangeRetention,
    revision: Revision,
    /// Text in force as its operator wrote it, including comments.
    text: Arc<str>,
    canonical: CanonicalText,
    answers: BTreeMap<ChangeId, RecordedAnswer>,
    answer_order: VecDeque<ChangeId>,
    history: VecDeque<HistoryRecord>,
    history_bytes: usize,
    /// Changes of the last revisions. Speeds up deltas; empty after a restore.
    #[serde(skip)]
    recent: RecentChanges,
    /// Documents of the last valid text. Speeds up the next check without affecting its result.
    #[serde(skip)]
    cache: DocumentCache,
}

impl ChangeLog {
    /// Starts at revision 0 with an empty configuration.
    pub fn new(retention: ChangeRetention) -> Self {
        Self {
            retention,
            ..Self::default()
        }
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Text in force, as its operator wrote it.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Canonical text in force.
    pub fn canonical(&self) -> &CanonicalText {
        &self.canonical
    }

    /// Stored answer to a change; `None` if there is none or it is no longer retained.
    pub fn answer(&self, change_id: &ChangeId) -> Option<&ChangeAnswer> {
        self.answers.get(change_id).map(|recorded| &recorded.answer)
    }

    /// Number of stored answers.
    pub fn answer_count(&self) -> usize {
        self.answers.len()
    }

    /// Retained accepted changes, newest first.
    pub fn history(&self) -> impl Iterator<Item = &ChangeSummary> {
        self.history.iter().rev().map(|record| &record.summary)
    }

    /// Builds the configuration in force, indexed for matching.
    ///
    /// Parses the operator's own text, which fills the cache, so that the next edit parses only the
    /// documents that it changes. Falls back to the canonical text if this version of the software
    /// refuses the operator's text or reads other content from it.
    ///
    /// # Errors
    /// Findings if the canonical text does not parse; only a damaged snapshot causes this.
    pub fn build(&mut self) -> Result<Arc<Configuration>, FindingList> {
        let file = "configuration";
        let from_text = ParsedConfiguration::parse_after(file, &self.text, &mut self.cache);
        let parsed = match from_text {
            Ok(parsed) if *parsed.canonical() == self.canonical => parsed,
            _ => ParsedConfiguration::parse(file, &self.canonical.text())?,
        };
        Ok(Arc::new(Configuration::build(self.revision, &parsed)))
    }

    /// Canonical text of a revision; `None` if it is not retained.
    pub fn canonical_at(&self, revision: Revision) -> Option<CanonicalText> {
        if revision > self.revision {
            return None;
        }
        let mut canonical = self.canonical.clone();
        let mut reached = self.revision;
        for record in self.history.iter().rev() {
            if reached <= revision {
                break;
            }
            canonical.apply_without_undo(&record.undo);
            reached = Revision(record.summary.revision.0.saturating_sub(1));
        }
        (reached == revision).then_some(canonical)
    }

    /// Delta from a revision to the one in force; `None` if the revision is not retained.
    ///
    /// The cost depends on the documents changed in between instead of the complete text, since
    /// hundreds of hosts request a delta after each change.
    pub fn delta_since(&self, from: Revision) -> Option<ConfigurationDelta> {
        let changes = self.recent.since(from);
        let changes = changes.or_else(|| self.compare_since(from))?;
        let last = self.history.back();
        Some(ConfigurationDelta {
            from,
            to: self.revision,
            changes,
            digest: last.map_or_else(|| self.canonical.digest(), |last| last.summary.digest),
        })
    }

    /// Compares the documents of a revision that changed since with those in force; `None` if the
    /// revision is not retained.
    fn compare_since(&self, from: Revision) -> Option<Vec<DocumentChange>> {
        let mut reached = self.revision;
        let mut undos = Vec::new();
        for record in self.history.iter().rev() {
            if reached <= from {
                break;
            }
            undos.push(&record.undo);
            reached = Revision(record.summary.revision.0.saturating_sub(1));
        }
        if reached != from {
            return None;
        }
        let changed_keys: BTreeSet<&DocumentKey> = undos
            .iter()
            .flat_map(|undo| undo.iter())
            .map(|c| &c.key)
            .collect();
        let current = self.canonical.subset(&changed_keys);
        let mut earlier = current.clone();
        for undo in undos {
            earlier.apply_without_undo(undo);
        }
        Some(earlier.changes_to(&current))
    }

    /// The configuration in force at a wall-clock time; `None` for a time before the retained
    /// history.
    pub fn in_force_at(&self, time: WallTime) -> Option<InForceAnswer> {
        let position = self
            .history
            .iter()
            .rposition(|record| record.summary.time <= time)?;
        let record = self.history.get(position)?;
        let mut earlier = self.history.iter().take(position);
        Some(InForceAnswer {
            change: record.summary.clone(),
            text: self.canonical_at(record.summary.revision)?.text(),
            clocks_disagree: earlier.any(|record| record.summary.time > time),
        })
    }

    fn record_answer(
        &mut self,
        change_id: ChangeId,
        request: ConfigurationDigest,
        answer: ChangeAnswer,
        at: ReplicatedTime,
    ) {
        self.answer_order.push_back(change_id.clone());
        let recorded = RecordedAnswer {
            request,
            answer,
            at,
        };
        self.answers.insert(change_id, recorded);
        while self.answers.len() > self.retention.answers {
            self.drop_oldest_answer();
        }
    }

    fn expire(&mut self, now: ReplicatedTime) {
        while let Some(oldest) = self.answer_order.front() {
            let expired = self
                .answers
                .get(oldest)
                .is_none_or(|recorded| now.since(recorded.at) > self.retention.answer_age);
            if !expired {
                return;
            }
            self.drop_oldest_answer();
        }
    }

    fn drop_oldest_answer(&mut self) {
        if let Some(oldest) = self.answer_order.pop_front() {
            self.answers.remove(&oldest);
        }
    }

    /// Drops the oldest changes beyond the limits. Always keeps the newest change, so that the
    /// history includes the revision in force.
    fn trim_history(&mut self, now: ReplicatedTime) {
        while self.history.len() > 1 {
            let Some(oldest) = self.history.front() else {
                return;
            };
            let expired = now.since(oldest.at) > self.retention.history_age;
            let exceeds_limit = self.history.len() > self.retention.history
                || self.history_bytes > self.retention.history_bytes;
            if !expired && !exceeds_limit {
                return;
            }
            self.history_bytes = self.history_bytes.saturating_sub(undo_bytes(&oldest.undo));
            self.history.pop_front();
        }
    }
}

fn undo_bytes(undo: &[DocumentChange]) -> usize {
    undo.iter().map(DocumentChange::bytes).sum()
}
