//! Parsing of configuration texts: findings, canonical form and caching.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use std::fmt::Write;

use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::{
    Configuration, DocumentCache, MAX_TEXT_BYTES, ParsedConfiguration,
};
use proptest::prelude::proptest;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

fn findings_of(text: &str) -> String {
    match ParsedConfiguration::parse("change.yaml", text) {
        Ok(parsed) => format!("accepted\n{}", parsed.warnings),
        Err(findings) => findings.to_string(),
    }
}

// Guards against checks that stop at the first error, which makes operators correct a text one
// error at a time. Each finding has to state its location and the accepted values.
#[test]
fn all_findings_are_reported_together() {
    let text = "\
kind: labels
on: machine
labels: {weight: 3}
---
kind: labels
on: customer
name: federation
name: again
colour: green
labels:
  weight: heavy
  limit/in-flght: 3
  announced/model: clauses
  state: out-of-service
  bad key: 1
---
kind: labels
on: backend-server
labels: []
---
kind: labels
on: request
name: x
match: {matchLabels: [a]}
labels: {class: night}
---
kind: selector
name: drafts
order: first
model: clauses
service: portal
for:
  matchExpressions:
    - {key: request/path, operator: Matches, values: [a]}
    - {key: tier, operator: In}
    - {key: tier, operator: Gt, values: [two]}
    - {key: tier, operator: Exists, values: [a]}
    - {operator: In, values: []}
---
kind: selector
name: nothing
---
- kind: selector
---
kind: pipeline
";
    insta::assert_snapshot!(findings_of(text), @r#"
    change.yaml:2:5: error: labels can't be on machine (accepted: backend-server, customer, host or request)
    change.yaml:8:1: error: key name is already given in line 7 (accepted: each key once)
    change.yaml:15:3: error: bad key is no label key (accepted: letters, digits, '-', '_', '.' and '/' between parts, at most 128 bytes)
    change.yaml:11:11: error: label weight can't be heavy (accepted: a whole number from 1 to 1000)
    change.yaml:12:19: error: there is no label limit/in-flght (accepted: limit/in-flight, limit/kv-tokens, limit/max-tokens, limit/queue, limit/requests-per-second, limit/tokens-per-second, retry/budget-percent)
    change.yaml:13:20: error: label announced/model can't be set: announced/ holds facts (accepted: a key without a reserved prefix)
    change.yaml:14:10: error: label state has no meaning on a customer (accepted: state on backend-server or host)
    change.yaml:9:1: error: unknown key colour (accepted: kind, on, name, match, labels)
    change.yaml:19:9: error: labels is a list (accepted: a map of keys and values)
    change.yaml:17:1: error: the backend-server is not named (accepted: name: a name or a pattern with *)
    change.yaml:23:7: error: a request has no name (accepted: match: over the request's attributes)
    change.yaml:24:22: error: matchLabels is a list (accepted: a map of keys and values)
    change.yaml:29:8: error: order can't be first (accepted: a whole number from 0 to 1000000)
    change.yaml:31:10: error: a selector serves a model or a service (accepted: one of model and service)
    change.yaml:34:37: error: there is no operator Matches (accepted: In, NotIn, Exists, DoesNotExist, Gt or Lt)
    change.yaml:35:29: error: values is missing (accepted: values: a list of 1 to 4096 label values)
    change.yaml:36:33: error: the bound is no whole number (accepted: values: a list of one whole number)
    change.yaml:37:37: error: Exists takes no values (accepted: no values, or In or NotIn)
    change.yaml:38:7: error: key is missing (accepted: a label key)
    change.yaml:38:22: error: values holds 0 (accepted: values: a list of 1 to 4096 label values)
    change.yaml:40:1: error: the selector serves nothing (accepted: one of model and service)
    change.yaml:43:1: error: the document is a list (accepted: a map of keys and values)
    change.yaml:45:7: error: there is no kind pipeline (accepted: kind: labels, kind: selector or kind: source)
    "#);
}

// Guards against invalid YAML, or a text over a limit, that adds several findings or none.
#[test]
fn invalid_yaml_and_exceeded_limits_add_one_finding_per_document() {
    let deep = format!("kind: {}{}\n", "[".repeat(9), "]".repeat(9));
    let cases = [
        ("truncated", "kind: labels\nlabels: {a: b\n".to_owned()),
        ("tab", "kind: labels\n\ton: host\n".to_owned()),
        ("anchor", "kind: &a labels\non: *a\n".to_owned()),
        ("deep", deep),
        ("two", "---\nkind: [\n---\nkind: {\n".to_owned()),
        ("large", "#".repeat(MAX_TEXT_BYTES + 1)),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        let _ = write!(report, "{name}: {}", findings_of(&text));
    }
    insta::assert_snapshot!(report, @r#"
    truncated: change.yaml:2:9: error: not readable as YAML: unclosed bracket '{' (accepted: YAML documents, nested at most 8 deep, without anchors)
    tab: change.yaml:1:7: error: not readable as YAML: while scanning a plain scalar, found a tab (accepted: YAML documents, nested at most 8 deep, without anchors)
    anchor: change.yaml:1:10: error: not readable as YAML: budget breached: Anchors { anchors: 1 } (accepted: YAML documents, nested at most 8 deep, without anchors)
    deep: change.yaml:1:14: error: not readable as YAML: budget breached: Depth { depth: 9 } (accepted: YAML documents, nested at most 8 deep, without anchors)
    two: change.yaml:2:7: error: not readable as YAML: unclosed bracket '[' (accepted: YAML documents, nested at most 8 deep, without anchors)
    change.yaml:4:7: error: not readable as YAML: unclosed bracket '{' (accepted: YAML documents, nested at most 8 deep, without anchors)
    large: change.yaml:0:0: error: the text holds 4194305 bytes (accepted: at most 4194304 bytes)
    "#);
}

// Guards against a repeated document that silently replaces the first one.
#[test]
fn a_repeated_document_is_refused() {
    let text = "\
kind: labels
on: host
name: h1
labels: {state: out-of-service}
---
kind: labels
on: host
name: h1
labels: {}
---
kind: selector
name: s
model: m
---
kind: selector
name: s
service: m
";
    insta::assert_snapshot!(findings_of(text), @r#"
    change.yaml:6:1: error: labels on host h1 is already given in line 1 (accepted: each document once)
    change.yaml:15:1: error: selector s is already given in line 11 (accepted: each document once)
    "#);
}

// Guards against selectors that never serve a request and get no warning: their requirements
// contradict each other, or an earlier selector serves all of their requests.
#[test]
fn selectors_that_never_serve_get_a_warning() {
    let text = "\
kind: selector
name: a-all-gold
order: 1
model: m
for: {matchLabels: {customer/tier: gold}}
---
kind: selector
name: b-gold-at-night
order: 2
model: m
for:
  matchLabels: {customer/tier: gold, class: night}
---
kind: selector
name: c-gold-adapter
order: 3
model: m
adapter: bavarian
for: {matchLabels: {customer/tier: gold}}
---
kind: selector
name: d-contradiction
model: m
for:
  matchExpressions:
    - {key: size, operator: Gt, values: [5]}
    - {key: size, operator: Lt, values: [6]}
---
kind: selector
name: e-other-model
model: m
for: {matchLabels: {request/model: n}}
---
kind: selector
name: f-other-server
model: m
allow: {matchLabels: {announced/model: n}}
---
kind: selector
name: g-absent-and-in
model: m
allow:
  matchExpressions:
    - {key: rack, operator: DoesNotExist}
    - {key: rack, operator: In, values: [a]}
---
kind: selector
name: h-silver
order: 4
model: m
for:
  matchExpressions:
    - {key: customer/tier, operator: NotIn, values: [gold]}
---
kind: selector
name: i-bronze
order: 5
model: m
for: {matchLabels: {customer/tier: bronze, request/model: m}}
";
    insta::assert_snapshot!(findings_of(text), @r#"
    accepted
    change.yaml:21:1: warning: selector d-contradiction never matches: no request meets all that for says of size (accepted: requirements that can hold together)
    change.yaml:29:1: warning: selector e-other-model never matches: no request meets all that for says of request/model (accepted: requirements that can hold together)
    change.yaml:34:1: warning: selector f-other-server never matches: allow asks for another announced/model than m (accepted: requirements that can hold together)
    change.yaml:39:1: warning: selector g-absent-and-in never matches: no backend server meets all that allow says of rack (accepted: requirements that can hold together)
    change.yaml:7:1: warning: selector b-gold-at-night is shadowed: a-all-gold stands before it and takes all of its requests (accepted: a lower order, or a for that the earlier one does not take)
    change.yaml:55:1: warning: selector i-bronze is shadowed: h-silver stands before it and takes all of its requests (accepted: a lower order, or a for that the earlier one does not take)
    "#);
}

// Guards against a canonical text that depends on order, comments, quoting or shorthand, or that
// parses to other content.
#[test]
fn equal_content_has_one_canonical_text() {
    let first = "\
kind: selector
name: s
model: m
version: 1.10   # kept as written
for: {matchLabels: {tier: gold}}
---
kind: labels
on: customer
name: c
labels: {weight: 0005, note: 'say \"yes\": now', off: no}
";
    let second = "\
kind: labels
on: customer
labels: {off: 'no', weight: '0005', note: \"say \\\"yes\\\": now\"}
name: c
---
kind: selector
order: 100
model: m
name: s
version: '1.10'
for:
  matchExpressions: [{key: tier, operator: In, values: [gold]}]
";
    let parse = |text: &str| {
        ParsedConfiguration::parse("f", text)
            .unwrap()
            .canonical()
            .clone()
    };
    assert_eq!(parse(first), parse(second));
    assert_eq!(parse(first), parse(&parse(first).text()));
    insta::assert_snapshot!(parse(first).text(), @r#"
    kind: labels
    on: customer
    name: "c"
    labels:
      "note": "say \"yes\": now"
      "off": "no"
      "weight": "0005"
    ---
    kind: selector
    name: "s"
    order: 100
    model: "m"
    version: "1.10"
    for:
      matchExpressions:
        - {key: "tier", operator: In, values: ["gold"]}
    "#);
}

// Guards against errors on texts without documents, which are valid.
#[test]
fn an_empty_text_is_an_empty_configuration() {
    for text in ["", "# nothing yet\n", "---\n"] {
        let parsed = ParsedConfiguration::parse("f", text).unwrap();
        let configuration = Configuration::build(Revision(1), &parsed);
        assert_eq!(configuration.selector_count(), 0);
    }
}

const DOCUMENTS: [&str; 9] = [
    "kind: selector\nname: a\nmodel: m\n",
    "# above\nkind: selector\nname: b\nmodel: m\n",
    "kind: labels\non: customer\nname: c\nlabels: {weight: 1}\n",
    "kind: labels\non: customer\nname: c\nlabels: {weight: many}\n",
    "  kind: selector\n  name: d\n  model: m\n",
    "{kind: selector, name: e",
    "",
    "# only a comment\n",
    "kind: selector\nname: a\nmodel: m\n...\nkind: selector\nname: f\nmodel: m\n",
];

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    // Guards against a document cache that changes the content, the findings or their locations.
    // Valid and invalid texts follow each other and share documents.
    #[test]
    fn a_cache_does_not_change_the_result(
        edits in proptest::collection::vec(
            proptest::collection::vec((0..DOCUMENTS.len(), 0..3_usize), 0..6),
            1..6,
        ),
    ) {
        let mut cache = DocumentCache::default();
        for edit in edits {
            let text: String = edit
                .into_iter()
                .map(|(document, marker)| {
                    let marker = ["---\n", "---  # next\n", "---\n\n\n"][marker];
                    format!("{marker}{}", DOCUMENTS[document])
                })
                .collect();
            let cached = ParsedConfiguration::parse_after("f", &text, &mut cache);
            assert_eq!(cached, ParsedConfiguration::parse("f", &text), "{text}");
        }
    }
}
