//! Offline verification of an export: gaps, edits, reordering and removed tails, with their place.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::chain::{
    ChainAnchor, ChainHead, ChainWriter, EvidenceDigest, EvidenceError, InspectedRecord,
    SealedRecord,
};
use super::export::{ExportEnd, ExportLine};
use super::record::EvidenceEvent;
use crate::base::{FindingList, Place, SequenceNumber};

/// Start of every line that holds a record.
const RECORD_PREFIX: &str = r#"{"record":"#;

/// What verification found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerifyReport {
    /// Everything that is wrong; without errors the export is whole.
    pub findings: FindingList,
    /// The chains of the export.
    pub chains: Vec<ChainSummary>,
}

/// One chain of an export.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainSummary {
    /// Last record; the inspector notes it and hands it to the next verification.
    pub head: ChainHead,
    /// Records in the export.
    pub records: u64,
}

/// Verifies the lines of an export that was read from `file`.
///
/// Hashes alone can't tell a chain from one that was rewritten from some record on, or whose last
/// records and head were removed together. `noted` can: heads that the inspector noted from an
/// earlier export or from `status`. Each must lie on its chain.
pub fn verify<'a, I>(file: &str, lines: I, noted: &[ChainHead]) -> VerifyReport
where
    I: IntoIterator<Item = &'a str>,
{
    let mut walker = ExportWalker::new(file, noted);
    for line in lines {
        walker.line(line);
    }
    walker.finish()
}

/// Records of a chain that did not come where they belong.
#[derive(Debug)]
struct OpenGap {
    first: SequenceNumber,
    last: SequenceNumber,
    /// Digest that the record after the gap names as its previous one.
    expected: EvidenceDigest,
    /// The record after the gap.
    place: Place,
}

/// A noted head, and whether it was found on its chain.
#[derive(Debug)]
struct NotedHead {
    head: ChainHead,
    met: bool,
}

