//! Configuration: canonical text and digest, updates for followers, and bodies of the
//! operator interface.

use std::fmt::Write;
use std::time::Duration;

use pollendrift_coordination::base::{Revision, WallTime};
use pollendrift_coordination::configuration::{
    CanonicalText, ChangeBody, ChangeLog, ChangeRequest, ChangeRetention, Configuration,
    ConfigurationDigest, ConfigurationView, DaemonRevision, DocumentChange, ExplainBody,
    ExplainView, ExplainedSelector, ExplainedServer, HistoryView, HostFacts, InForceAnswer,
    InForceView, LabelSet, LabelSettings, ParsedConfiguration, PublishedSource, RequestFacts,
    RequestTarget, ServerFacts, ServiceState, source_document,
};
use pollendrift_coordination::replicated::ReplicatedTime;
use pollendrift_coordination::routes::SourceVersion;

use crate::encoded_text::{cbor, json};
use crate::samples::{difference, document_keys, summary};

const DOCUMENTS: &str = "\
kind: labels
on: backend-server
name: 'b*'
labels: {zone: north}
---
kind: labels
on: customer
name: ponant
labels: {weight: 3, tier: gold}
---
kind: labels
on: host
name: h1
labels: {}
---
kind: labels
on: request
match:
  matchExpressions:
    - {key: request/size, operator: Gt, values: [7]}
    - {key: customer/name, operator: NotIn, values: [b, a]}
labels: {size: large, idempotent: true}
---
kind: selector
name: drafts
order: 20
model: m
version: '1.10'
adapter: legal
for:
  matchExpressions:
    - {key: tier, operator: In, values: [gold, silver]}
    - {key: size, operator: Exists}
allow:
  matchExpressions:
    - {key: zone, operator: DoesNotExist}
    - {key: memory, operator: Lt, values: [90]}
---
kind: selector
name: calls
service: booking
";

