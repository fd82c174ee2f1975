//! Tests that malformed input is refused with a clear answer and does not stop the host.

use std::net::SocketAddr;
use std::time::Duration;

use pollendrift_standins::harness::{CUSTOMER_TOKEN, OPERATOR_TOKEN};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::HostGroup;

/// Longest wait for an answer; only a failing test waits that long.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Low limits, so that each input reaches its limit quickly.
const LOW_LIMITS: &str = "entry: {max_header_count: 16, max_header_bytes: 8KiB, \
                          max_body_bytes: 1MiB, head_timeout: 300ms, body_timeout: 300ms, \
                          max_connections_per_address: 24}\n";

/// One malformed request of an untrusted client.
struct BadInput {
    name: &'static str,
    bytes: Vec<u8>,
}

fn post(path: &str, token: &str, length: usize, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {token}\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

fn draft(body: &str) -> Vec<u8> {
    post("/v1/completions", CUSTOMER_TOKEN, body.len(), body)
}

fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n{headers}connection: close\r\n\r\n").into_bytes()
}

fn inputs() -> Vec<BadInput> {
    let input = |name, bytes| BadInput { name, bytes };
    let deep = "[".repeat(100_000);
    let many: String = (0..40).map(|n| format!("x-{n}: 1\r\n")).collect();
    let long = format!("x-long: {}\r\n", "a".repeat(20_000));
    let operator = format!("authorization: Bearer {OPERATOR_TOKEN}\r\n");
    let ten_megabytes = "a".repeat(10 << 20);
    vec![
        input("truncated JSON", draft("{\"model\":\"draft\",\"pro")),
        input("no JSON", draft("\u{0}\u{1}\u{2}")),
        input("another type", draft("{\"model\":7,\"prompt\":[]}")),
        input("deep nesting", draft(&deep)),
        input("10 MB body", draft(&ten_megabytes)),
        input(
            "body that never comes",
            post("/v1/completions", CUSTOMER_TOKEN, 100, "{"),
        ),
        input(
            "call whose body never comes",
            post("/services/portal/a", CUSTOMER_TOKEN, 9, ""),
        ),
        input(
            "change whose body never comes",
            post("/operator/v1/changes", OPERATOR_TOKEN, 9, ""),
        ),
        input(
            "change that is not JSON",
            post("/operator/v1/changes", OPERATOR_TOKEN, 2, "{]"),
        ),
        input(
            "announcement that is not JSON",
            post("/backend/v1/announcements", "", 2, "{]"),
        ),
        input(
            "head that never ends",
            b"GET /v1/completions HTTP/1.1\r\nhost".to_vec(),
        ),
        input(
            "no HTTP",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec(),
        ),
        input("too many headers", get("/v1/completions", &many)),
        input("too long a header", get("/v1/completions", &long)),
        input(
            "unknown path",
            get(
                "/nothing",
                &format!("authorization: Bearer {CUSTOMER_TOKEN}\r\n"),
            ),
        ),
        input(
            "query of nonsense",
            get("/operator/v1/evidence?limit=%ff&x=%%%", &operator),
        ),
        input(
            "negative revision",
            get("/operator/v1/configuration?revision=-1", &operator),
        ),
    ]
}

/// Sends `bytes` and returns the status with the start of the problem's detail, or `closed`.
async fn answer(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let (mut read, mut write) = stream.split();
    let mut seen = Vec::new();
    let exchange = async {
        // A host that refuses early closes the connection while the request is still being written.
        let sending = async { drop(write.write_all(bytes).await) };
        let reading = async { drop(read.read_to_end(&mut seen).await) };
        tokio::join!(sending, reading);
    };
    tokio::time::timeout(TIMEOUT, exchange).await.unwrap();
    let text = String::from_utf8_lossy(&seen).into_owned();
    let status = text.split(' ').nth(1).unwrap_or("closed").to_owned();
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let problem: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let detail = problem["detail"].as_str().unwrap_or(body).trim();
    let excerpt: String = detail.chars().take(90).collect();
    format!("{status} {excerpt}").trim().to_owned()
}

// Guards against malformed, oversized or incomplete input that gets an unclear answer or stops the
// host. A valid call afterwards must still be handled.
#[tokio::test(flavor = "multi_thread")]
async fn each_bad_input_gets_a_clear_answer() {
    let mut group = HostGroup::stopped(1, 1);
    group.add_settings(0, LOW_LIMITS);
    let group = group.start_all().await;
    let address = group.builder.hosts()[0].entry;
    let mut table = Vec::new();
    for input in inputs() {
        let seen = answer(address, &input.bytes).await;
        table.push(format!("{}: {seen}", input.name));
    }
    let good = get(
        "/services/portal/a",
        &format!("authorization: Bearer {CUSTOMER_TOKEN}\r\n"),
    );
    let after = answer(address, &good).await;
    table.push(format!("a good call afterwards: {after}"));
    insta::assert_snapshot!(table.join("\n"), @r"
    truncated JSON: 400 body is not valid JSON for this request: EOF while parsing a string at line 1 column 21
    no JSON: 400 body is not valid JSON for this request: expected value at line 1 column 1
    another type: 400 body is not valid JSON for this request: invalid type: integer `7`, expected a string at l
    deep nesting: 400 body is not valid JSON for this request: invalid type: sequence, expected a string at line
    10 MB body: 413 body is larger than 1048576 bytes
    body that never comes: 408 body did not come within 300 ms
    call whose body never comes: 408 body did not come within 300 ms
    change whose body never comes: 408 body did not come within 300 ms
    change that is not JSON: 400 body is not valid JSON for this request: key must be a string at line 1 column 2
    announcement that is not JSON: 400 body is not valid JSON for this request: key must be a string at line 1 column 2
    head that never ends: closed
    no HTTP: 400
    too many headers: 431
    too long a header: 431
    unknown path: 404 `/nothing` is no path of this router; /v1/completions, /v1/chat/completions and /services/
    query of nonsense: 400 `limit`: `�` is no number that fits
    negative revision: 400 `revision`: `-1` is no number that fits
    a good call afterwards: 503 no backend server offers service portal now
    ");
}

// Guards against idle connections that block other callers. An untrusted client opens connections
// and sends nothing: those above the limit are closed immediately, the others after the head
// timeout. The next caller is then served.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_limited_in_number_and_time() {
    let mut group = HostGroup::stopped(1, 1);
    group.add_settings(0, LOW_LIMITS);
    let group = group.start_all().await;
    let address = group.builder.hosts()[0].entry;
    let mut idle = Vec::new();
    for _ in 0..40 {
        idle.push(TcpStream::connect(address).await.unwrap());
    }
    let mut closed = 0;
    for mut stream in idle {
        let mut byte = [0];
        let read = tokio::time::timeout(TIMEOUT, stream.read(&mut byte)).await;
        closed += usize::from(read.is_ok_and(|read| !matches!(read, Ok(1..))));
    }
    assert_eq!(closed, 40);
    let good = get(
        "/services/portal/a",
        &format!("authorization: Bearer {CUSTOMER_TOKEN}\r\n"),
    );
    assert!(answer(address, &good).await.starts_with("503"));
}
