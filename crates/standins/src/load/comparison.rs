//! Compares the outcomes that callers observed with the evidence records.

use std::collections::BTreeMap;
use std::fmt;

use pollendrift_coordination::evidence::{EvidenceEvent, EvidenceRecord, OutcomeKind};
use serde::Deserialize;

use super::sent::{ObservedOutcome, SentRequest};

/// Maximum requests of each class that the report lists.
const MAX_LISTED: usize = 10;

/// Evidence records of one request: number of start records, and outcomes of end records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct RecordedRequest {
    starts: u64,
    outcomes: Vec<OutcomeKind>,
}

/// Result of a comparison.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceComparison {
    /// Number of sent requests.
    pub sent: usize,
    /// Number of requests by observed and recorded outcome.
    pub pairs: BTreeMap<String, u64>,
    /// Requests whose entry crashed before their start record was stored; the caller received no
    /// byte.
    pub unrecorded: Vec<String>,
    /// Requests whose observed outcome is missing from the evidence.
    pub missing: Vec<String>,
    /// Requests whose evidence contradicts the observed outcome.
    pub contradicted: Vec<String>,
}

impl EvidenceComparison {
    /// Whether the evidence of every request agrees with the observed outcome.
    pub fn is_consistent(&self) -> bool {
        self.missing.is_empty() && self.contradicted.is_empty()
    }
}

#[derive(Deserialize)]
struct RecordLine {
    record: EvidenceRecord,
}

/// Compares the requests of a load with an export of evidence.
///
/// # Errors
/// A record line of `export` is invalid; the text contains its number, from 1, and the error.
pub fn compare_with_evidence(
    sent: &[SentRequest],
    export: &str,
) -> Result<EvidenceComparison, String> {
    let recorded = read_records(export)?;
    let mut report = EvidenceComparison {
        sent: sent.len(),
        ..EvidenceComparison::default()
    };
    let no_records = RecordedRequest::default();
    for request in sent {
        let record = recorded.get(&request.request).unwrap_or(&no_records);
        let line = format!("{:?} | {}", request.observed, record.describe());
        match classify(request, record) {
            Agreement::Agrees => {}
            Agreement::Unrecorded => report
                .unrecorded
                .push(format!("{} {line}", request.request)),
            Agreement::Missing => report.missing.push(format!("{} {line}", request.request)),
            Agreement::Contradicted => report
                .contradicted
                .push(format!("{} {line}", request.request)),
        }
        *report.pairs.entry(line).or_default() += 1;
    }
    Ok(report)
}

enum Agreement {
    Agrees,
    Unrecorded,
    Missing,
    Contradicted,
}

fn classify(request: &SentRequest, record: &RecordedRequest) -> Agreement {
    // Each entry that resumes a stream writes another start record.
    let max_starts = u64::try_from(request.resumes)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    if record.starts > max_starts || record.outcomes.len() > 1 {
        return Agreement::Contradicted;
    }
    let outcome = record.outcomes.first().copied();
    let expected = match request.observed {
        ObservedOutcome::Broken => return classify_broken(request, record, outcome),
        ObservedOutcome::NotSent => return classify_not_sent(record, outcome),
        ObservedOutcome::Complete => OutcomeKind::Complete,
        ObservedOutcome::Incomplete => OutcomeKind::Incomplete,
        ObservedOutcome::NotRun => OutcomeKind::NotRun,
        ObservedOutcome::Unknown => OutcomeKind::Unknown,
    };
    match outcome {
        None => Agreement::Missing,
        Some(outcome) if outcome == expected => Agreement::Agrees,
        Some(_) => Agreement::Contradicted,
    }
}

/// Classifies a request whose connection broke. The caller does not know its end, so every outcome
/// is possible, but "not run" is wrong after a received token.
fn classify_broken(
    request: &SentRequest,
    record: &RecordedRequest,
    outcome: Option<OutcomeKind>,
) -> Agreement {
    match outcome {
        Some(OutcomeKind::NotRun) if request.received > 0 => Agreement::Contradicted,
        None if record.starts == 0 && request.received == 0 => Agreement::Unrecorded,
        None if record.starts == 0 => Agreement::Missing,
        _ => Agreement::Agrees,
    }
}

fn classify_not_sent(record: &RecordedRequest, outcome: Option<OutcomeKind>) -> Agreement {
    if record.starts == 0 && outcome.is_none() {
        return Agreement::Agrees;
    }
    Agreement::Contradicted
}

fn read_records(export: &str) -> Result<BTreeMap<String, RecordedRequest>, String> {
    let mut requests = BTreeMap::<String, RecordedRequest>::new();
    for (index, line) in export.lines().enumerate() {
        if !line.starts_with("{\"record\":") {
            continue;
        }
        let line: RecordLine = serde_json::from_str(line)
            .map_err(|error| format!("line {} of the export: {error}", index + 1))?;
        let event = &line.record.event;
        let Some(id) = event.request() else {
            continue;
        };
        let request = requests.entry(id.to_string()).or_default();
        request.starts += u64::from(matches!(event, EvidenceEvent::RequestBegun(_)));
        request.outcomes.extend(event.outcome());
    }
    Ok(requests)
}

impl RecordedRequest {
    fn describe(&self) -> String {
        let start = if self.starts > 0 {
            "begun"
        } else {
            "not begun"
        };
        if self.outcomes.is_empty() {
            return format!("{start}, no end");
        }
        let outcomes: Vec<String> = self.outcomes.iter().map(ToString::to_string).collect();
        format!("{start}, {}", outcomes.join(", "))
    }
}

impl fmt::Display for EvidenceComparison {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "sent    {}", self.sent)?;
        writeln!(formatter, "cut off {}", self.unrecorded.len())?;
        writeln!(formatter, "missing {}", self.missing.len())?;
        writeln!(formatter, "false   {}", self.contradicted.len())?;
        for (pair, count) in &self.pairs {
            writeln!(formatter, "{count:>8} {pair}")?;
        }
        for line in self.unrecorded.iter().take(MAX_LISTED) {
            writeln!(formatter, "cut off: {line}")?;
        }
        for line in self.missing.iter().take(MAX_LISTED) {
            writeln!(formatter, "missing: {line}")?;
        }
        for line in self.contradicted.iter().take(MAX_LISTED) {
            writeln!(formatter, "false: {line}")?;
        }
        Ok(())
    }
}
