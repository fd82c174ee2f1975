//! Answers whose head is cut at every offset, on each kind of connection of the clients.

#![allow(clippy::expect_used, reason = "a failed helper fails its test")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use pollendrift_http::{ClientError, ConnectionPool, HttpClient, LineReader, PoolSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Body of the whole answers.
const BODY: &str = "whole\n";

/// Heads of answers by the framing of their body, interim ones before them included.
const HEADS: [(&str, &str); 5] = [
    (
        "length",
        "HTTP/1.1 200 OK\r\nserver-signature: s-1\r\ncontent-length: 6\r\n\r\n",
    ),
    (
        "chunked",
        "HTTP/1.1 200 OK\r\nserver-signature: s-1\r\ntransfer-encoding: chunked\r\n\r\n",
    ),
    (
        "unframed",
        "HTTP/1.1 200 OK\r\nserver-signature: s-1\r\nconnection: close\r\n\r\n",
    ),
    (
        "continue",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n",
    ),
    (
        "early hints",
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n",
    ),
];

/// How a connection ends behind a cut head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutEnd {
    Closed,
    Reset,
}

/// What the server sends on each connection, one entry for each request.
type Script = Arc<Mutex<Vec<(Vec<u8>, Option<CutEnd>)>>>;

/// Starts a server that takes its answers from `script`, on any number of connections.
async fn start_server(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&script)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, script: Script) {
    let mut received = Vec::new();
    let mut buffer = [0; 1_024];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        received.extend_from_slice(&buffer[..length]);
        if !received.ends_with(b"\r\n\r\n") {
            continue;
        }
        received.clear();
        let (bytes, end) = script.lock().expect("unpoisoned").remove(0);
        // The client may have closed the connection behind wrong bytes.
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        match end {
            None => {}
            Some(CutEnd::Closed) => return,
            Some(CutEnd::Reset) => {
                // Until the bytes have been read, which a reset could overtake.
                tokio::time::sleep(Duration::from_millis(1)).await;
                stream.set_zero_linger().expect("a socket");
                return;
            }
        }
    }
}

/// Reads an answer whole; its text, or the error of its head or its body.
async fn pooled_call(pool: &ConnectionPool, address: SocketAddr) -> Result<String, String> {
    let answer = pool.send(address, Request::new(Full::new(Bytes::new())));
    let answer = answer.await.map_err(|error| match error {
        ClientError::NotSent { .. } => "not sent".to_owned(),
        ClientError::NoAnswer { .. } | ClientError::BadAnswer { .. } => "no answer".to_owned(),
    })?;
    let (head, mut body) = answer.into_parts();
    let bytes = (&mut body).collect().await;
    let bytes = bytes.map_err(|_| "cut body".to_owned())?;
    body.return_to_pool(&head.headers);
    Ok(format!(
        "{} {}",
        head.status.as_u16(),
        String::from_utf8_lossy(&bytes.to_bytes())
    ))
}

fn whole_answer() -> (Vec<u8>, Option<CutEnd>) {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n";
    ((head.to_owned() + BODY).into_bytes(), None)
}

/// Cut heads of all framings, at every offset and with both ends: name, bytes and end.
fn cut_heads() -> Vec<(String, Vec<u8>, CutEnd)> {
    let mut cuts = Vec::new();
    for (framing, head) in HEADS {
        for offset in 0..head.len() {
            for end in [CutEnd::Closed, CutEnd::Reset] {
                let bytes = head.as_bytes()[..offset].to_vec();
                cuts.push((format!("{framing} at {offset}, {end:?}"), bytes, end));
            }
        }
    }
    cuts
}

// Guards against an answer whose head was cut and that counts as whole and empty, on a new connection
// and on one that has served a request. The next request gets its own answer.
#[tokio::test]
async fn a_cut_head_is_no_answer_on_a_pooled_connection() {
    let script = Script::default();
    let address = start_server(Arc::clone(&script)).await;
    for (cut, bytes, end) in cut_heads() {
        for is_kept in [false, true] {
            let pool = ConnectionPool::new(PoolSettings::default(), || Duration::ZERO);
            let mut answers = vec![(bytes.clone(), Some(end)), whole_answer()];
            if is_kept {
                answers.insert(0, whole_answer());
            }
            *script.lock().expect("unpoisoned") = answers;
            let whole = Ok("200 whole\n".to_owned());
            if is_kept {
                assert_eq!(pooled_call(&pool, address).await, whole);
            }
            let answer = pooled_call(&pool, address).await;
            assert_eq!(answer, Err("no answer".to_owned()), "{cut}, kept {is_kept}");
            let next = pooled_call(&pool, address).await;
            assert_eq!(next, whole, "behind {cut}, kept {is_kept}");
        }
    }
}

/// Length of the part of a head that shows that an answer begins: its status line up to the status.
const STATUS_LINE_START: usize = 12;

// Guards against the part of a head behind a whole answer that becomes a part of the next answer on the
// same connection. That request may fail; it never gets another answer than its own. A part that does
// not show that an answer begins may belong to the body, whose length is too small then.
#[tokio::test]
async fn a_part_of_a_head_behind_an_answer_changes_no_other_answer() {
    let script = Script::default();
    let address = start_server(Arc::clone(&script)).await;
    let failure = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 6\r\n\r\nfailed";
    for (cut, mut extra, _) in cut_heads() {
        let pool = ConnectionPool::new(PoolSettings::default(), || Duration::ZERO);
        let (mut first, _) = whole_answer();
        let is_whole = extra.is_empty() || extra.len() >= STATUS_LINE_START;
        first.append(&mut extra);
        let second = (failure.as_bytes().to_vec(), None);
        *script.lock().expect("unpoisoned") = vec![(first, None), second];
        let expected = if is_whole {
            Ok("200 whole\n".to_owned())
        } else {
            Err("cut body".to_owned())
        };
        assert_eq!(pooled_call(&pool, address).await, expected, "{cut}");
        let next = pooled_call(&pool, address).await;
        let is_own = next == Ok("500 failed".to_owned()) || next.is_err();
        assert!(is_own, "behind {cut}: {next:?}");
    }
}

// Guards against a cut head that counts as an answer at the client of our own interfaces, whole and line
// by line.
#[tokio::test]
async fn a_cut_head_is_no_answer_of_the_client() {
    let script = Script::default();
    let address = start_server(Arc::clone(&script)).await;
    let client = HttpClient::new(1_024);
    let uri = format!("http://{address}/");
    for (cut, bytes, end) in cut_heads() {
        *script.lock().expect("unpoisoned") =
            vec![whole_answer(), (bytes, Some(end)), whole_answer()];
        let request = || {
            let request = Request::get(uri.as_str()).body(Full::new(Bytes::new()));
            request.expect("a request")
        };
        let first = client.send(request()).await.expect("a whole answer");
        assert_eq!(client.read(first).await.as_deref(), Ok(BODY.as_bytes()));
        let answer = client.send(request()).await.map(|answer| answer.status());
        assert!(
            matches!(answer, Err(ClientError::NoAnswer { .. })),
            "{cut}: {answer:?}"
        );
        let next = client.send(request()).await.expect("a whole answer");
        let mut lines = LineReader::new(next);
        let line = lines.next_line().await.expect("a line");
        assert_eq!(line.as_deref(), Some(&b"whole"[..]), "behind {cut}");
        assert_eq!(lines.next_line().await, Ok(None), "behind {cut}");
    }
}
