//! Timeline of one request as text lines.

use std::fmt::Write;

use super::record::{
    AttemptTrace, DecisionTrace, EvidenceEvent, EvidenceRecord, RequestBegun, RequestFinished,
    RequestRefused,
};
use crate::base::{RequestId, WallTime};

/// Formats the records of `request` among `records`, one fact per line, in order of time.
///
/// A request without a record of its end was interrupted by the end of its entry process; the
/// timeline states this instead of an outcome.
pub fn request_timeline(request: &RequestId, records: &[EvidenceRecord]) -> Vec<String> {
    let mut matching: Vec<_> = records
        .iter()
        .filter(|record| record.event.request() == Some(request))
        .collect();
    matching.sort_by_key(|record| (record.time, record.writer.clone(), record.sequence));
    let mut lines = Vec::new();
    for record in &matching {
        push_record(&mut lines, record);
    }
    let outcomes = matching
        .iter()
        .filter(|record| record.event.outcome().is_some());
    match (matching.is_empty(), outcomes.count()) {
        (true, _) => lines.push(format!("no record mentions request {request}")),
        (false, 0) => lines.push(
            "no end is recorded: the entry stopped before it; what the caller saw is unknown"
                .into(),
        ),
        (false, 1) => {}
        (false, several) => lines.push(format!("{several} ends are recorded, see above")),
    }
    lines
}

fn push_record(lines: &mut Vec<String>, record: &EvidenceRecord) {
    let prefix = format!(
        "{} {} #{}",
        format_time(record.time),
        record.writer,
        record.sequence
    );
    match &record.event {
        EvidenceEvent::RequestBegun(event) => push_begun(lines, &prefix, event),
        EvidenceEvent::RequestFinished(event) => push_finished(lines, &prefix, event),
        EvidenceEvent::RequestRefused(event) => push_refused(lines, &prefix, event),
        _ => {}
    }
}

fn push_begun(lines: &mut Vec<String>, prefix: &str, event: &RequestBegun) {
    lines.push(format!(
        "{prefix}: begun for customer {}: {}, {} bytes, sha256 {}",
        event.customer, event.operation, event.body.bytes, event.body.sha256
    ));
    if let Some(key) = &event.key {
        lines.push(format!("  idempotency key {key}"));
    }
    lines.push(format!("  decided by revision {}", event.revision));
    push_decision(lines, &event.decision);
}

fn push_decision(lines: &mut Vec<String>, decision: &DecisionTrace) {
    match &decision.selector {
        Some(selector) => lines.push(format!("  selector {selector} serves it")),
        None => lines.push("  no selector serves it".into()),
    }
    for (label, value) in &decision.labels {
        lines.push(format!("  label {label}={value}"));
    }
    for verdict in &decision.considered {
        lines.push(format!(
            "  selector {} does not: {}",
            verdict.selector, verdict.reason
        ));
    }
}

fn push_finished(lines: &mut Vec<String>, prefix: &str, event: &RequestFinished) {
    for attempt in &event.attempts {
        lines.push(format!("  attempt {}", format_attempt(attempt)));
    }
    lines.push(format!(
        "{prefix}: ended {} with status {}: {}",
        event.outcome, event.status, event.reason
    ));
    lines.push(format!(
        "  answer {} bytes, sha256 {}",
        event.answer.bytes, event.answer.sha256
    ));
    lines.push(format!(
        "  queued {} us, first byte after {} us, end after {} us, revision {} in force",
        event.timings.queued_us, event.timings.first_us, event.timings.total_us, event.revision
    ));
}

fn format_attempt(attempt: &AttemptTrace) -> String {
    let mut text = attempt.attempt.to_string();
    if let Some(model) = &attempt.model {
        let _ = write!(text, " of {model}");
    }
    if let Some(version) = &attempt.version {
        let _ = write!(text, " version {version}");
    }
    if let Some(adapter) = &attempt.adapter {
        let _ = write!(text, " with {adapter}");
    }
    let stages: Vec<_> = attempt
        .stages
        .iter()
        .map(|stage| match stage.layers {
            Some(layers) => format!("{} layers {layers}", stage.server),
            None => stage.server.to_string(),
        })
        .collect();
    let _ = write!(
        text,
        " over {}: tokens from {}, {} to the caller, {}",
        stages.join(" -> "),
        attempt.from,
        attempt.tokens,
        attempt.ending
    );
    text
}

fn push_refused(lines: &mut Vec<String>, prefix: &str, event: &RequestRefused) {
    let customer = match &event.customer {
        Some(customer) => format!("customer {customer}"),
        None => "an unknown caller".into(),
    };
    lines.push(format!(
        "{prefix}: refused to {customer}: {}, {} with status {}, {}: {}",
        event.operation, event.outcome, event.status, event.kind, event.reason
    ));
    match event.revision {
        Some(revision) => lines.push(format!("  decided by revision {revision}")),
        None => lines.push("  no revision was in force".into()),
    }
    push_decision(lines, &event.decision);
}

/// Formats a time as `YYYY-MM-DDTHH:MM:SS.mmmZ`.
pub(super) fn format_time(time: WallTime) -> String {
    let (days, millis) = (time.0 / 86_400_000, time.0 % 86_400_000);
    let (year, month, day) = civil_date(days);
    let (hour, minute) = (millis / 3_600_000, millis / 60_000 % 60);
    let (second, milli) = (millis / 1_000 % 60, millis % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar.
///
/// The calculation counts years from 1 March 0000, so that the leap day is the last day of a year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days.saturating_add(719_468);
    let (era, day_of_era) = (days / 146_097, days % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

#[cfg(test)]
mod tests {
    use super::format_time;
    use crate::base::WallTime;

    // Guards against wrong dates at leap days, at the end of a day and in century years.
    #[test]
    fn times_are_formatted_as_utc_dates() {
        let times = [
            0,
            951_782_400_000,
            951_868_800_000,
            1_764_633_599_999,
            4_102_444_800_000,
        ];
        let lines = times.map(|time| format_time(WallTime(time)));
        insta::assert_snapshot!(lines.join("\n"), @"
        1970-01-01T00:00:00.000Z
        2000-02-29T00:00:00.000Z
        2000-03-01T00:00:00.000Z
        2025-12-01T23:59:59.999Z
        2100-01-01T00:00:00.000Z
        ");
    }
}
