//! Tests that a host records every instrument of the metrics page after serving requests.

use std::collections::BTreeSet;
use std::time::Duration;

use pollendrift_http::HttpClient;
use pollendrift_standins::caller::DraftCaller;
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, loopback};

use crate::support::HostGroup;

const PAGE: &str = include_str!("../../../../docs/operators/metrics.md");
/// Longest wait for the gauges of the tables, which are updated every second.
const TIMEOUT: Duration = Duration::from_secs(10);

fn page_names() -> BTreeSet<String> {
    let rows = PAGE
        .lines()
        .filter(|line| line.starts_with("| `pollendrift."));
    rows.filter_map(|row| row.split('|').nth(2))
        .map(|cell| cell.trim().replace('`', ""))
        .collect()
}

async fn scrape(group: &HostGroup) -> String {
    let platform = group.builder.hosts()[0].platform;
    let client = HttpClient::new(1 << 20);
    let request = http::Request::get(format!("http://{platform}/metrics"))
        .body(Default::default())
        .unwrap();
    let response = client.send(request).await.unwrap();
    let body = client.read(response).await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

fn scraped_names(text: &str) -> BTreeSet<String> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types
        .filter_map(|line| line.split(' ').next())
        .map(str::to_owned)
        .collect()
}

/// Value of the first series that starts with `series`.
fn value(text: &str, series: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(series)).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

// Guards against metrics that are documented but not recorded, or recorded but not documented. The
// scraped names are compared to the names on the metrics page after one accepted and one refused
// draft.
#[tokio::test(flavor = "multi_thread")]
async fn the_metrics_page_lists_exactly_the_recorded_instruments() {
    let group = HostGroup::start(1, 1).await;
    let mut engines = Vec::new();
    for (index, offer) in mixed_engines(&ModelShape::default(), 8)
        .into_iter()
        .enumerate()
    {
        let server = format!("engine-{index}");
        let settings = EngineSettings { server, offer };
        let mut engine = EngineServer::start(settings, loopback()).await.unwrap();
        engine.announce(group.entries(), 1, "dc-a");
        engines.push(engine);
    }
    group.wait_servers(8).await;
    let entry = group.entry(0);
    for token in [CUSTOMER_TOKEN, "nobody"] {
        let caller = DraftCaller::new(&entry, token);
        caller.draft("draft", "one", 4, |_| {}).await.unwrap();
    }
    let complete = async {
        loop {
            let text = scrape(&group).await;
            let is_updated = scraped_names(&text).contains("pollendrift_backend_server_count");
            if is_updated && value(&text, "pollendrift_backend_server_count") > 7.0 {
                return text;
            }
        }
    };
    let text = tokio::time::timeout(TIMEOUT, complete).await.unwrap();
    assert_eq!(scraped_names(&text), page_names());
    let checked_series = [
        "pollendrift_access_refusals_total{face=\"callers\",reason=\"token\"",
        "pollendrift_backend_server_count",
        "pollendrift_configuration_revision",
        "pollendrift_keeper_leader",
        "pollendrift_request_active",
        "pollendrift_token_count_total",
    ];
    let lines = checked_series.map(|series| format!("{series} {}", value(&text, series)));
    insta::assert_snapshot!(lines.join("\n"), @r#"
    pollendrift_access_refusals_total{face="callers",reason="token" 1
    pollendrift_backend_server_count 8
    pollendrift_configuration_revision 1
    pollendrift_keeper_leader 1
    pollendrift_request_active 0
    pollendrift_token_count_total 4
    "#);
}
