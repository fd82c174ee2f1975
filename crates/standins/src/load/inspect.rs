//! Compares what callers saw with what evidence says.

use std::collections::BTreeMap;
use std::fmt;

use pollendrift_coordination::evidence::{EvidenceEvent, EvidenceRecord, OutcomeKind};
use serde::Deserialize;

use super::sent::{SeenOutcome, SentRequest};

const SHOWN: usize = 10;

/// What evidence says of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct RecordedRequest {
    begun: u64,
    outcomes: Vec<OutcomeKind>,
}

/// What came of a comparison.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InspectionReport {
    /// Requests that were sent.
    pub sent: usize,
    /// Requests by what the caller saw and what evidence says.
    pub pairs: BTreeMap<String, u64>,
    /// Requests whose entry died before the record of their beginning was stored: no byte came.
    pub cut_off: Vec<String>,
    /// Requests of which evidence lacks what the caller saw.
    pub missing: Vec<String>,
    /// Requests of which evidence says something that is not so.
    pub untrue: Vec<String>,
}

impl InspectionReport {
    /// Whether evidence tells of every request what its caller saw.
    pub fn holds(&self) -> bool {
        self.missing.is_empty() && self.untrue.is_empty()
    }
}

#[derive(Deserialize)]
struct RecordLine {
    record: EvidenceRecord,
}

/// Compares the requests of a load with an export of evidence.
///
/// # Errors
/// The number, from 1, and the fault of a line of `export` that can't be read.
pub fn inspect(sent: &[SentRequest], export: &str) -> Result<InspectionReport, String> {
    let recorded = read_records(export)?;
    let mut report = InspectionReport {
        sent: sent.len(),
        ..InspectionReport::default()
    };
    let nothing = RecordedRequest::default();
    for request in sent {
        let record = recorded.get(&request.request).unwrap_or(&nothing);
        let line = format!("{:?} | {}", request.seen, record.words());
        match judge(request, record) {
            Verdict::Agrees => {}
            Verdict::CutOff => report.cut_off.push(format!("{} {line}", request.request)),
            Verdict::Missing => report.missing.push(format!("{} {line}", request.request)),
            Verdict::Untrue => report.untrue.push(format!("{} {line}", request.request)),
        }
        *report.pairs.entry(line).or_default() += 1;
    }
    Ok(report)
}

enum Verdict {
    Agrees,
    CutOff,
    Missing,
    Untrue,
}

fn judge(request: &SentRequest, record: &RecordedRequest) -> Verdict {
    // Each entry at which a stream goes on takes the request on anew.
    let most = u64::try_from(request.resumes)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    if record.begun > most || record.outcomes.len() > 1 {
        return Verdict::Untrue;
    }
    let outcome = record.outcomes.first().copied();
    let expected = match request.seen {
        SeenOutcome::Broken => return judge_broken(request, record, outcome),
        SeenOutcome::NotSent => return judge_not_sent(record, outcome),
        SeenOutcome::Complete => OutcomeKind::Complete,
        SeenOutcome::Incomplete => OutcomeKind::Incomplete,
        SeenOutcome::NotRun => OutcomeKind::NotRun,
        SeenOutcome::Unknown => OutcomeKind::Unknown,
    };
    match outcome {
        None => Verdict::Missing,
        Some(outcome) if outcome == expected => Verdict::Agrees,
        Some(_) => Verdict::Untrue,
    }
}

/// The caller can't know the end, so any end may be true, but "not run" is false after a token.
fn judge_broken(
    request: &SentRequest,
    record: &RecordedRequest,
    outcome: Option<OutcomeKind>,
) -> Verdict {
    match outcome {
        Some(OutcomeKind::NotRun) if request.received > 0 => Verdict::Untrue,
        None if record.begun == 0 && request.received == 0 => Verdict::CutOff,
        None if record.begun == 0 => Verdict::Missing,
        _ => Verdict::Agrees,
    }
}

fn judge_not_sent(record: &RecordedRequest, outcome: Option<OutcomeKind>) -> Verdict {
    if record.begun == 0 && outcome.is_none() {
        return Verdict::Agrees;
    }
    Verdict::Untrue
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
        let Some(request) = event.request() else {
            continue;
        };
        let entry = requests.entry(request.to_string()).or_default();
        entry.begun += u64::from(matches!(event, EvidenceEvent::RequestBegun(_)));
        entry.outcomes.extend(event.outcome());
    }
    Ok(requests)
}

impl RecordedRequest {
    fn words(&self) -> String {
        let begun = if self.begun > 0 { "begun" } else { "not begun" };
        if self.outcomes.is_empty() {
            return format!("{begun}, no end");
        }
        let outcomes: Vec<String> = self.outcomes.iter().map(ToString::to_string).collect();
        format!("{begun}, {}", outcomes.join(", "))
    }
}

impl fmt::Display for InspectionReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "sent    {}", self.sent)?;
        writeln!(formatter, "cut off {}", self.cut_off.len())?;
        writeln!(formatter, "missing {}", self.missing.len())?;
        writeln!(formatter, "false   {}", self.untrue.len())?;
        for (pair, count) in &self.pairs {
            writeln!(formatter, "{count:>8} {pair}")?;
        }
        for line in self.cut_off.iter().take(SHOWN) {
            writeln!(formatter, "cut off: {line}")?;
        }
        for line in self.missing.iter().take(SHOWN) {
            writeln!(formatter, "missing: {line}")?;
        }
        for line in self.untrue.iter().take(SHOWN) {
            writeln!(formatter, "false: {line}")?;
        }
        Ok(())
    }
}
