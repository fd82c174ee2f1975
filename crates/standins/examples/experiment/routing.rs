//! Duration of request decisions by number of backend servers and customers.

use std::sync::Arc;

use pollendrift::fleet::{BackendFleet, DraftQuery};
use pollendrift_coordination::base::{ModelName, Revision, ServiceName};
use pollendrift_coordination::configuration::{
    Configuration, ParsedConfiguration, RequestFacts, Selector, ServerFacts,
};
use pollendrift_coordination::routing::RoutePriority;

use crate::clock::micros_per_call;
use crate::fail;
use crate::fleet::{FILLED_AT, filled};
use crate::series::Series;

pub(crate) const SERVER_SIZES: [usize; 4] = [40, 400, 4_000, 12_000];
pub(crate) const CUSTOMER_SIZES: [usize; 4] = [10, 100, 400, 1_600];

/// Selectors of the measured drafts, which allow all engines, one kind of 4, one data centre of 14,
/// and none.
const ROUTING_TEXT: &str = "kind: selector\nname: every\nmodel: model-0\n---\n\
    kind: selector\nname: kind\nmodel: model-0\nallow: {matchLabels: {announced/kind: kind-0}}\n---\n\
    kind: selector\nname: centre\nmodel: model-0\n\
    allow: {matchLabels: {announced/data-centre: centre-0}}\n---\n\
    kind: selector\nname: nobody\nmodel: model-0\nallow: {matchLabels: {announced/kind: other}}\n";

pub(crate) fn build(text: &str) -> Configuration {
    match ParsedConfiguration::parse("experiment", text) {
        Ok(parsed) => Configuration::build(Revision(1), &parsed),
        Err(findings) => fail(&findings.to_string()),
    }
}

pub(crate) fn run(seed: u64) -> Vec<Series> {
    let mut measured = measure_drafts(seed);
    measured.extend(measure_calls(seed));
    measured.extend(measure_selection());
    measured
}

fn measure_drafts(seed: u64) -> Vec<Series> {
    let cases = [
        ("draft route, selector allows every engine", "every"),
        ("draft route, selector allows 1 kind of 4", "kind"),
        ("draft route, selector allows 1 centre of 14", "centre"),
        ("draft refusal, selector allows none", "nobody"),
    ];
    let configuration = build(ROUTING_TEXT);
    let mut measured = cases.map(|(name, _)| Series::new(name, "servers", "us"));
    for size in SERVER_SIZES {
        let (fleet, _) = filled(seed, size);
        for ((_, selector), series) in cases.iter().zip(&mut measured) {
            let found = configuration.selectors().map(|(_, selector)| selector);
            let mut found = found.filter(|known| known.name.as_str() == *selector);
            let Some(selector) = found.next() else {
                fail("a selector of the experiment is missing");
            };
            series.add(
                size,
                micros_per_call(|| route_once(&fleet, &configuration, selector)),
            );
        }
    }
    measured.into()
}

fn route_once(fleet: &BackendFleet, configuration: &Configuration, selector: &Selector) -> bool {
    let query = DraftQuery {
        configuration,
        selector,
        model: &ModelName::from("model-0"),
        version: None,
        adapter: None,
        excluded: &[],
        prompt_tokens: 512,
        expected_tokens: 208,
        deadline: None,
        priority: RoutePriority::Normal,
    };
    let Ok(route) = fleet.route(FILLED_AT, &query) else {
        return false;
    };
    fleet.finished(FILLED_AT, route.flight);
    true
}

fn measure_calls(seed: u64) -> Vec<Series> {
    let mut scan = Series::new("service call, scan over all servers", "servers", "us");
    let mut index = Series::new("service call, index by service", "servers", "us");
    let service = ServiceName::from("service-0");
    for size in SERVER_SIZES {
        let (fleet, _) = filled(seed, size);
        let by_scan = || {
            let mut views = fleet.serving(FILLED_AT);
            views.retain(|view| view.facts.service.as_ref() == Some(&service));
            views
        };
        if by_scan().len() != fleet.serving_service(FILLED_AT, &service).len() {
            fail("the index by service differs from the scan");
        }
        scan.add(size, micros_per_call(by_scan));
        index.add(
            size,
            micros_per_call(|| fleet.serving_service(FILLED_AT, &service)),
        );
    }
    vec![scan, index]
}

fn measure_selection() -> Vec<Series> {
    let mut select = Series::new("selection for a request", "customers", "us");
    let mut labels = Series::new("labels of a server", "customers", "us");
    for size in CUSTOMER_SIZES {
        let configuration = build(&customers_text(size, 5));
        let customer = format!("customer-{}", size - 1).into();
        let request = RequestFacts::draft(customer, "model-0".into());
        let server = ServerFacts {
            name: "engine-00000".into(),
            kind: "kind-0".into(),
            model: Some("model-0".into()),
            version: Some("2026-11".into()),
            adapters: Vec::new(),
            service: None,
            data_centre: "centre-0".into(),
            role: "both".into(),
        };
        select.add(size, micros_per_call(|| configuration.select(&request)));
        labels.add(
            size,
            micros_per_call(|| configuration.server_labels(&server)),
        );
    }
    vec![select, labels]
}

/// Configuration text with a label rule and a selector per customer. `weight` is the weight label
/// of the last customer; the others have weight 5.
pub(crate) fn customers_text(customers: usize, weight: u32) -> Arc<str> {
    let document = |customer: usize| {
        let weight = if customer + 1 == customers { weight } else { 5 };
        format!(
            "kind: labels\non: customer\nname: customer-{customer}\nlabels: {{weight: {weight}}}\n\
             ---\nkind: selector\nname: s{customer}\nmodel: model-{}\n\
             for: {{matchLabels: {{customer/name: customer-{customer}}}}}\n\
             allow: {{matchLabels: {{announced/kind: kind-0}}}}\n",
            if customer + 1 == customers {
                0
            } else {
                customer % 5
            },
        )
    };
    let documents: Vec<String> = (0..customers).map(document).collect();
    documents.join("---\n").into()
}