impl NotedHead {
    /// Whether it lies before a record that retention dropped, of its own life or a later one of
    /// the host: nothing can be said against it any more.
    fn dropped_by(&self, anchor: &ChainAnchor) -> bool {
        let (own, dropped) = (&self.head.writer, &anchor.writer);
        let earlier = own.incarnation < dropped.incarnation;
        let before = own == dropped && self.head.sequence <= anchor.through;
        own.host == dropped.host && (earlier || before)
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

struct ExportWalker {
    file: Arc<str>,
    number: u32,
    findings: FindingList,
    chains: BTreeMap<ChainWriter, ChainState>,
    anchors: Vec<(ChainAnchor, Place)>,
    retentions: Vec<ChainAnchor>,
    noted: BTreeMap<ChainWriter, Vec<NotedHead>>,
    ended: bool,
}

impl ExportWalker {
    fn new(file: &str, noted: &[ChainHead]) -> Self {
        let mut by_chain: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for head in noted {
            let heads = by_chain.entry(head.writer.clone()).or_default();
            heads.push(NotedHead {
                head: head.clone(),
                met: false,
            });
        }
        Self {
            file: file.into(),
            number: 0,
            findings: FindingList::default(),
            chains: BTreeMap::new(),
            anchors: Vec::new(),
            retentions: Vec::new(),
            noted: by_chain,
            ended: false,
        }
    }

    fn line(&mut self, line: &str) {
        self.number = self.number.saturating_add(1);
        if self.ended {
            self.error("a line after the end of the export", "no line after `end`");
            return;
        }
        if line.starts_with(RECORD_PREFIX) {
            match SealedRecord::inspect(line) {
                Ok(inspected) => self.inspected(&inspected),
                Err(error) => self.unreadable(&error),
            }
            return;
        }
        match ExportLine::parse(line) {
            Ok(ExportLine::Anchor(anchor)) => self.anchor(anchor),
            Ok(ExportLine::Head(head)) => self.head(&head),
            Ok(ExportLine::End(end)) => self.end(&end),
            Err(error) => self.unreadable(&error),
        }
    }

    fn unreadable(&mut self, error: &EvidenceError) {
        let message = match error {
            EvidenceError::DigestMismatch => "edited: the digest is not that of the record".into(),
            EvidenceError::NotCanonical => "edited: not the text that a writer gives".into(),
            other => format!("damaged: {other}"),
        };
        self.error(message, "the line as it was exported");
    }

    /// An edited record keeps its place in the chain, so that one edit gives one finding.
    fn inspected(&mut self, inspected: &InspectedRecord) {
        if let Some(fault) = &inspected.fault {
            self.unreadable(fault);
        } else {
            self.meet_noted(&inspected.sealed.head());
        }
        self.record(&inspected.sealed);
    }

    fn record(&mut self, sealed: &SealedRecord) {
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
            let message = chain.late(sealed);
            self.error(message, format!("record {expected} of {}", record.writer));
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
            self.error(message, "records as their writer chained them");
        }
    }

    fn anchor(&mut self, anchor: ChainAnchor) {
        let place = self.place();
        self.meet_noted(&ChainHead {
            writer: anchor.writer.clone(),
            sequence: anchor.through,
            digest: anchor.digest,
        });
        let chain = self.chains.entry(anchor.writer.clone()).or_default();
        if chain.records > 0 || chain.anchor.is_some() {
            self.error(
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

    fn head(&mut self, head: &ChainHead) {
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
            self.error(message, "every record up to the head");
        } else if head.sequence < last || head.digest != digest {
            let message = format!(
                "replaced: the head of {} is not its last record, {last}",
                head.writer
            );
            self.error(message, "the head that keepers know");
        }
    }

    fn end(&mut self, end: &ExportEnd) {
        self.ended = true;
        let before = u64::from(self.number).saturating_sub(1);
        if end.lines != before {
            let message = format!("{before} lines before the end, of {}", end.lines);
            self.error(message, "all lines of the export");
        }
    }

    fn finish(mut self) -> VerifyReport {
        if !self.ended {
            self.error("cut off: the export has no end", "a last line `end`");
        }
        self.report_chains();
        self.report_anchors();
        self.report_noted();
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

    /// An anchor alone would let anyone remove the first records of a chain. Retention is itself
    /// on record, in the chain of the keeper that dropped them.
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

    fn report_noted(&mut self) {
        for noted in self.noted.values().flatten() {
            if noted.met
                || self
                    .retentions
                    .iter()
                    .any(|anchor| noted.dropped_by(anchor))
            {
                continue;
            }
            let message = format!("the noted head {} is not in the export", noted.head);
            let expected = "every record that stood when the head was noted";
            let place = whole_file(&self.file);
            self.findings.error(place, message, expected);
        }
    }

    fn meet_noted(&mut self, head: &ChainHead) {
        for noted in self.noted.get_mut(&head.writer).into_iter().flatten() {
            noted.met |= noted.head == *head;
        }
    }

    fn place(&self) -> Place {
        Place {
            file: Arc::clone(&self.file),
            line: self.number,
            column: 1,
        }
    }

    fn error<M, E>(&mut self, message: M, expected: E)
    where
        M: Into<String>,
        E: Into<String>,
    {
        let place = self.place();
        self.findings.error(place, message, expected);
    }
}

impl ChainState {
    /// Takes a record that comes after a later one, and says what is wrong with it.
    fn late(&mut self, sealed: &SealedRecord) -> String {
        let record = &sealed.record;
        let (sequence, writer) = (record.sequence, &record.writer);
        let inside = |gap: &OpenGap| gap.first <= sequence && sequence <= gap.last;
        let Some(index) = self.gaps.iter().position(inside) else {
            return format!("repeated: record {sequence} of {writer} stands twice");
        };
        let gap = self.gaps.swap_remove(index);
        let replaced = sequence == gap.last && sealed.digest != gap.expected;
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
        if replaced {
            return format!(
                "replaced: record {sequence} of {writer} does not fit the one after it"
            );
        }
        format!(
            "reordered: record {sequence} of {writer} stands after record {}",
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
