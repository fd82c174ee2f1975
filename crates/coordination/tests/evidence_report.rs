//! Report page: its counts, its plots, and the escaping of untrusted text.
#![cfg(feature = "report")]
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use pollendrift_coordination::base::WallTime;
use pollendrift_coordination::evidence::{
    EvidenceEvent, OutcomeKind, ReportError, RequestTimings, RevisionInForce, SealedRecord,
    report_page,
};

mod evidence_support;

use evidence_support::{begun, chain, export, finished, refused};

/// Returns a chain of `requests` requests with increasing latencies, some of them refused and one
/// without an end.
fn loaded_chain(host: &str, requests: u64) -> Vec<SealedRecord> {
    let mut events = Vec::new();
    for number in 0..requests {
        let request = format!("{host}-{number}");
        if number % 50 == 0 {
            let revision = (number / 50 + 1).into();
            events.push(EvidenceEvent::RevisionInForce(RevisionInForce { revision }));
        }
        if number % 7 == 3 {
            let mut event = refused(&request);
            if let EvidenceEvent::RequestRefused(refusal) = &mut event {
                refusal.kind = ["no-selector", "queue-full", "<script>x</script>"]
                    [usize::try_from(number % 3).unwrap()]
                .into();
            }
            events.push(event);
            continue;
        }
        events.push(begun(&request));
        let mut event = finished(&request, OutcomeKind::Complete);
        if let EvidenceEvent::RequestFinished(end) = &mut event {
            end.timings = RequestTimings {
                queued_us: 10,
                first_us: 200_000 + number * 1_000,
                total_us: 700_000 + number * 3_000,
            };
        }
        events.push(event);
    }
    events.pop();
    let records = chain(host, events);
    with_interval(records, 250)
}

/// Seals the same events again, `interval` milliseconds apart.
fn with_interval(records: Vec<SealedRecord>, interval: u64) -> Vec<SealedRecord> {
    let mut head = records[0].head();
    head.sequence = 0.into();
    head.digest = pollendrift_coordination::evidence::EvidenceDigest::ZERO;
    let mut time = records[0].record.time;
    let sealed = records.into_iter().map(|sealed| {
        time = WallTime(time.0 + interval);
        let next = SealedRecord::seal(&head, time, sealed.record.event).unwrap();
        head = next.head();
        next
    });
    sealed.collect()
}

// Guards against a page that loads or runs anything from outside, omits requests or cuts off its
// plots.
#[test]
fn the_page_is_self_contained_and_counts_every_request() {
    let lines = export(&[loaded_chain("brest-1", 201), loaded_chain("brest-2", 201)]);
    let page = report_page("export.jsonl", lines.iter().map(String::as_str)).unwrap();
    assert_eq!(page.matches("<svg").count(), 5);
    let names_only = page.replace("http://www.w3.org/2000/svg", "");
    assert!(!names_only.contains("http"));
    assert!(!page.contains("<script"));
    // The longest request took 1.3 s, so the axis must include 1.2 s.
    let ends = page.split("<h2>Time to the end").nth(1).unwrap();
    assert!(ends.contains("\n1.2\n"));
    let start = page.find("<h2>Outcomes").unwrap();
    let end = page.find("<h2>Requests").unwrap();
    insta::assert_snapshot!(&page[start..end], @r#"<h2>Outcomes</h2><table><tr><th>Outcome</th><th>Requests</th></tr><tr><td>complete</td><td class="n">342</td></tr><tr><td>not-run</td><td class="n">58</td></tr><tr><td>started, end not recorded</td><td class="n">2</td></tr></table><p>0 configuration changes accepted, 0 refused; 0 refusals counted without a record of their own.</p>"#);
}

// Guards against a report that hides findings, or that shows a file without records.
#[test]
fn findings_are_listed_and_an_empty_export_is_an_error() {
    let mut lines = export(&[loaded_chain("brest-1", 20)]);
    lines[4] = lines[4].replacen("complete", "not-run", 1);
    let page = report_page("export.jsonl", lines.iter().map(String::as_str)).unwrap();
    assert!(
        page.contains("<p>1 findings:</p><ul><li class=\"bad\">export.jsonl:5:1: error: edited")
    );
    assert_eq!(report_page("none", ["{}"]), Err(ReportError::Empty));
}

// Guards against a page whose size grows with the period of the export, up to the largest possible
// time.
#[test]
fn a_long_period_is_merged_into_a_bounded_number_of_points() {
    let head = loaded_chain("brest-1", 2)[0].head();
    let mut records = Vec::new();
    for step in 0..2_000_u64 {
        let time = WallTime(step * step * 1_000_000);
        let event = finished(&format!("r{step}"), OutcomeKind::Complete);
        records.push(SealedRecord::seal(&head, time, event).unwrap());
    }
    records.push(SealedRecord::seal(&head, WallTime(u64::MAX), refused("x")).unwrap());
    let lines: Vec<_> = records
        .iter()
        .map(|sealed| sealed.line.to_string())
        .collect();
    let page = report_page("export.jsonl", lines.iter().map(String::as_str)).unwrap();
    assert!(page.len() < 200_000);
}

// Guards against a straight line across two minutes without requests, which would show requests
// that did not exist.
#[test]
fn a_period_without_requests_is_drawn_as_zero() {
    let events = vec![
        finished("r1", OutcomeKind::Complete),
        finished("r2", OutcomeKind::Complete),
    ];
    let lines = export(&[with_interval(chain("brest-1", events), 120_000)]);
    let page = report_page("export.jsonl", lines.iter().map(String::as_str)).unwrap();
    let section = page
        .split("<h2>")
        .find(|part| part.starts_with("Requests<"))
        .unwrap();
    // Axes and legend have lines of two points.
    let lines = section.split("points=\"").map(heights);
    let drawn = lines.max_by_key(Vec::len).unwrap();
    assert_eq!(drawn.len(), 4, "{drawn:?}");
    assert!(drawn[0] < drawn[1] && drawn[1] == drawn[2] && drawn[3] == drawn[0]);
}

/// Parses the heights of the points at the start of `text`.
fn heights(text: &str) -> Vec<f64> {
    let points = text.split('"').next().unwrap_or_default();
    points
        .split_whitespace()
        .filter_map(|point| point.split(',').nth(1)?.parse().ok())
        .collect()
}
