//! Contract of logs and metrics: their form, their levels, and that the operators' page is true.
#![allow(clippy::unwrap_used, reason = "a helper that fails is a failed test")]

use std::collections::BTreeSet;
use std::time::Duration;

use log::{Level, LevelFilter, Log, Record};
use log4rs::append::file::FileAppender;
use log4rs::encode::json::JsonEncoder;
use pollendrift::settings::LogSettings;
use pollendrift::telemetry::{
    INSTRUMENTS, InstrumentKind, MetricRegistry, RefusedConnection, RequestEnd, log_config,
    log_field,
};
use pollendrift_coordination::evidence::{
    BufferSettings, ChainWriter, EvidenceBuffer, OutcomeKind,
};

const PAGE: &str = include_str!("../../../docs/operators/metrics.md");

fn exercised() -> MetricRegistry {
    let metrics = MetricRegistry::new().unwrap();
    let writer = ChainWriter {
        host: "brest-1".into(),
        incarnation: 1.into(),
    };
    let buffer = EvidenceBuffer::new(writer, BufferSettings::default(), ["k1".into()]);
    metrics.access_refused(RefusedConnection {
        face: "callers",
        reason: "token",
    });
    metrics.backend_servers(43);
    metrics.claims(2);
    metrics.configuration(7.into(), Duration::from_secs(2));
    metrics.connection_opened("callers");
    metrics.connection_opened("callers");
    metrics.connection_closed("callers");
    metrics.evidence(&buffer.status());
    metrics.keeper_leads(true);
    metrics.request_begun();
    metrics.request_ended(RequestEnd {
        outcome: OutcomeKind::Complete,
        attempts: 2,
        duration: Duration::from_millis(700),
    });
    metrics.requests_queued(3);
    metrics.request_refused(OutcomeKind::NotRun, "no-selector");
    metrics.first_token(Duration::from_millis(300));
    metrics.next_token(Duration::from_millis(40));
    metrics
}

/// Names of the text, by the lines that give their types.
fn scraped_names(text: &str) -> BTreeSet<String> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types
        .filter_map(|line| line.split(' ').next())
        .map(str::to_owned)
        .collect()
}

/// Cells of the page's table: name, scraped name, unit.
fn page_rows() -> Vec<[String; 3]> {
    let rows = PAGE
        .lines()
        .filter(|line| line.starts_with("| `pollendrift."));
    rows.map(|row| {
        let mut cells = row
            .split('|')
            .skip(1)
            .map(|cell| cell.trim().replace('`', ""));
        [(); 3].map(|()| cells.next().unwrap())
    })
    .collect()
}

#[test]
fn the_page_lists_every_instrument_as_it_is_scraped() {
    let from_page: Vec<_> = page_rows()
        .into_iter()
        .map(|[name, _, unit]| (name, unit))
        .collect();
    let from_code: Vec<_> = INSTRUMENTS
        .iter()
        .map(|spec| (spec.name.to_owned(), spec.unit.to_owned()))
        .collect();
    assert_eq!(from_page, from_code);
    let scraped: BTreeSet<_> = page_rows()
        .into_iter()
        .map(|[_, scraped, _]| scraped)
        .collect();
    assert_eq!(scraped, scraped_names(&exercised().text()));
}

#[test]
fn instruments_are_in_alphabetical_order_and_named_once() {
    let names: Vec<_> = INSTRUMENTS.iter().map(|spec| spec.name).collect();
    let sorted: BTreeSet<_> = names.iter().copied().collect();
    assert_eq!(names, sorted.into_iter().collect::<Vec<_>>());
    let counters = INSTRUMENTS
        .iter()
        .filter(|spec| spec.kind == InstrumentKind::Counter);
    assert_eq!(counters.count(), 4);
}

#[test]
fn the_text_gives_values_under_conventional_names() {
    let text = exercised().text();
    let lines = text.lines().filter(|line| {
        !line.starts_with('#') && !line.contains("_bucket") && !line.contains("_sum")
    });
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"), @r#"
    pollendrift_access_refusals_total{face="callers",reason="token",otel_scope_name="pollendrift"} 1
    pollendrift_backend_server_count{otel_scope_name="pollendrift"} 43
    pollendrift_claim_count{otel_scope_name="pollendrift"} 2
    pollendrift_configuration_lease_remaining_seconds{otel_scope_name="pollendrift"} 2
    pollendrift_configuration_revision{otel_scope_name="pollendrift"} 7
    pollendrift_connection_count{face="callers",otel_scope_name="pollendrift"} 1
    pollendrift_evidence_durable{otel_scope_name="pollendrift"} 0
    pollendrift_evidence_waiting_count{otel_scope_name="pollendrift"} 0
    pollendrift_evidence_waiting_size_bytes{otel_scope_name="pollendrift"} 0
    pollendrift_keeper_leader{otel_scope_name="pollendrift"} 1
    pollendrift_request_active{otel_scope_name="pollendrift"} 0
    pollendrift_request_attempts_total{otel_scope_name="pollendrift"} 2
    pollendrift_request_duration_seconds_count{outcome="complete",otel_scope_name="pollendrift"} 1
    pollendrift_request_first_token_duration_seconds_count{otel_scope_name="pollendrift"} 1
    pollendrift_request_queued{otel_scope_name="pollendrift"} 3
    pollendrift_request_refusals_total{kind="no-selector",outcome="not-run",otel_scope_name="pollendrift"} 1
    pollendrift_token_count_total{otel_scope_name="pollendrift"} 2
    pollendrift_token_interval_seconds_count{otel_scope_name="pollendrift"} 1
    "#);
}

#[test]
fn log_lines_are_json_with_what_they_are_about_at_the_levels_of_the_settings() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("lines");
    let appender = FileAppender::builder()
        .encoder(Box::new(JsonEncoder::new()))
        .build(&path)
        .unwrap();
    let mut settings = LogSettings::default();
    settings
        .packages
        .insert("pollendrift-coordination".into(), LevelFilter::Debug);
    settings
        .packages
        .insert("pollendrift::entry".into(), LevelFilter::Error);
    let config = log_config(&settings, Box::new(appender)).unwrap();
    let logger = log4rs::Logger::new(config);
    for (target, level) in [
        ("pollendrift::keeper", Level::Info),
        ("pollendrift::keeper", Level::Debug),
        ("pollendrift::entry::draft", Level::Warn),
        ("pollendrift::entry::draft", Level::Error),
        ("pollendrift_coordination::claims", Level::Debug),
        ("pollendrift_coordination::claims", Level::Trace),
    ] {
        let about = [
            (log_field::REQUEST, "r1"),
            (log_field::CUSTOMER, "ponant"),
            (log_field::REVISION, "7"),
        ];
        let record = Record::builder()
            .target(target)
            .level(level)
            .key_values(&about)
            .args(format_args!("refused"))
            .build();
        logger.log(&record);
    }
    let text = std::fs::read_to_string(&path).unwrap();
    let lines = text.lines().map(|line| {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        assert!(line["time"].is_string());
        format!(
            "{} {} {} {}",
            line["level"], line["target"], line["message"], line["attributes"]
        )
    });
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"), @r#"
    "INFO" "pollendrift::keeper" "refused" {"customer":"ponant","request":"r1","revision":"7"}
    "ERROR" "pollendrift::entry::draft" "refused" {"customer":"ponant","request":"r1","revision":"7"}
    "DEBUG" "pollendrift_coordination::claims" "refused" {"customer":"ponant","request":"r1","revision":"7"}
    "#);
}
