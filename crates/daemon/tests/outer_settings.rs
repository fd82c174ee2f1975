//! Keys of the settings, their default values, and findings about them.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a helper that fails is a failed test"
)]

use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::Arc;

use pollendrift::settings::DaemonSettings;

/// Settings of a host, without any key that has a default.
const SMALLEST: &str = "host: brest-1
data_centre: brest
listen: {callers: 127.0.0.1:8080, operators: 127.0.0.1:8080, backend_servers: 127.0.0.1:8081, platform: 127.0.0.1:9090, peers: 127.0.0.1:7070}
peers:
  - {name: brest-1, data_centre: brest, address: 127.0.0.1:7070}
  - {name: quimper-1, data_centre: quimper, address: 127.0.0.2:7070, keeper: true}
customers:
  - {name: ponant, token_sha256: b94d27b9934d3e08a52e52d7da7dabfac484efe37a5380ee9088f7ace2efcde9}
operators:
  - {name: mael, certificate: true}
";

/// Every key with a default, and that default.
const DEFAULTS: &str = "agreement: {commit_timeout: 5s, election_timeout: 300ms, heartbeat: 50ms, max_batch_entries: 512, may_found: true}
claims: {horizon: 24h, max_claims: 100000, max_result_bytes: 64KiB}
discovery: {seeds: []}
drain: {notice: 2s, timeout: 600s}
entry: {body_timeout: 30s, head_timeout: 5s, max_body_bytes: 4MiB, max_connections: 8192, max_connections_per_address: 1024, max_header_bytes: 16KiB, max_header_count: 100}
evidence: {batch_delay: 1ms, max_batch_records: 256, max_buffer_bytes: 8MiB, max_buffer_records: 16384, note_delay: 1s, resend_delay: 500ms, retain_age: 400d, retain_bytes: 8192MiB}
leases: {backend_server: 3s, clock_drift_ppm: 1000, configuration: 3s, heartbeat: 500ms}
limits: {default_deadline: 120s, max_queue_wait: 10s, max_queued: 1024, max_running: 2048}
logs: {level: info, packages: {}}
placement: {lease: 10s, load_timeout: 300s, max_loads: 2, settle: 30s}
relay: {change_within: 2s, enabled: false, retry_ratio: 0.2, retry_slack: 100, retry_window: 10s, revoke_within: 5s, stall: 2s}
retries: {backoff: 10ms, budget_per_second: 10, budget_ratio: 0.1, max_attempts: 3}
snapshots: {every_bytes: 64MiB, every_entries: 10000, keep: 2, replay_within: 500ms}
tls: {plain_text: loopback-only}
backend_servers: {proof: not-required}
";

/// Keys with another value than their default, where a renamed key would look like the default.
const OTHERS: &str = "data_folder: .
listen: {callers: 127.0.0.1:8080, operators: 127.0.0.1:8080, backend_servers: 127.0.0.1:8081, platform: 127.0.0.1:9090, peers: 127.0.0.1:7070, metrics: 127.0.0.1:9091}
discovery: {announce: 10.0.0.1:7070, peer_port: 7070, seeds: [10.0.0.2:7071]}
relay: {enabled: true}
logs: {level: warn, packages: {pollendrift: debug}}
tls: {plain_text: allowed}
backend_servers: {proof: required, token_sha256: ab34567890ab34567890ab34567890ab34567890ab34567890ab34567890abcd}
operators:
  - {name: mael, role: editor, token_sha256: [cd34567890ab34567890ab34567890ab34567890ab34567890ab34567890abcd]}
  - {name: anna, role: viewer, certificate: true}
host: brest-1
data_centre: brest
";

fn parse(text: &str) -> Result<(DaemonSettings, String), String> {
    let file: Arc<str> = "host.yaml".into();
    match DaemonSettings::parse(&file, PathBuf::from("/"), text) {
        Ok(loaded) => Ok((loaded.settings, loaded.warnings.to_string())),
        Err(findings) => Err(findings.to_string()),
    }
}

fn settings(text: &str) -> DaemonSettings {
    match parse(text) {
        Ok((settings, _)) => settings,
        Err(findings) => panic!("{findings}"),
    }
}

// Guards against a renamed key or changed default. A renamed key would make a daemon refuse the
// settings files of all hosts; a changed default would change the behaviour of hosts whose files omit
// it.
#[test]
fn every_key_is_accepted_and_written_defaults_change_nothing() {
    let without = format!("{SMALLEST}backend_servers: {{proof: not-required}}\n");
    let with = format!("{SMALLEST}{DEFAULTS}");
    let [without, with] = [without, with].map(|text| format!("{:?}", settings(&text)));
    assert_eq!(without, with);
}

// Guards against a renamed key in a section that differs between hosts, which would make a daemon
// refuse its settings file.
#[test]
fn keys_without_defaults_are_accepted() {
    let read = settings(OTHERS);
    assert_eq!(read.data_folder, Some(PathBuf::from("/.")));
    assert!(read.is_keeper());
    assert_eq!(read.discovery.peer_addresses()[0].port(), 7070);
}

/// Sections, and settings with an unknown key in each.
fn unknown_keys() -> Vec<(&'static str, String)> {
    let sections = [
        "agreement",
        "backend_servers",
        "claims",
        "discovery",
        "drain",
        "entry",
        "evidence",
        "leases",
        "limits",
        "listen",
        "logs",
        "placement",
        "relay",
        "retries",
        "snapshots",
        "tls",
    ];
    let lists = ["customers", "operators", "peers"];
    let sections = sections.map(|name| (name, format!("{name}: {{unknown: 1}}")));
    let lists = lists.map(|name| (name, format!("{name}: [{{unknown: 1}}]")));
    let top = ("the settings", "unknown: 1".to_owned());
    [top].into_iter().chain(sections).chain(lists).collect()
}

// Guards against a renamed, added or removed key, with which an operator's file would be refused.
#[test]
fn accepted_keys_of_every_section_stay() {
    let mut text = String::new();
    for (section, settings) in unknown_keys() {
        let findings = parse(&settings).expect_err("an unknown key");
        let about = format!("unknown key `unknown` in {section} (accepted: ");
        let keys = findings.split(&about).nth(1).expect("a finding");
        let keys = keys.split(')').next().unwrap_or_default();
        let _ = writeln!(text, "{section}: {keys}");
    }
    insta::assert_snapshot!(text);
}

/// `DEFAULTS` with values that are invalid for every key.
fn bad_values() -> String {
    let mut text = String::new();
    for line in DEFAULTS.lines() {
        let (section, keys) = line.split_once(": {").expect("a section");
        let _ = write!(text, "{section}: {{");
        for pair in keys.trim_end_matches('}').split(", ") {
            let (key, _) = pair.split_once(':').expect("a key");
            let _ = write!(text, "{key}: bad, ");
        }
        text.push_str("}\n");
    }
    text
}

// Guards against a finding that names a key that the operator can't find in the file.
#[test]
fn findings_about_values_name_their_keys() {
    let findings = parse(&bad_values()).expect_err("bad values");
    insta::assert_snapshot!(findings);
}
