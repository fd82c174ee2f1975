//! The settings page of the operators' documentation lists every accepted option, and its example
//! is accepted.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

use pollendrift::settings::DaemonSettings;

const PAGE: &str = include_str!("../../../docs/operators/settings.md");
const LISTS: [&str; 3] = ["customers", "operators", "peers"];

fn findings_of(text: &str) -> String {
    let file: Arc<str> = "host.yaml".into();
    match DaemonSettings::parse(&file, PathBuf::from("/nonexistent"), text) {
        Ok(loaded) => loaded.warnings.to_string(),
        Err(findings) => findings.to_string(),
    }
}

/// Options that the page lists, by section.
fn page_options() -> BTreeMap<String, Vec<String>> {
    let mut sections: BTreeMap<_, Vec<_>> = BTreeMap::new();
    let mut section = String::new();
    for line in PAGE.lines() {
        if let Some(name) = line.strip_prefix("## ") {
            section = name.to_owned();
        }
        if let Some(row) = line.strip_prefix("| `") {
            let option = row.split('`').next().unwrap().to_owned();
            sections.entry(section.clone()).or_default().push(option);
        }
    }
    sections
}

/// Options that the code accepts in `section`, taken from the finding about an unknown key.
fn accepted_options(section: &str) -> Vec<String> {
    let text = match section {
        "the settings" => "unknown: 1".to_owned(),
        list if LISTS.contains(&list) => format!("{list}: [{{unknown: 1}}]"),
        other => format!("{other}: {{unknown: 1}}"),
    };
    let findings = findings_of(&text);
    let prefix = format!("unknown key `unknown` in {section} (accepted: ");
    let list = findings.split(&prefix).nth(1).unwrap();
    let list = list.split(')').next().unwrap();
    list.split(", ").map(str::to_owned).collect()
}

// Guards against an option that is missing from the page, or listed there but not accepted.
#[test]
fn the_page_lists_the_options_of_every_section() {
    let sections = page_options();
    assert_eq!(sections.len(), 20);
    for (section, options) in sections {
        assert_eq!(options, accepted_options(&section), "section {section}");
    }
}

// Guards against an example that the daemon refuses. The example turns off the authentication of
// backend servers, which gives a warning, and its data folder does not exist here.
#[test]
fn the_example_of_the_page_has_only_the_expected_findings() {
    let example = PAGE.split("```yaml\n").nth(1).unwrap();
    let example = example.split("```").next().unwrap();
    insta::assert_snapshot!(findings_of(example), @"
    host.yaml:18:18: warning: backend servers are not authenticated: any client that reaches the address can receive requests (accepted: `proof: required` with `token_sha256`)
    host.yaml:9:14: error: `data_folder`: /nonexistent/data is not a folder (accepted: a folder that exists)
    ");
}
