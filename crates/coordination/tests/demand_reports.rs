//! Reports of the demand for services: what a table makes of invalid, missing and old ones.

#![allow(clippy::expect_used, reason = "a failed helper must fail the test")]

use std::fmt::Write as _;
use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, ServiceName};
use pollendrift_coordination::demand::{
    DemandBatch, DemandReport, DemandSettings, DemandTable, ReportScope, ReportSender,
};

const DRAFT_TOKENS: u64 = 900;

fn service() -> ServiceName {
    ServiceName::from("writers")
}

fn table() -> DemandTable {
    let mut table = DemandTable::new(DemandSettings::default());
    table.set_hosts(63);
    table
}

fn report(service: &str, tokens_per_second: f64, hosts: u32) -> DemandReport {
    DemandReport {
        service: service.into(),
        tokens_per_second,
        hosts,
    }
}

/// Applies a report of a keeper about all hosts; returns the warning.
fn apply_total(
    table: &mut DemandTable,
    now: MonotonicTime,
    report: DemandReport,
) -> Option<String> {
    let batch = DemandBatch {
        scope: ReportScope::Total,
        reports: vec![report],
    };
    let invalid = table.apply_batch(now, &"keeper".into(), ReportSender::Keeper, &batch);
    invalid.map(|invalid| invalid.to_string())
}

/// Guards against a host that keeps a share of a sum which no longer arrives, as when it is cut off
/// or its keeper died: after 1.5 s its part is the equal one.
#[test]
fn without_a_sum_a_host_uses_an_equal_share() {
    let mut table = table();
    let start = MonotonicTime::from_millis(20_000);
    table.record(start, &service(), 2 * DRAFT_TOKENS);
    let own = table.report_own(start).reports;
    assert_eq!(own, [report("writers", 900.0, 1)]);
    let warning = apply_total(&mut table, start, report("writers", 9_000.0, 63));
    assert_eq!(warning, None);
    let shares = [0, 1_499, 1_500, 9_999, 10_000].map(|millis| {
        let now = start.after(Duration::from_millis(millis));
        table.tick(now);
        format!("{millis} ms: {:.4}", table.share(now, &service()))
    });
    insta::assert_snapshot!(shares.join("\n"), @r"
    0 ms: 0.0916
    1499 ms: 0.0916
    1500 ms: 0.0159
    9999 ms: 0.0159
    10000 ms: 0.0159
    ");
}

/// Guards against invalid reports of a faulty peer, which would take the share of every host, and
/// against a log line for each of them.
#[test]
fn invalid_reports_are_ignored_with_one_warning_a_minute() {
    let now = MonotonicTime::from_millis(20_000);
    let long_name = "n".repeat(257);
    let cases = [
        report("writers", f64::NAN, 1),
        report("writers", f64::INFINITY, 1),
        report("writers", -1.0, 1),
        report("writers", 1.1e9, 1),
        report("writers", 1.0, 0),
        report("writers", 1.0, 1_000_001),
        report(&long_name, 1.0, 1),
    ];
    let mut warnings = String::new();
    for case in cases {
        let mut table = table();
        let first = apply_total(&mut table, now, case.clone());
        let _ = writeln!(warnings, "{}", first.expect("a warning"));
        let soon = now.after(Duration::from_secs(59));
        let late = now.after(Duration::from_secs(60));
        assert_eq!(apply_total(&mut table, soon, case.clone()), None);
        assert!(apply_total(&mut table, late, case).is_some());
        assert_eq!(table.dump(now), []);
    }
    insta::assert_snapshot!(warnings, @r"
    1 invalid, the first with NaN tokens per second, not 0 to 1000000000
    1 invalid, the first with inf tokens per second, not 0 to 1000000000
    1 invalid, the first with -1 tokens per second, not 0 to 1000000000
    1 invalid, the first with 1100000000 tokens per second, not 0 to 1000000000
    1 invalid, the first with 1 tokens per second of no host
    1 invalid, the first with 1000001 hosts, not 0 to 1000000
    1 invalid, the first with service name of 257 bytes, not at most 256
    ");
}

/// Guards against services that hosts report to each other for ever after the last draft, and
/// against a table that grows without bound.
#[test]
fn unused_and_too_many_services_are_dropped() {
    let mut host = table();
    let mut keeper = table();
    let start = MonotonicTime::from_millis(20_000);
    host.record(start, &service(), 1_000_000_000);
    let mut reported = Vec::new();
    for tenths in 0..200 {
        let now = start.after(Duration::from_millis(100 * tenths));
        for table in [&mut host, &mut keeper] {
            table.tick(now);
        }
        if tenths % 4 == 0 {
            let own = host.report_own(now);
            reported.extend((!own.is_empty()).then_some(tenths));
            let _ = keeper.apply_batch(now, &"host".into(), ReportSender::Entry, &own);
            let all = keeper.report_all(now);
            let _ = host.apply_batch(now, &"keeper".into(), ReportSender::Keeper, &all);
        }
    }
    // Ten seconds, and the time until the last report with demand has expired.
    assert_eq!(reported.last(), Some(&108), "tenths of a second");
    assert_eq!((host.dump(start), keeper.dump(start)), (vec![], vec![]));
    for index in 0..300 {
        apply_total(&mut host, start, report(&format!("other-{index}"), 5.0, 2));
    }
    assert_eq!(host.dump(start).len(), 256);
    // A draft that arrives here counts more than reports of demand elsewhere.
    host.record(start, &service(), DRAFT_TOKENS);
    assert_eq!(host.dump(start).len(), 256);
    let mut services = host.dump(start).into_iter().map(|dump| dump.service);
    assert!(services.any(|name| name == service()));
}