fn source(version: u64) -> String {
    let routes: Vec<String> = (0..9)
        .map(|name| format!(r#"{{"name":"r-{name}","prefix":"/p{name}/"}}"#))
        .collect();
    source_document(&PublishedSource {
        version: SourceVersion(version),
        text: format!(r#"{{"routes":[{}],"version":{version}}}"#, routes.join(",")).into(),
    })
}

fn parsed(text: &str) -> CanonicalText {
    let parsed = ParsedConfiguration::parse("f", text);
    parsed.expect("sound documents").canonical().clone()
}

fn changed(log: &mut ChangeLog, id: &str, text: &str) {
    let request = ChangeRequest {
        change_id: id.into(),
        based_on: log.revision(),
        operator: "anna".into(),
        text: text.into(),
    };
    let wall = WallTime(1_000 + log.revision().0);
    log.decide(&request, wall, ReplicatedTime::default());
}

fn log() -> ChangeLog {
    let mut log = ChangeLog::new(ChangeRetention::default());
    changed(&mut log, "c1", &format!("{DOCUMENTS}---\n{}", source(1)));
    let selector = "kind: selector\nname: drafts\nmodel: m2\n";
    changed(&mut log, "c2", &format!("{selector}---\n{}", source(2)));
    log
}

// Guards against a changed canonical text: its digest changes too, so followers would reject deltas
// of other builds, and an operator's resend would count as another change.
#[test]
fn canonical_documents_keep_their_text_and_digest() {
    let canonical = parsed(&format!("{DOCUMENTS}---\n{}", source(1)));
    let mut report = canonical.text();
    let _ = writeln!(report, "digest {}", canonical.digest());
    insta::assert_snapshot!(report);
    insta::assert_snapshot!("canonical_encoding", cbor(&canonical));
}

// Guards against a renamed field or variant: followers could not read deltas and edits of other
// builds.
#[test]
fn deltas_and_edits_keep_their_encoding() {
    let delta = log().delta_since(Revision(1)).expect("it is retained");
    let change = |key| DocumentChange {
        key,
        text: Some("text".into()),
        edit: None,
    };
    let mut shown = vec![cbor(&delta)];
    shown.extend(document_keys().map(change).iter().map(cbor));
    assert!(shown[0].contains("\"Keep\"") && shown[0].contains("\"Insert\""));
    insta::assert_snapshot!(shown.join("\n"));
}

// Guards against changed names of documents, which operators read in findings, evidence and lists of
// changes.
#[test]
fn names_of_documents_keep_their_text() {
    let mut texts = document_keys().map(|key| key.to_string()).to_vec();
    texts.push(difference().to_string());
    texts.push(ConfigurationDigest([0xab; 32]).to_string());
    insta::assert_snapshot!(texts.join("\n"));
}

fn in_force() -> InForceView {
    InForceView {
        at: Some(InForceAnswer {
            change: summary(),
            text: "kind: selector\n".to_owned(),
            clocks_disagree: true,
        }),
        daemons: vec![DaemonRevision {
            host: "h1".into(),
            revision: Some(Revision(6)),
            heard_ms_ago: Some(40),
        }],
    }
}

fn explained() -> ExplainView {
    ExplainView {
        revision: Revision(6),
        serves: Some("drafts".into()),
        selectors: vec![ExplainedSelector {
            selector: "calls".into(),
            order: 20,
            reason: Some("it serves service booking".to_owned()),
        }],
        servers: vec![ExplainedServer {
            server: "b1".into(),
            reason: Some("it is out of service".to_owned()),
        }],
    }
}

// Guards against a renamed field: operators' scripts and tools of other builds would fail.
#[test]
fn bodies_for_operators_keep_their_names() {
    let body = ChangeBody {
        change_id: "c5".into(),
        based_on: Revision(5),
        text: "kind: selector\n".into(),
    };
    let view = ConfigurationView {
        revision: Revision(6),
        digest: "ab".to_owned(),
        text: "kind: selector\n".into(),
    };
    let question = ExplainBody {
        customer: "ponant".to_owned(),
        model: Some("m".to_owned()),
        adapter: Some("legal".to_owned()),
        service: Some("booking".to_owned()),
        path: "/v1/bookings".to_owned(),
        attributes: [("size".into(), "7".into())].into(),
    };
    let history = HistoryView {
        changes: vec![summary()],
    };
    let lines = [
        json(&body),
        json(&view),
        json(&history),
        json(&in_force()),
        json(&question),
        json(&explained()),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

fn labels(texts: &[(&str, &str)]) -> LabelSet {
    let mut labels = LabelSet::default();
    for (key, value) in texts {
        assert!(labels.set_text(key, value), "{key}");
    }
    labels
}

// Guards against a renamed well-known label: labels in existing configurations would have no effect.
#[test]
fn well_known_labels_keep_their_keys() {
    let read = LabelSettings::of(&labels(&[
        ("deadline-ms", "1500"),
        ("idempotent", "true"),
        ("limit/in-flight", "2"),
        ("limit/kv-tokens", "3"),
        ("limit/max-tokens", "4"),
        ("limit/queue", "5"),
        ("limit/requests-per-second", "6"),
        ("limit/tokens-per-second", "7"),
        ("priority", "8"),
        ("retry/budget-percent", "9"),
        ("state", "out-of-service"),
        ("weight", "11"),
    ]));
    let expected = LabelSettings {
        deadline: Some(Duration::from_millis(1_500)),
        idempotent: Some(true),
        in_flight: Some(2),
        kv_tokens: Some(3),
        max_tokens: Some(4),
        queue: Some(5),
        requests_per_second: Some(6),
        tokens_per_second: Some(7),
        priority: Some(8),
        retry_budget_percent: Some(9),
        state: ServiceState::OutOfService,
        weight: Some(11),
    };
    assert_eq!(read, expected);
}

fn server() -> ServerFacts {
    ServerFacts {
        name: "b1".into(),
        kind: "big".into(),
        model: Some("m".into()),
        version: Some("v1".into()),
        adapters: vec!["legal".into()],
        service: Some("booking".into()),
        data_centre: "north".into(),
        role: "decode".into(),
    }
}

// Guards against a renamed label of facts: existing selectors would no longer match.
#[test]
fn labels_of_facts_keep_their_keys() {
    let configuration = Configuration::default();
    let host = HostFacts {
        name: "h1".into(),
        data_centre: "north".into(),
    };
    let mut draft = RequestFacts::draft("ponant".into(), "m".into());
    draft.path = "/v1/completions".into();
    draft.attributes = [("size".into(), "7".into())].into();
    draft.target = RequestTarget::Model {
        model: "m".into(),
        adapter: Some("legal".into()),
    };
    let call = RequestFacts::call("ponant".into(), "booking".into());
    let sets = [
        configuration.server_labels(&server()),
        configuration.host_labels(&host),
        configuration.request_labels(&draft),
        configuration.request_labels(&call),
        configuration.customer_labels(&"ponant".into()),
    ];
    insta::assert_snapshot!(sets.map(|set| json(&set)).join("\n"));
}
