//! Offline verification of an export: reports gaps, edits, reordering and removed tails with line
//! numbers.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::chain::{
    ChainAnchor, ChainHead, ChainWriter, EvidenceDigest, EvidenceError, InspectedRecord,
    SealedRecord,
};
use super::export::{ExportEnd, ExportLine};
use super::record::EvidenceEvent;
use crate::base::{FindingList, Place, SequenceNumber};

/// Prefix of every line with a record.
const RECORD_PREFIX: &str = r#"{"record":"#;

/// Result of a verification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerifyReport {
    /// Errors found; an export without errors is complete and unmodified as far as it can be
    /// verified.
    pub findings: FindingList,
    /// Chains of the export.
    pub chains: Vec<ChainSummary>,
}

/// One chain of an export.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainSummary {
    /// Last record; the auditor stores it for the next verification.
    pub head: ChainHead,
    /// Number of records in the export.
    pub records: u64,
}

/// Verifies the lines of an export that was read from `file`.
///
/// Digests alone do not reveal a chain that was rewritten from some record on, or whose last
/// records were removed together with its head. Heads in `known_heads` do: the auditor stored them from
/// an earlier export or from `status`, and each must be in its chain.
pub fn verify<'a, I>(file: &str, lines: I, known_heads: &[ChainHead]) -> VerifyReport
where
    I: IntoIterator<Item = &'a str>,
{
    let mut verifier = ExportVerifier::new(file, known_heads);
    for line in lines {
        verifier.check_line(line);
    }
    verifier.finish()
}

/// Missing records of a chain, which may follow later in the wrong order.
#[derive(Debug)]
struct OpenGap {
    first: SequenceNumber,
    last: SequenceNumber,
    /// Previous digest in the record after the gap.
    expected: EvidenceDigest,
    /// Location of the record after the gap.
    place: Place,
}

/// A known head, and whether it was found on its chain.
#[derive(Debug)]
struct KnownHead {
    head: ChainHead,
    is_found: bool,
}

impl KnownHead {
    /// Whether retention dropped records up to this head or beyond, or of a later incarnation of
    /// the host; the head can then no longer be verified.
    fn is_dropped_by(&self, anchor: &ChainAnchor) -> bool {
        let (own, dropped) = (&self.head.writer, &anchor.writer);
        let is_earlier_incarnation = own.incarnation < dropped.incarnation;
        let is_dropped_record = own == dropped && self.head.sequence <= anchor.through;
        own.host == dropped.host && (is_earlier_incarnation || is_dropped_record)
    }
}

#[derive(Debug, Default)]
struct ChainState {
    last: SequenceNumber,
    digest: EvidenceDigest,
    records: u64,
    gaps: Vec<OpenGap>,
    anchor: Option<ChainAnchor>,
    has_head: bool,
}

struct ExportVerifier {
    file: Arc<str>,
    number: u32,
    findings: FindingList,
    chains: BTreeMap<ChainWriter, ChainState>,
    anchors: Vec<(ChainAnchor, Place)>,
    retentions: Vec<ChainAnchor>,
    known_heads: BTreeMap<ChainWriter, Vec<KnownHead>>,
    has_ended: bool,
}

impl ExportVerifier {
    fn new(file: &str, known_heads: &[ChainHead]) -> Self {
        let mut by_chain: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for head in known_heads {
            let heads = by_chain.entry(head.writer.clone()).or_default();
            heads.push(KnownHead {
                head: head.clone(),
                is_found: false,
            });
        }
        Self {
            file: file.into(),
            number: 0,
            findings: FindingList::default(),
            chains: BTreeMap::new(),
            anchors: Vec::new(),
            retentions: Vec::new(),
            known_heads: by_chain,
            has_ended: false,
        }
    }

