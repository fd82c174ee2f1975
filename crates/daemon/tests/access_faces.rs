//! Tests of access control: wrong credentials, expired certificates and certificates with other
//! names are refused.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use http::{HeaderMap, HeaderValue};
use pollendrift::access::{
    AccessControl, CertificateRequest, FaceKind, FaceStream, KeyFolder, Validity,
};
use pollendrift::settings::{DaemonSettings, KeyFiles, TokenDigest};
use pollendrift_coordination::base::{HostName, WallTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const YEAR: u64 = 365 * 86_400_000;
const VALID: Validity = Validity {
    from: WallTime(30 * YEAR),
    until: WallTime(130 * YEAR),
};
const EXPIRED: Validity = Validity {
    from: WallTime(30 * YEAR),
    until: WallTime(31 * YEAR),
};
const NOT_YET_VALID: Validity = Validity {
    from: WallTime(120 * YEAR),
    until: WallTime(130 * YEAR),
};

fn settings() -> DaemonSettings {
    let digest = |token: &str| TokenDigest::of(token.as_bytes()).to_hex();
    let text = format!(
        "host: brest-1
data_centre: brest
listen: {{callers: 127.0.0.1:0, operators: 127.0.0.1:0, backend_servers: 127.0.0.1:0, platform: 127.0.0.1:0, peers: 127.0.0.1:0}}
peers: [{{name: brest-1, data_centre: brest, address: 127.0.0.1:7070}}, {{name: brest-2, data_centre: brest, address: 127.0.0.2:7070, keeper: true}}]
customers:
  - {{name: ponant, token_sha256: [{}, {}]}}
operators:
  - {{name: mael, role: editor, token_sha256: {}}}
  - {{name: nolwenn, role: viewer, certificate: true}}
backend_servers: {{token_sha256: {}}}
",
        digest("ponant-old"),
        digest("ponant-new"),
        digest("mael-token"),
        digest("engine-token"),
    );
    let file: Arc<str> = "host.yaml".into();
    DaemonSettings::parse(&file, PathBuf::new(), &text)
        .unwrap()
        .settings
}

fn control_with(files: KeyFiles) -> AccessControl {
    let mut settings = settings();
    settings.tls.files = Some(files);
    AccessControl::new(&settings).unwrap()
}

fn issue(folder: &Path, name: &str, validity: Validity) -> KeyFiles {
    let request = CertificateRequest::Host {
        name: name.into(),
        addresses: vec!["127.0.0.1".parse().unwrap()],
    };
    let authority = KeyFolder::open(folder, VALID).unwrap();
    authority.issue(&request, validity).unwrap()
}

fn issue_operator(folder: &Path, name: &str) -> KeyFiles {
    let request = CertificateRequest::Operator { name: name.into() };
    let authority = KeyFolder::open(folder, VALID).unwrap();
    authority.issue(&request, VALID).unwrap()
}

fn bearer(value: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(http::header::AUTHORIZATION, HeaderValue::from_static(value));
    headers
}

async fn tcp_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    (client, listener.accept().await.unwrap().0)
}

/// Connects `client` to `server` and returns the outcome at the client and at the server.
async fn connect_ends(
    client: &AccessControl,
    server: &AccessControl,
    face: FaceKind,
) -> [String; 2] {
    let (client_end, server_end) = tcp_pair().await;
    let brest: HostName = "brest-1".into();
    let calling = async {
        let mut stream = client
            .connect(&brest, client_end)
            .await
            .map_err(|error| error.to_string())?;
        // In TLS 1.3 the client sees the refusal of its certificate only when it reads.
        let exchange = async {
            stream.write_all(b"hello").await?;
            stream.read_u8().await
        };
        exchange.await.map_err(|error| error.to_string())
    };
    let serving = async {
        let mut stream = server
            .accept(face, server_end)
            .await
            .map_err(|error| error.to_string())?;
        let caller = "brest-2".into();
        server
            .check_peer(&stream, &caller)
            .map_err(|error| error.to_string())?;
        stream
            .write_all(b"!")
            .await
            .map_err(|error| error.to_string())?;
        stream.flush().await.map_err(|error| error.to_string())
    };
    let (called, served) = tokio::join!(calling, serving);
    [outcome(called), outcome(served)]
}

