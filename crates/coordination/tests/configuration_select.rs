//! Selectors of requests, the backend servers that they allow, and the reasons of mismatches.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use std::fmt::Write;

use pollendrift_coordination::base::{AdapterName, Revision};
use pollendrift_coordination::configuration::{
    Configuration, HostFacts, ParsedConfiguration, RequestFacts, RequestTarget, SelectionVerdict,
    ServerFacts,
};

const TEXT: &str = "\
kind: labels
on: customer
name: '*'
labels: {tier: basic, weight: 1, deadline-ms: 60000}
---
kind: labels
on: customer
name: plant-*
labels: {tier: night, priority: 40}
---
kind: labels
on: customer
name: plant-inn
labels: {weight: 9, limit/in-flight: 8}
---
kind: labels
on: request
match: {matchLabels: {request/header.x-class: urgent}}
labels: {class: urgent, priority: 90}
---
kind: labels
on: backend-server
name: e2
labels: {state: out-of-service}
---
kind: labels
on: backend-server
match: {matchLabels: {announced/kind: h100}}
labels: {speed: 3}
---
kind: labels
on: host
name: h1
labels: {state: out-of-service}
---
kind: selector
name: urgent
order: 10
model: drafts
version: v2
for: {matchLabels: {class: urgent}}
allow:
  matchExpressions: [{key: speed, operator: Gt, values: [2]}]
---
kind: selector
name: inn-only
order: 20
model: drafts
adapter: isolation
for: {matchLabels: {customer/name: plant-inn}}
---
kind: selector
name: night
order: 30
model: drafts
for:
  matchExpressions: [{key: customer/tier, operator: In, values: [night]}]
---
kind: selector
name: portal
service: portal
";

fn configuration() -> Configuration {
    let parsed = ParsedConfiguration::parse("f", TEXT).unwrap();
    Configuration::build(Revision(7), &parsed)
}

fn draft(customer: &str, class: Option<&str>, adapter: Option<&str>) -> RequestFacts {
    let mut facts = RequestFacts::draft(customer.into(), "drafts".into());
    if let Some(class) = class {
        facts
            .attributes
            .insert("header.x-class".into(), class.into());
    }
    if let RequestTarget::Model {
        adapter: requested, ..
    } = &mut facts.target
    {
        *requested = adapter.map(AdapterName::from);
    }
    facts
}

fn engine(name: &str) -> ServerFacts {
    ServerFacts {
        name: name.into(),
        kind: "h100".into(),
        model: Some("drafts".into()),
        version: Some("v2".into()),
        adapters: vec!["isolation".into()],
        service: None,
        data_centre: "brest".into(),
        role: "both".into(),
    }
}

