//! Externally visible format of a running daemon's answers to operators and to the platform.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a helper that fails is a failed test"
)]

use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::Duration;

use http::{Method, Request, header};
use pollendrift::agreed::AgreedState;
use pollendrift::daemon::RouterDaemon;
use pollendrift::settings::{DaemonSettings, TokenDigest};
use pollendrift_coordination::base::Revision;
use pollendrift_http::HttpClient;
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, HostBuilder, OPERATOR_TOKEN, loopback};
use pollendrift_standins::service::PlainService;
use serde_json::{Value, json};

/// Timeout of every wait, longer than any wait of a passing run.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);
const VIEWER_TOKEN: &str = "viewer-token";
const SELECTORS: &str = "kind: selector\nname: drafts\nmodel: draft\n";

/// A running host with a keeper; the other host of its settings is not running.
struct OneHost {
    builder: HostBuilder,
    daemon: RouterDaemon,
    client: HttpClient,
    _folder: tempfile::TempDir,
}

impl OneHost {
    async fn start() -> Self {
        let digest = |token: &str| TokenDigest::of(token.as_bytes()).to_hex();
        let digests = (digest(CUSTOMER_TOKEN), digest(OPERATOR_TOKEN));
        let builder = HostBuilder::new(2, 1, digests.0, digests.1).expect("ports");
        let folder = tempfile::tempdir().expect("a folder");
        let viewer = format!(
            "  - {{name: anna, role: viewer, token_sha256: {}}}\nbackend_servers:",
            digest(VIEWER_TOKEN)
        );
        let text = builder.settings(0, folder.path());
        let text = text.replace("backend_servers: {proof", &format!("{viewer} {{proof"));
        let read = DaemonSettings::parse(&"test".into(), PathBuf::new(), &text);
        let settings = read.expect("settings").settings;
        let warnings = vec!["a warning".to_owned()];
        let daemon = RouterDaemon::start(&settings, warnings).await;
        let daemon = daemon.unwrap_or_else(|error| panic!("{error}"));
        Self {
            builder,
            daemon,
            client: HttpClient::new(1 << 22),
            _folder: folder,
        }
    }

    /// Waits until the host is ready with revision 1 in force.
    async fn wait_ready(&self) {
        self.wait(|| {
            let held = self.daemon.node().configuration();
            let held = held.map(|held| held.revision());
            held == Ok(Revision(1)) && self.daemon.unready_reason().is_none()
        })
        .await;
    }

    /// Waits until the host has a leader and an incarnation, so that it accepts changes.
    async fn wait_for_incarnation(&self) {
        self.wait(|| self.daemon.node().incarnation().is_some())
            .await;
    }

    async fn wait<F>(&self, condition: F)
    where
        F: Fn() -> bool,
    {
        let waiting = async {
            while !condition() {
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, waiting)
            .await
            .expect("in time");
    }

    fn entry(&self) -> String {
        self.builder.hosts()[0].entry.to_string()
    }

    async fn send(&self, address: &str, method: Method, path: &str, call: Call<'_>) -> Answer {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        if let Some(token) = call.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let body = bytes::Bytes::from(call.body.to_owned());
        let request = request.body(body.into()).expect("a request");
        let response = self.client.send(request).await.expect("an answer");
        let status = response.status().as_u16();
        let kind = response.headers().get(header::CONTENT_TYPE);
        let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or("none");
        let kind = kind.to_owned();
        let body = self.client.read(response).await.expect("a body");
        Answer {
            status,
            kind,
            body: String::from_utf8_lossy(&body).into_owned(),
        }
    }

    async fn ask(&self, path: &str) -> Answer {
        let call = Call {
            token: Some(OPERATOR_TOKEN),
            body: "",
        };
        let path = format!("/operator/v1/{path}");
        self.send(&self.entry(), Method::GET, &path, call).await
    }

    async fn post(&self, path: &str, body: &str) -> Answer {
        let call = Call {
            token: Some(OPERATOR_TOKEN),
            body,
        };
        let path = format!("/operator/v1/{path}");
        self.send(&self.entry(), Method::POST, &path, call).await
    }
}

struct Call<'call> {
    token: Option<&'call str>,
    body: &'call str,
}

