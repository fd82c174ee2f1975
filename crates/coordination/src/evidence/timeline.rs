//! The story of one request in plain lines.

use std::fmt::Write;

use super::record::{
    AttemptTrace, DecisionTrace, EvidenceEvent, EvidenceRecord, RequestBegun, RequestFinished,
    RequestRefused,
};
use crate::base::{RequestId, WallTime};

/// Tells what `records` say about `request`, one fact a line, in the order of their times.
///
/// A request without a record of its end was cut off with its entry; the story says so rather than
/// guess an outcome.
pub fn request_timeline(request: &RequestId, records: &[EvidenceRecord]) -> Vec<String> {
    let mut about: Vec<_> = records
        .iter()
        .filter(|record| record.event.request() == Some(request))
        .collect();
    about.sort_by_key(|record| (record.time, record.writer.clone(), record.sequence));
    let mut lines = Vec::new();
    for record in &about {
        tell_record(&mut lines, record);
    }
    let outcomes = about
        .iter()
        .filter(|record| record.event.outcome().is_some());
    match (about.is_empty(), outcomes.count()) {
        (true, _) => lines.push(format!("no record speaks of request {request}")),
        (false, 0) => lines.push(
            "no end is recorded: the entry stopped before it; what the caller saw is unknown"
                .into(),
        ),
        (false, 1) => {}
        (false, several) => lines.push(format!("{several} ends are recorded, see above")),
    }
    lines
}

fn tell_record(lines: &mut Vec<String>, record: &EvidenceRecord) {
    let head = format!(
        "{} {} #{}",
        format_time(record.time),
        record.writer,
        record.sequence
    );
    match &record.event {
        EvidenceEvent::RequestBegun(event) => tell_begun(lines, &head, event),
        EvidenceEvent::RequestFinished(event) => tell_finished(lines, &head, event),
        EvidenceEvent::RequestRefused(event) => tell_refused(lines, &head, event),
        _ => {}
    }
}

fn tell_begun(lines: &mut Vec<String>, head: &str, event: &RequestBegun) {
    lines.push(format!(
        "{head}: begun for customer {}: {}, {} bytes, sha256 {}",
        event.customer, event.operation, event.body.bytes, event.body.sha256
    ));
    if let Some(key) = &event.key {
        lines.push(format!("  idempotency key {key}"));
    }
    lines.push(format!("  decided by revision {}", event.revision));
    tell_decision(lines, &event.decision);
}

fn tell_decision(lines: &mut Vec<String>, decision: &DecisionTrace) {
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

fn tell_finished(lines: &mut Vec<String>, head: &str, event: &RequestFinished) {
    for attempt in &event.attempts {
        lines.push(format!("  attempt {}", tell_attempt(attempt)));
    }
    lines.push(format!(
        "{head}: ended {} with status {}: {}",
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

fn tell_attempt(attempt: &AttemptTrace) -> String {
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

fn tell_refused(lines: &mut Vec<String>, head: &str, event: &RequestRefused) {
    let customer = match &event.customer {
        Some(customer) => format!("customer {customer}"),
        None => "an unknown caller".into(),
    };
    lines.push(format!(
        "{head}: refused to {customer}: {}, {} with status {}, {}: {}",
        event.operation, event.outcome, event.status, event.kind, event.reason
    ));
    match event.revision {
        Some(revision) => lines.push(format!("  decided by revision {revision}")),
        None => lines.push("  no revision was in force".into()),
    }
    tell_decision(lines, &event.decision);
}

/// The time as `YYYY-MM-DDTHH:MM:SS.mmmZ`.
pub(super) fn format_time(time: WallTime) -> String {
    let (days, millis) = (time.0 / 86_400_000, time.0 % 86_400_000);
    let (year, month, day) = civil_date(days);
    let (hour, minute) = (millis / 3_600_000, millis / 60_000 % 60);
    let (second, milli) = (millis / 1_000 % 60, millis % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

/// Year, month and day of the Gregorian calendar, from days since 1970-01-01.
///
/// Years are counted from 1 March 0000, which puts the leap day at the end of a year.
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

    #[test]
    fn times_read_as_dates() {
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
