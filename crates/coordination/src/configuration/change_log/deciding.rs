//! Decides on complete texts and on edits.

use std::sync::Arc;

use super::super::canonical::ConfigurationDigest;
use super::super::change::{
    ChangeAnswer, ChangeConflict, ChangeRequest, ChangeSummary, EditRequest, bounded_findings,
};
use super::super::delta::{DifferenceSummary, DocumentChange};
use super::super::document::whole_file;
use super::super::parse::ParsedConfiguration;
use super::super::table::Configuration;
use super::{ChangeDecision, ChangeLog, HistoryRecord, undo_bytes};
use crate::base::{ChangeId, FindingList, OperatorName, Revision, WallTime};
use crate::replicated::ReplicatedTime;

/// A change that is about to be accepted.
struct AcceptedChange<'request> {
    change_id: &'request ChangeId,
    operator: &'request OperatorName,
    changes: &'request [DocumentChange],
    /// Digest of the canonical text after the change.
    digest: ConfigurationDigest,
}

impl ChangeLog {
    /// Decides on a change and returns only the answer.
    pub fn decide(
        &mut self,
        request: &ChangeRequest,
        wall: WallTime,
        now: ReplicatedTime,
    ) -> ChangeAnswer {
        self.decide_and_build(request, wall, now).answer
    }

    /// Decides on a change and builds the resulting configuration.
    ///
    /// A resend gets the stored first answer, regardless of later changes. After that answer has
    /// expired, a resend still can't take effect twice: its `based_on` is no longer in force, so
    /// it is a conflict.
    pub fn decide_and_build(
        &mut self,
        request: &ChangeRequest,
        wall: WallTime,
        now: ReplicatedTime,
    ) -> ChangeDecision {
        self.expire(now);
        let file = request.change_id.as_str();
        let parsed = ParsedConfiguration::parse_after(file, &request.text, &mut self.cache);
        let content = match &parsed {
            Ok(parsed) => parsed.canonical().digest(),
            Err(_) => ConfigurationDigest::of(request.text.as_bytes()),
        };
        let digest = request_digest(request.based_on, content, &request.operator);
        if let Some(answer) = self.stored_answer(&request.change_id, digest) {
            return ChangeDecision::of(answer);
        }
        let decision = match parsed {
            Err(findings) => ChangeDecision::refused(&findings),
            Ok(parsed) if request.based_on != self.revision => {
                let difference = self.canonical.difference(parsed.canonical());
                ChangeDecision::of(self.conflict(request.based_on, difference))
            }
            Ok(parsed) => {
                let change = AcceptedChange {
                    change_id: &request.change_id,
                    operator: &request.operator,
                    changes: &self.canonical.changes_to(parsed.canonical()),
                    digest: content,
                };
                self.accept(change, Arc::clone(&request.text), &parsed, wall, now)
            }
        };
        self.record_decision(&request.change_id, digest, decision, now)
    }

    /// Decides on an edit, with the same result as on the complete text that it produces.
    ///
    /// It parses that text but does not compare it with the text in force: comparing two texts of
    /// thousands of routes blocked a keeper with a small share of a core for seconds.
    pub fn decide_edit(
        &mut self,
        request: &EditRequest,
        wall: WallTime,
        now: ReplicatedTime,
    ) -> ChangeDecision {
        self.expire(now);
        let digest = request_digest(request.based_on, request.digest, &request.operator);
        if let Some(answer) = self.stored_answer(&request.change_id, digest) {
            return ChangeDecision::of(answer);
        }
        let decision = if request.based_on == self.revision {
            self.accept_edit(request, wall, now)
        } else {
            let difference = self.canonical.summary_of(&request.changes);
            ChangeDecision::of(self.conflict(request.based_on, difference))
        };
        self.record_decision(&request.change_id, digest, decision, now)
    }

    /// Stores the answer for resends and returns the decision.
    fn record_decision(
        &mut self,
        change_id: &ChangeId,
        request: ConfigurationDigest,
        decision: ChangeDecision,
        now: ReplicatedTime,
    ) -> ChangeDecision {
        self.record_answer(change_id.clone(), request, decision.answer.clone(), now);
        decision
    }

    fn stored_answer(
        &self,
        change_id: &ChangeId,
        request: ConfigurationDigest,
    ) -> Option<ChangeAnswer> {
        let recorded = self.answers.get(change_id)?;
        if recorded.request == request {
            return Some(recorded.answer.clone());
        }
        Some(ChangeAnswer::ChangeIdReused)
    }

    fn accept_edit(
        &mut self,
        request: &EditRequest,
        wall: WallTime,
        now: ReplicatedTime,
    ) -> ChangeDecision {
        let mut canonical = self.canonical.clone();
        canonical.apply_without_undo(&request.changes);
        let file = request.change_id.as_str();
        let text: Arc<str> = canonical.text().into();
        let parsed = match ParsedConfiguration::parse_after(file, &text, &mut self.cache) {
            Ok(parsed) => parsed,
            Err(findings) => return ChangeDecision::refused(&findings),
        };
        let has_stated_content =
            canonical.digest() == request.digest && *parsed.canonical() == canonical;
        if !has_stated_content {
            let mut findings = FindingList::default();
            let message = "the edit leads to another content than it names";
            findings.error(
                whole_file(&file.into()),
                message,
                "the digest of its content",
            );
            return ChangeDecision::refused(&findings);
        }
        let change = AcceptedChange {
            change_id: &request.change_id,
            operator: &request.operator,
            changes: &request.changes,
            digest: request.digest,
        };
        self.accept(change, text, &parsed, wall, now)
    }

    fn accept(
        &mut self,
        change: AcceptedChange<'_>,
        text: Arc<str>,
        parsed: &ParsedConfiguration,
        wall: WallTime,
        now: ReplicatedTime,
    ) -> ChangeDecision {
        let revision = self.revision.next();
        let summary = ChangeSummary {
            revision,
            change_id: change.change_id.clone(),
            operator: change.operator.clone(),
            time: wall,
            digest: change.digest,
            difference: self.canonical.summary_of(change.changes),
        };
        self.recent.push(revision, change.changes);
        let undo = self.canonical.apply(change.changes);
        self.history_bytes += undo_bytes(&undo);
        self.history.push_back(HistoryRecord {
            summary,
            at: now,
            undo,
        });
        self.revision = revision;
        self.text = text;
        self.trim_history(now);
        ChangeDecision {
            answer: ChangeAnswer::Accepted {
                revision,
                warnings: bounded_findings(&parsed.warnings),
            },
            configuration: Some(Arc::new(Configuration::build(revision, parsed))),
        }
    }

    fn conflict(&self, based_on: Revision, difference: DifferenceSummary) -> ChangeAnswer {
        let next = based_on.next();
        let winner = self
            .history
            .iter()
            .find(|record| record.summary.revision == next);
        ChangeAnswer::Conflict(Box::new(ChangeConflict {
            based_on,
            current: self.revision,
            winner: winner.map(|record| record.summary.clone()),
            difference,
        }))
    }
}

/// Digest of the properties that identify a resend: content, base revision and operator.
fn request_digest(
    based_on: Revision,
    content: ConfigurationDigest,
    operator: &OperatorName,
) -> ConfigurationDigest {
    let mut identity = based_on.0.to_be_bytes().to_vec();
    identity.extend(content.0);
    identity.extend(operator.as_str().as_bytes());
    ConfigurationDigest::of(&identity)
}