struct Answer {
    status: u16,
    kind: String,
    body: String,
}

impl Answer {
    /// Status, content type and body, without the values that differ between runs.
    fn shape(&self) -> String {
        let lines = self.body.lines().map(|line| {
            serde_json::from_str(line).map_or_else(|_| line.to_owned(), |v| masked(&v).to_string())
        });
        let body = lines.collect::<Vec<_>>().join("\n  ");
        format!("{} {}\n  {body}\n", self.status, self.kind)
    }
}

/// `value` with numbers as 0, and texts that differ between runs as `...`.
fn masked(value: &Value) -> Value {
    match value {
        Value::Number(_) => json!(0),
        Value::String(text) if differs(text) => json!("..."),
        Value::Array(items) => items.iter().map(masked).collect(),
        Value::Object(fields) => {
            let fields = fields.iter();
            fields.map(|(k, v)| (k.clone(), masked(v))).collect()
        }
        other => other.clone(),
    }
}

/// Whether a text contains an address, an incarnation or a digest.
fn differs(text: &str) -> bool {
    let hex = text.len() >= 32 && text.chars().all(|letter| letter.is_ascii_hexdigit());
    hex || text.contains("127.0.0.1:") || text.contains('#')
}

/// Selectors are put in force, with each answer that a change can get.
async fn changes(host: &OneHost) -> String {
    let body = |id: &str, based_on: u64, text: &str| {
        json!({"change_id": id, "based_on": based_on, "text": text}).to_string()
    };
    let calls = [
        body("c1", 0, SELECTORS),
        body("c2", 0, "kind: selector\nname: drafts\nservice: p\n"),
        body("c1", 1, SELECTORS),
        body("c3", 1, "kind: x\n"),
        "{}".to_owned(),
    ];
    let mut text = String::new();
    for call in calls {
        let answer = host.post("changes", &call).await;
        let _ = write!(text, "{call}\n{}", answer.shape());
    }
    text
}

// Guards against a renamed field of a change or of its answer, with which operators' tools could not
// change the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn changes_and_questions_keep_their_bodies() {
    let host = OneHost::start().await;
    host.wait_for_incarnation().await;
    let mut text = changes(&host).await;
    host.wait_ready().await;
    let explain = json!({"customer": "federation", "model": "draft", "adapter": "a", "service": null,
                         "path": "/x", "attributes": {"header.x": "1"}});
    let other = json!({"customer": "federation", "service": "portal"});
    for body in [explain, other] {
        let answer = host.post("explain", &body.to_string()).await;
        let _ = write!(text, "explain {body}\n{}", answer.shape());
    }
    let paths = [
        "configuration",
        "configuration?revision=1",
        "history?before=9&limit=1",
        "in-force",
        "in-force?at=9999999999999",
        "in-force?at=0",
    ];
    for path in paths {
        let _ = write!(text, "{path}\n{}", host.ask(path).await.shape());
    }
    insta::assert_snapshot!(text);
}

// Guards against a renamed field of a refusal, or another status, which would make tools treat a
// change that ran as not run.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_to_operators_keep_their_form() {
    let host = OneHost::start().await;
    host.wait_for_incarnation().await;
    changes(&host).await;
    host.wait_ready().await;
    let editor = Some(OPERATOR_TOKEN);
    let calls = [
        (Method::GET, "status", None, ""),
        (Method::POST, "changes", Some(VIEWER_TOKEN), "{}"),
        (Method::GET, "absent", editor, ""),
        (Method::DELETE, "status", editor, ""),
        (Method::GET, "configuration?revision=99", editor, ""),
        (Method::GET, "history?limit=x", editor, ""),
        (Method::GET, "in-force?at=x", editor, ""),
        (Method::GET, "evidence?outcome=x", editor, ""),
        (Method::POST, "explain", editor, "{}"),
        (Method::POST, "explain", editor, "not JSON"),
    ];
    let mut text = String::new();
    for (method, path, token, body) in calls {
        let call = Call { token, body };
        let whole = format!("/operator/v1/{path}");
        let answer = host.send(&host.entry(), method.clone(), &whole, call).await;
        let _ = write!(text, "{method} {path} {body}\n{}", answer.shape());
    }
    insta::assert_snapshot!(text);
}