    fn check_line(&mut self, line: &str) {
        self.number = self.number.saturating_add(1);
        if self.has_ended {
            self.report_error("a line after the end of the export", "no line after `end`");
            return;
        }
        if line.starts_with(RECORD_PREFIX) {
            match SealedRecord::inspect(line) {
                Ok(inspected) => self.check_inspected(&inspected),
                Err(error) => self.report_line_error(&error),
            }
            return;
        }
        match ExportLine::parse(line) {
            Ok(ExportLine::Anchor(anchor)) => self.check_anchor(anchor),
            Ok(ExportLine::Head(head)) => self.check_head(&head),
            Ok(ExportLine::End(end)) => self.check_end(&end),
            Err(error) => self.report_line_error(&error),
        }
    }

    fn report_line_error(&mut self, error: &EvidenceError) {
        let message = match error {
            EvidenceError::DigestMismatch => "edited: the digest is not that of the record".into(),
            EvidenceError::NotCanonical => "edited: the line is not in canonical form".into(),
            other => format!("damaged: {other}"),
        };
        self.report_error(message, "the line as it was exported");
    }

    /// Checks a decoded record. An edited record still counts as part of its chain, so that one
    /// edit causes one finding.
    fn check_inspected(&mut self, inspected: &InspectedRecord) {
        if let Some(error) = &inspected.error {
            self.report_line_error(error);
        } else {
            self.match_known_heads(&inspected.sealed.head());
        }
        self.check_record(&inspected.sealed);
    }

    fn check_record(&mut self, sealed: &SealedRecord) {
        let record = &sealed.record;
        if let EvidenceEvent::RetentionApplied(event) = &record.event {
            self.retentions.push(ChainAnchor {
                writer: event.chain.clone(),
                through: event.through,
                digest: event.digest,
            });
        }
        let place = self.place();
        let chain = self.chains.entry(record.writer.clone()).or_default();
        let expected = chain.last.next();
        if record.sequence < expected {
            let message = chain.handle_late(sealed);
            self.report_error(message, format!("record {expected} of {}", record.writer));
            return;
        }
        chain.records += 1;
        let mut message = None;
        if record.sequence > expected {
            chain.gaps.push(OpenGap {
                first: expected,
                last: SequenceNumber(record.sequence.0.saturating_sub(1)),
                expected: record.previous,
                place,
            });
        } else if record.previous != chain.digest {
            message = Some(format!(
                "replaced: record {} of {} does not follow the record before it",
                record.sequence, record.writer
            ));
        }
        chain.last = record.sequence;
        chain.digest = sealed.digest;
        if let Some(message) = message {
            self.report_error(message, "records as their writer chained them");
        }
    }

    fn check_anchor(&mut self, anchor: ChainAnchor) {
        let place = self.place();
        self.match_known_heads(&ChainHead {
            writer: anchor.writer.clone(),
            sequence: anchor.through,
            digest: anchor.digest,
        });
        let chain = self.chains.entry(anchor.writer.clone()).or_default();
        if chain.records > 0 || chain.anchor.is_some() {
            self.report_error(
                "an anchor after records of its chain",
                "one anchor, before them",
            );
            return;
        }
        chain.last = anchor.through;
        chain.digest = anchor.digest;
        chain.anchor = Some(anchor.clone());
        self.anchors.push((anchor, place));
    }

    fn check_head(&mut self, head: &ChainHead) {
        let chain = self.chains.entry(head.writer.clone()).or_default();
        chain.has_head = true;
        let (last, digest) = (chain.last, chain.digest);
        if head.sequence > last {
            let message = format!(
                "removed tail: records {}..={} of {} are missing",
                last.next(),
                head.sequence,
                head.writer
            );
            self.report_error(message, "every record up to the head");
        } else if head.sequence < last || head.digest != digest {
            let message = format!(
                "replaced: the head of {} is not its last record, {last}",
                head.writer
            );
            self.report_error(message, "the head that keepers know");
        }
    }

    fn check_end(&mut self, end: &ExportEnd) {
        self.has_ended = true;
        let before = u64::from(self.number).saturating_sub(1);
        if end.lines != before {
            let message = format!("{before} lines before the end, of {}", end.lines);
            self.report_error(message, "all lines of the export");
        }
    }