// Guards against a request served by a selector other than the first match, with the wrong
// settings, or refused without the reasons.
#[test]
fn the_first_matching_selector_serves_the_request() {
    let configuration = configuration();
    let cases = [
        (
            "urgent goes first",
            draft("plant-inn", Some("urgent"), None),
        ),
        ("own selector", draft("plant-inn", None, None)),
        (
            "own selector, adapter named",
            draft("plant-inn", None, Some("isolation")),
        ),
        ("pattern of customers", draft("plant-isar", None, None)),
        ("unknown adapter", draft("plant-inn", None, Some("facade"))),
        ("no selector", draft("architect", Some("calm\u{7}"), None)),
        (
            "no such model",
            RequestFacts::draft("architect".into(), "poems".into()),
        ),
        (
            "service",
            RequestFacts::call("architect".into(), "portal".into()),
        ),
    ];
    let mut report = String::new();
    for (name, facts) in cases {
        let _ = match configuration.select(&facts) {
            SelectionVerdict::Refused(refusal) => writeln!(report, "{name}: {refusal}"),
            SelectionVerdict::Selected(selected) => writeln!(
                report,
                "{name}: {} of revision {}, {}, priority {:?}, weight {:?}, in flight {:?}, deadline {:?}",
                selected.selector,
                selected.revision,
                selected.target,
                selected.settings.priority,
                selected.settings.weight,
                selected.settings.in_flight,
                selected.settings.deadline,
            ),
        };
    }
    insta::assert_snapshot!(report, @r#"
    urgent goes first: urgent of revision 7, model drafts, priority Some(90), weight Some(9), in flight Some(8), deadline Some(60s)
    own selector: inn-only of revision 7, model drafts, priority Some(40), weight Some(9), in flight Some(8), deadline Some(60s)
    own selector, adapter named: inn-only of revision 7, model drafts, priority Some(40), weight Some(9), in flight Some(8), deadline Some(60s)
    pattern of customers: night of revision 7, model drafts, priority Some(40), weight Some(1), in flight None, deadline Some(60s)
    unknown adapter: no selector of revision 7 serves this request: urgent: the request asks for adapter facade; inn-only: the request asks for adapter facade; night: the request asks for adapter facade
    no selector: no selector of revision 7 serves this request: urgent: for needs class In [urgent], but it is absent; night: for needs customer/tier In [night], but it is basic; 1 more do not serve it
    no such model: no selector of revision 7 serves this request
    service: portal of revision 7, service portal, priority None, weight Some(1), in flight None, deadline Some(60s)
    "#);
}

// Guards against a backend server that is allowed although it is out of service, lacks the target
// or misses a requirement, and against a wrong reason.
#[test]
fn a_disallowed_backend_server_gets_a_reason() {
    let configuration = configuration();
    let selector = |name: &str| {
        let mut selectors = configuration.selectors().map(|(_, selector)| selector);
        selectors
            .find(|selector| selector.name.as_str() == name)
            .unwrap()
    };
    let mut other_kind = engine("e3");
    other_kind.kind = "l4".into();
    let mut other_version = engine("e4");
    other_version.version = Some("v1".into());
    let mut no_adapters = engine("e5");
    no_adapters.adapters.clear();
    let mut portal = engine("p1");
    portal.model = None;
    portal.service = Some("portal".into());
    let mut report = String::new();
    for facts in [
        &engine("e1"),
        &engine("e2"),
        &other_kind,
        &other_version,
        &no_adapters,
        &portal,
    ] {
        for name in ["urgent", "inn-only", "portal"] {
            let verdict = match configuration.allows(selector(name), facts) {
                Ok(()) => "allowed".to_owned(),
                Err(mismatch) => mismatch.to_string(),
            };
            let _ = writeln!(report, "{name} {}: {verdict}", facts.name);
        }
    }
    insta::assert_snapshot!(report, @r#"
    urgent e1: allowed
    inn-only e1: allowed
    portal e1: it does not offer service portal
    urgent e2: it is out of service
    inn-only e2: it is out of service
    portal e2: it is out of service
    urgent e3: allow needs speed Gt 2, but it is absent
    inn-only e3: allowed
    portal e3: it does not offer service portal
    urgent e4: it does not hold the selector's version
    inn-only e4: allowed
    portal e4: it does not offer service portal
    urgent e5: allowed
    inn-only e5: it can't apply adapter isolation
    portal e5: it does not offer service portal
    urgent p1: it does not offer model drafts
    inn-only p1: it does not offer model drafts
    portal p1: allowed
    "#);
}

// Guards against explanations that leave out a selector or its reason.
#[test]
fn explain_reports_every_selector_in_order() {
    let mut report = String::new();
    for entry in configuration().explain(&draft("plant-isar", None, None)) {
        let reason = entry
            .mismatch
            .map_or_else(|| "matches".to_owned(), |m| m.to_string());
        let mark = if entry.serves { "*" } else { " " };
        let _ = writeln!(
            report,
            "{mark} {} {}: {reason}",
            entry.order, entry.selector
        );
    }
    insta::assert_snapshot!(report, @r#"
      10 urgent: for needs class In [urgent], but it is absent
      20 inn-only: for needs customer/name In [plant-inn], but it is plant-isar
    * 30 night: matches
      100 portal: it serves service portal
    "#);
}

// Guards against a host label that is ignored or applies to another host.
#[test]
fn a_label_takes_only_its_host_out_of_service() {
    let facts = |name: &str| HostFacts {
        name: name.into(),
        data_centre: "brest".into(),
    };
    let state = |name: &str| {
        let labels = configuration().host_labels(&facts(name));
        labels.get("state").map(ToString::to_string)
    };
    assert_eq!(state("h1").as_deref(), Some("out-of-service"));
    assert_eq!(state("h2"), None);
}

// Guards against an index that changes the decision: `select` uses it, `explain` scans all
// selectors.
#[test]
fn the_index_selects_the_same_selector_as_a_scan() {
    let configuration = configuration();
    for customer in ["plant-inn", "plant-isar", "architect"] {
        for class in [None, Some("urgent")] {
            for adapter in [None, Some("isolation"), Some("facade")] {
                let facts = draft(customer, class, adapter);
                let scanned = configuration.explain(&facts);
                let scanned = scanned.iter().find(|entry| entry.serves);
                let selected = match configuration.select(&facts) {
                    SelectionVerdict::Selected(selected) => Some(selected.selector),
                    SelectionVerdict::Refused(_) => None,
                };
                assert_eq!(selected.as_ref(), scanned.map(|entry| &entry.selector));
            }
        }
    }
}