/// An engine and a service that announce themselves at `host`.
async fn servers(host: &OneHost) -> (EngineServer, PlainService) {
    let entries = vec![host.entry()];
    let offer = mixed_engines(&ModelShape::default(), 8)
        .into_iter()
        .next()
        .expect("an offer");
    let server = "engine-0".to_owned();
    let settings = EngineSettings { server, offer };
    let mut engine = EngineServer::start(settings, loopback())
        .await
        .expect("starts");
    engine.announce(entries.clone(), 1, "dc-a");
    let service = PlainService::start("portal-1", "portal", loopback()).await;
    let mut service = service.expect("starts");
    service.announce(entries, 1, "dc-a");
    (engine, service)
}

/// Waits until the status contains the reason why the other host is unreachable.
async fn wait_peer_error(host: &OneHost) {
    let waiting = async {
        loop {
            let answer = host.ask("status").await;
            let status: Value = serde_json::from_str(&answer.body).expect("JSON");
            if status["peers"][0]["last_error"].is_string() {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, waiting)
        .await
        .expect("in time");
}

async fn dump(host: &OneHost, count: usize) -> Answer {
    let waiting = async {
        loop {
            let answer = host.ask("dump").await;
            let dump: Value = serde_json::from_str(&answer.body).expect("JSON");
            let servers = dump["backend_servers"].as_array().map_or(0, Vec::len);
            let engines = dump["routing"]["engines"].as_array().map_or(0, Vec::len);
            if servers == count && engines == 1 && dump["keeper"]["redundancy"].is_object() {
                return answer;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, waiting)
        .await
        .expect("in time")
}

/// The record of the change, which is written to the keeper's files shortly after the change.
async fn change_record(host: &OneHost) -> Value {
    let is_change = |record: &Value| record["event"]["kind"] == "configuration-changed";
    let waiting = async {
        loop {
            let answer = host.ask("evidence?limit=1000").await;
            let list: Value = serde_json::from_str(&answer.body).expect("JSON");
            let records = list["records"].as_array().expect("records");
            if let Some(record) = records.iter().find(|record| is_change(record)) {
                let mut record = masked(record);
                // Empty if the host had already applied the change when it recorded it.
                let touched = &mut record["event"]["detail"]["touched"];
                assert!(touched.is_array(), "{touched}");
                *touched = json!([]);
                return record;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, waiting)
        .await
        .expect("in time")
}

// Guards against a renamed field of the dump, the status or the evidence, which operators' scripts
// and auditors would miss.
#[tokio::test(flavor = "multi_thread")]
async fn dump_status_and_evidence_keep_their_fields() {
    let host = OneHost::start().await;
    host.wait_for_incarnation().await;
    let first = json!({"change_id": "c1", "based_on": 0, "text": SELECTORS}).to_string();
    let answer = host.post("changes", &first).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    host.wait_ready().await;
    let _servers = servers(&host).await;
    wait_peer_error(&host).await;
    let mut text = format!("dump\n{}", dump(&host, 2).await.shape());
    for path in [
        "status",
        "evidence?request=r1&customer=c&from=1&until=2&outcome=complete&selector=s",
        "evidence/requests/r1",
    ] {
        let _ = write!(text, "{path}\n{}", host.ask(path).await.shape());
    }
    let _ = writeln!(text, "record\n  {}", change_record(&host).await);
    insta::assert_snapshot!(text);
}

// Guards against a renamed path, which would make the supervisor of the machines consider a healthy
// host failed.
#[tokio::test(flavor = "multi_thread")]
async fn paths_of_the_platform_face_stay() {
    let host = OneHost::start().await;
    let platform = host.builder.hosts()[0].platform.to_string();
    host.wait_for_incarnation().await;
    changes(&host).await;
    host.wait_ready().await;
    let calls = [
        (Method::GET, "/healthz"),
        (Method::GET, "/readyz"),
        (Method::GET, "/other"),
        (Method::POST, "/healthz"),
    ];
    let mut text = String::new();
    for (method, path) in calls {
        let call = Call {
            token: None,
            body: "",
        };
        let answer = host.send(&platform, method.clone(), path, call).await;
        let _ = write!(text, "{method} {path}\n{}", answer.shape());
    }
    insta::assert_snapshot!(text);
}