    fn finish(mut self) -> VerifyReport {
        if !self.has_ended {
            self.report_error("cut off: the export has no end", "a last line `end`");
        }
        self.report_chains();
        self.report_anchors();
        self.report_missing_heads();
        let chains = self.chains.into_iter().map(|(writer, chain)| ChainSummary {
            head: ChainHead {
                writer,
                sequence: chain.last,
                digest: chain.digest,
            },
            records: chain.records,
        });
        VerifyReport {
            findings: self.findings,
            chains: chains.collect(),
        }
    }

    fn report_chains(&mut self) {
        for (writer, chain) in &self.chains {
            for gap in &chain.gaps {
                let message = format!(
                    "gap: records {}..={} of {writer} are missing before this line",
                    gap.first, gap.last
                );
                let expected = "every record, or an anchor where retention dropped the first ones";
                self.findings.error(gap.place.clone(), message, expected);
            }
            if !chain.has_head {
                let place = whole_file(&self.file);
                let message = format!("removed: {writer} has no head");
                self.findings
                    .error(place, message, "a `head` line for each chain");
            }
        }
    }

    /// Reports anchors without a `retention-applied` record. With an anchor alone, anyone could
    /// remove the first records of a chain; a keeper that drops records writes such a record to its
    /// own chain.
    fn report_anchors(&mut self) {
        for (anchor, place) in &self.anchors {
            if !self.retentions.contains(anchor) {
                let message = format!(
                    "removed: no keeper recorded that {} was dropped through {}",
                    anchor.writer, anchor.through
                );
                let expected = "a record `retention-applied` for the anchor";
                self.findings.error(place.clone(), message, expected);
            }
        }
    }

    fn report_missing_heads(&mut self) {
        for known in self.known_heads.values().flatten() {
            if known.is_found
                || self
                    .retentions
                    .iter()
                    .any(|anchor| known.is_dropped_by(anchor))
            {
                continue;
            }
            let message = format!("the known head {} is not in the export", known.head);
            let expected = "every record that existed when the head was stored";
            let place = whole_file(&self.file);
            self.findings.error(place, message, expected);
        }
    }

    fn match_known_heads(&mut self, head: &ChainHead) {
        for known in self.known_heads.get_mut(&head.writer).into_iter().flatten() {
            known.is_found |= known.head == *head;
        }
    }

    fn place(&self) -> Place {
        Place {
            file: Arc::clone(&self.file),
            line: self.number,
            column: 1,
        }
    }

    fn report_error<M, E>(&mut self, message: M, expected: E)
    where
        M: Into<String>,
        E: Into<String>,
    {
        let place = self.place();
        self.findings.error(place, message, expected);
    }
}

impl ChainState {
    /// Handles a record that follows a later one; returns the message of the finding.
    fn handle_late(&mut self, sealed: &SealedRecord) -> String {
        let record = &sealed.record;
        let (sequence, writer) = (record.sequence, &record.writer);
        let is_inside = |gap: &OpenGap| gap.first <= sequence && sequence <= gap.last;
        let Some(index) = self.gaps.iter().position(is_inside) else {
            return format!("repeated: record {sequence} of {writer} occurs twice");
        };
        let gap = self.gaps.swap_remove(index);
        let is_replaced = sequence == gap.last && sealed.digest != gap.expected;
        self.records += 1;
        if gap.first < sequence {
            self.gaps.push(OpenGap {
                first: gap.first,
                last: SequenceNumber(sequence.0.saturating_sub(1)),
                expected: record.previous,
                place: gap.place.clone(),
            });
        }
        if sequence < gap.last {
            self.gaps.push(OpenGap {
                first: sequence.next(),
                ..gap
            });
        }
        if is_replaced {
            return format!(
                "replaced: record {sequence} of {writer} does not match the record after it"
            );
        }
        format!(
            "reordered: record {sequence} of {writer} comes after record {}",
            self.last
        )
    }
}

fn whole_file(file: &Arc<str>) -> Place {
    Place {
        file: Arc::clone(file),
        line: 0,
        column: 0,
    }
}