/// Formats a result without the parts that depend on the clock or the order of packets: a refusal
/// arrives as an alert, a reset or the end of the stream.
fn outcome<T>(result: Result<T, String>) -> String {
    let Err(error) = result else {
        return "accepted".into();
    };
    if error.contains("invalid peer certificate") || error.starts_with("the certificate") {
        let cause = error.split(": verification time").next();
        return cause.unwrap_or(&error).to_owned();
    }
    "refused by the other side".into()
}

// Guards against a process that impersonates a host. A process connects to the peers' face of
// brest-1 as brest-2; the server accepts only a valid certificate of brest-2 by its authority, and
// the client accepts only such a certificate of brest-1.
#[tokio::test]
async fn peers_are_accepted_only_with_a_valid_certificate_of_their_name() {
    let folder = tempfile::tempdir().unwrap();
    let other = tempfile::tempdir().unwrap();
    let issue_in =
        |name: &str, host: &str, validity| issue(&folder.path().join(name), host, validity);
    // Copies the same authority into each folder.
    let copy_authority = |name: &str| {
        let source = folder.path().join("first");
        KeyFolder::open(&source, VALID).unwrap();
        let target = folder.path().join(name);
        std::fs::create_dir_all(&target).unwrap();
        for file in ["authority.pem", "authority.key"] {
            std::fs::copy(source.join(file), target.join(file)).unwrap();
        }
    };
    for name in ["valid", "expired", "early", "foreign", "operator"] {
        copy_authority(name);
    }
    let server = control_with(issue_in("valid", "brest-1", VALID));
    let client = control_with(issue_in("valid", "brest-2", VALID));
    let table = [
        ("brest-2 itself", &client, &server),
        (
            "expired",
            &control_with(issue_in("expired", "brest-2", EXPIRED)),
            &server,
        ),
        (
            "not yet valid",
            &control_with(issue_in("early", "brest-2", NOT_YET_VALID)),
            &server,
        ),
        (
            "another host",
            &control_with(issue_in("foreign", "brest-3", VALID)),
            &server,
        ),
        (
            "operator named like a host",
            &control_with(issue_operator(&folder.path().join("operator"), "brest-2")),
            &server,
        ),
        (
            "another authority",
            &control_with(issue(other.path(), "brest-2", VALID)),
            &server,
        ),
        (
            "server expired",
            &client,
            &control_with(issue_in("expired", "brest-1", EXPIRED)),
        ),
        (
            "server is another host",
            &client,
            &control_with(issue_in("foreign", "brest-9", VALID)),
        ),
        (
            "server of another authority",
            &client,
            &control_with(issue(other.path(), "brest-1", VALID)),
        ),
    ];
    let mut lines = Vec::new();
    for (name, client, server) in table {
        let [called, served] = connect_ends(client, server, FaceKind::Peers).await;
        lines.push(format!("{name}\n  client: {called}\n  server: {served}"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
    brest-2 itself
      client: accepted
      server: accepted
    expired
      client: refused by the other side
      server: TLS handshake: invalid peer certificate: certificate expired
    not yet valid
      client: refused by the other side
      server: TLS handshake: invalid peer certificate: certificate not valid yet
    another host
      client: refused by the other side
      server: the certificate is not that of host brest-2
    operator named like a host
      client: refused by the other side
      server: the certificate is not that of host brest-2
    another authority
      client: TLS handshake: invalid peer certificate: BadSignature
      server: refused by the other side
    server expired
      client: TLS handshake: invalid peer certificate: certificate expired
      server: refused by the other side
    server is another host
      client: TLS handshake: invalid peer certificate: certificate not valid for name "brest-1.hosts.pollendrift"; certificate is only valid for DnsName("brest-9.hosts.pollendrift") or IpAddress(127.0.0.1)
      server: refused by the other side
    server of another authority
      client: TLS handshake: invalid peer certificate: BadSignature
      server: refused by the other side
    "#);
}

// Guards against requests in plain text on a TLS face, and against clients that hold a connection
// open without a handshake.
#[tokio::test]
async fn a_tls_face_refuses_plain_text_and_silent_clients() {
    let folder = tempfile::tempdir().unwrap();
    let mut settings = settings();
    settings.tls.files = Some(issue(folder.path(), "brest-1", VALID));
    settings.entry.head_timeout = Duration::from_millis(20);
    let server = AccessControl::new(&settings).unwrap();
    let mut lines = Vec::new();
    for (name, bytes) in [
        ("plain text", &b"GET / HTTP/1.1\r\n\r\n"[..]),
        ("silence", b""),
    ] {
        let (mut client, server_end) = tcp_pair().await;
        client.write_all(bytes).await.unwrap();
        let refused = server.accept(FaceKind::Callers, server_end).await;
        lines.push(format!("{name}: {}", refused.unwrap_err()));
    }
    insta::assert_snapshot!(lines.join("\n"), @"
    plain text: TLS handshake: received corrupt message of type InvalidContentType
    silence: TLS handshake took longer than 20ms
    ");
}

// Guards against a certificate that admits an operator for whom the settings do not allow it, or
// that is accepted despite a wrong token.
#[tokio::test]
async fn operators_authenticate_by_token_or_by_certificate() {
    let folder = tempfile::tempdir().unwrap();
    let server = control_with(issue(folder.path(), "brest-1", VALID));
    let mut lines = Vec::new();
    for name in ["nolwenn", "mael", "brest-1"] {
        let client = control_with(issue_operator(folder.path(), name));
        let (client_end, server_end) = tcp_pair().await;
        let brest: HostName = "brest-1".into();
        let (called, served) = tokio::join!(
            client.connect(&brest, client_end),
            server.accept(FaceKind::Operators, server_end)
        );
        let certificate = served.unwrap().certificate();
        drop(called);
        for (with, headers) in [
            ("no token", HeaderMap::new()),
            ("a wrong token", bearer("Bearer wrong")),
            ("mael's token", bearer("Bearer mael-token")),
        ] {
            let operator = server.operator(&headers, certificate.as_ref());
            let found = operator.map(|operator| format!("{} {:?}", operator.name, operator.role));
            lines.push(format!("certificate of {name}, {with}: {found:?}"));
        }
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
    certificate of nolwenn, no token: Some("nolwenn Viewer")
    certificate of nolwenn, a wrong token: None
    certificate of nolwenn, mael's token: Some("mael Editor")
    certificate of mael, no token: None
    certificate of mael, a wrong token: None
    certificate of mael, mael's token: Some("mael Editor")
    certificate of brest-1, no token: None
    certificate of brest-1, a wrong token: None
    certificate of brest-1, mael's token: Some("mael Editor")
    "#);
}

// Guards against a token that is accepted for another type of party, and against malformed or
// repeated headers that authenticate anyone.
#[test]
fn a_token_identifies_one_party_and_other_headers_identify_none() {
    let control = AccessControl::new(&settings()).unwrap();
    let mut twice = bearer("Bearer ponant-new");
    twice.append(
        http::header::AUTHORIZATION,
        HeaderValue::from_static("Bearer mael-token"),
    );
    let long = HeaderValue::from_str(&format!("Bearer {}", "x".repeat(5_000))).unwrap();
    let mut long_headers = HeaderMap::new();
    long_headers.insert(http::header::AUTHORIZATION, long);
    let table = [
        ("customer's token", bearer("Bearer ponant-new")),
        ("customer's older token", bearer("bearer ponant-old")),
        ("operator's token", bearer("Bearer mael-token")),
        ("backend server's token", bearer("Bearer engine-token")),
        ("wrong token", bearer("Bearer ponant")),
        ("token with a tail", bearer("Bearer ponant-new ")),
        ("empty token", bearer("Bearer ")),
        ("another scheme", bearer("Basic ponant-new")),
        ("no header", HeaderMap::new()),
        ("two headers", twice),
        ("very long", long_headers),
    ];
    let lines = table.map(|(name, headers)| {
        let customer = control.customer(&headers).map(|name| name.to_string());
        let operator = control
            .operator(&headers, None)
            .map(|operator| operator.name.to_string());
        let backend = control.admits_backend_server(&headers);
        format!("{name}: customer {customer:?}, operator {operator:?}, backend {backend}")
    });
    insta::assert_snapshot!(lines.join("\n"), @r#"
    customer's token: customer Some("ponant"), operator None, backend false
    customer's older token: customer Some("ponant"), operator None, backend false
    operator's token: customer None, operator Some("mael"), backend false
    backend server's token: customer None, operator None, backend true
    wrong token: customer None, operator None, backend false
    token with a tail: customer None, operator None, backend false
    empty token: customer None, operator None, backend false
    another scheme: customer None, operator None, backend false
    no header: customer None, operator None, backend false
    two headers: customer None, operator None, backend false
    very long: customer None, operator None, backend false
    "#);
}

// Guards against an outage while key files are replaced one by one: as long as only the certificate
// is new and does not match the key, the server must continue with the former pair.
#[tokio::test]
async fn changed_keys_are_loaded_and_unusable_keys_are_not() {
    let folder = tempfile::tempdir().unwrap();
    let files = issue(folder.path(), "brest-1", VALID);
    let server = control_with(files.clone());
    let client = control_with(issue(folder.path(), "brest-2", VALID));
    let mut lines = vec![format!("unchanged: {:?}", server.refresh_keys().ok())];
    let renewed = issue(folder.path(), "brest-9", VALID);
    let replace = |from: &PathBuf, to: &PathBuf, seconds: u64| {
        std::fs::copy(from, to).unwrap();
        let time = SystemTime::UNIX_EPOCH + Duration::from_secs(4_000_000_000 + seconds);
        std::fs::File::options()
            .append(true)
            .open(to)
            .unwrap()
            .set_modified(time)
            .unwrap();
    };
    replace(&renewed.certificate, &files.certificate, 1);
    lines.push(format!(
        "only certificate replaced: {}",
        server.refresh_keys().is_err()
    ));
    lines.push(format!(
        "status: {}",
        server.status().refused.contains("brest-1.key")
    ));
    lines.push(format!(
        "client: {}",
        connect_ends(&client, &server, FaceKind::Peers).await[0]
    ));
    replace(&renewed.key, &files.key, 2);
    lines.push(format!("both replaced: {:?}", server.refresh_keys().ok()));
    lines.push(format!(
        "client: {}",
        connect_ends(&client, &server, FaceKind::Peers).await[0]
    ));
    lines.push(format!("{:?}", server.status()));
    insta::assert_snapshot!(lines.join("\n"), @r#"
    unchanged: Some(false)
    only certificate replaced: true
    status: true
    client: accepted
    both replaced: Some(true)
    client: TLS handshake: invalid peer certificate: certificate not valid for name "brest-1.hosts.pollendrift"; certificate is only valid for DnsName("brest-9.hosts.pollendrift") or IpAddress(127.0.0.1)
    AccessStatus { tls: true, generation: 2, refused: "" }
    "#);
}

// Guards against a partial reload: new customers must not become current if the key files are
// unusable.
#[test]
fn a_reload_replaces_everything_or_nothing() {
    let control = AccessControl::new(&settings()).unwrap();
    let mut changed = settings();
    changed.customers.clear();
    changed.tls.files = Some(KeyFiles {
        certificate: "/nonexistent/a.pem".into(),
        key: "/nonexistent/a.key".into(),
        authority: "/nonexistent/authority.pem".into(),
    });
    let is_known = || control.customer(&bearer("Bearer ponant-new")).is_some();
    assert!(control.reload(&changed).is_err());
    assert!(is_known());
    changed.tls.files = None;
    assert!(control.reload(&changed).is_ok());
    assert!(!is_known());
}

// Guards against private keys that other users can read, and against the loss of a key in use.
#[test]
fn key_files_are_readable_by_their_owner_only_and_never_overwritten() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().unwrap();
    let files = issue(folder.path(), "brest-1", VALID);
    let mode = std::fs::metadata(&files.key).unwrap().permissions().mode();
    assert_eq!(mode & 0o077, 0);
    let before = std::fs::read(&files.key).unwrap();
    let request = CertificateRequest::Host {
        name: "brest-1".into(),
        addresses: Vec::new(),
    };
    let again = KeyFolder::open(folder.path(), VALID)
        .unwrap()
        .issue(&request, VALID);
    assert!(again.is_err());
    assert_eq!(std::fs::read(&files.key).unwrap(), before);
}

// Guards against a handshake on a host whose settings contain no keys.
#[tokio::test]
async fn a_face_without_keys_uses_plain_text() {
    let control = AccessControl::new(&settings()).unwrap();
    let (_client, server_end) = tcp_pair().await;
    let stream = control.accept(FaceKind::Peers, server_end).await.unwrap();
    assert!(matches!(stream, FaceStream::Plain(_)));
    assert!(!control.status().tls);
}
