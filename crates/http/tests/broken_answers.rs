//! Answers that break the rules of HTTP, at each client of the crate.

#![allow(clippy::expect_used, reason = "a failed helper fails its test")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use pollendrift_http::{ConnectionPool, HttpClient, LineReader, PoolSettings, send_once};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time for an answer whose request is not read to its end.
const EARLY_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Bytes that the server sends for the next request.
type NextAnswer = Arc<Mutex<Vec<u8>>>;

/// Starts a server that sends `next` once it has read the head of a request, on any number of connections,
/// and reads no body.
async fn start_server(next: NextAnswer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&next)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, next: NextAnswer) {
    let mut head = Vec::new();
    let mut byte = [0];
    while stream.read_exact(&mut byte).await.is_ok() {
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
            let has_body = String::from_utf8_lossy(&head).contains("content-length: 32");
            head.clear();
            let answer = next.lock().expect("unpoisoned").clone();
            if stream.write_all(&answer).await.is_err() {
                return;
            }
            if has_body {
                // Leaves the rest of the request unread, and the connection open.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Ways to read an answer.
#[derive(Clone, Copy, Debug)]
enum Reader {
    Pool,
    Client,
    Lines,
    Once,
}

const READERS: [Reader; 4] = [Reader::Pool, Reader::Client, Reader::Lines, Reader::Once];

/// Sends a request and reads its answer; the body, or nothing if it is known not to be whole.
async fn read(reader: Reader, address: SocketAddr, body: Bytes) -> Option<Bytes> {
    let request = Request::post(format!("http://{address}/"));
    let request = request.body(Full::new(body)).expect("a request");
    match reader {
        Reader::Pool => {
            let pool = ConnectionPool::new(PoolSettings::default(), || Duration::ZERO);
            let answer = pool.send(address, request).await.ok()?;
            Some(answer.into_body().collect().await.ok()?.to_bytes())
        }
        Reader::Client => {
            let client = HttpClient::new(1 << 20);
            let answer = client.send(request).await.ok()?;
            client.read(answer).await.ok()
        }
        Reader::Lines => {
            let client = HttpClient::new(1 << 20);
            let mut lines = LineReader::new(client.send(request).await.ok()?);
            let mut text = Vec::new();
            while let Some(line) = lines.next_line().await.ok()? {
                text.extend_from_slice(&line);
                text.push(b'\n');
            }
            Some(text.into())
        }
        Reader::Once => {
            let stream = TcpStream::connect(address).await.expect("a server");
            let answer = send_once(Box::new(stream), request).await.ok()?;
            Some(answer.into_body().collect().await.ok()?.to_bytes())
        }
    }
}

fn answer(framing: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

// Guards against a body that is cut at a length that is too small, for bodies in one part and in many,
// on connections that stay open and on those that end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_cut_at_its_length_is_not_whole() {
    let next = NextAnswer::default();
    let address = start_server(Arc::clone(&next)).await;
    for length in [2, 100, 10_000, 400_000] {
        let body: Vec<u8> = b"x\n".iter().copied().cycle().take(length).collect();
        for missing in [2, length / 4 * 2, length] {
            for end in ["x-a: b", "connection: close"] {
                let framing = format!("{end}\r\ncontent-length: {}", length - missing);
                *next.lock().expect("unpoisoned") = answer(&framing, &body);
                for reader in READERS {
                    let read = read(reader, address, Bytes::new()).await;
                    let read = read.map(|read| read.len());
                    let expected = (missing == 0).then_some(length);
                    assert_eq!(read, expected, "{reader:?}, {framing}, {length} bytes");
                }
            }
        }
    }
}

// Guards against a body that counts as cut although it is whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_as_long_as_its_length_is_whole() {
    let next = NextAnswer::default();
    let address = start_server(Arc::clone(&next)).await;
    for length in [0, 2, 100, 10_000, 400_000] {
        let body: Vec<u8> = b"x\n".iter().copied().cycle().take(length).collect();
        for end in ["x-a: b", "connection: close"] {
            let framing = format!("{end}\r\ncontent-length: {length}");
            *next.lock().expect("unpoisoned") = answer(&framing, &body);
            for reader in READERS {
                let read = read(reader, address, Bytes::new()).await;
                assert_eq!(read.as_deref(), Some(&*body), "{reader:?}, {framing}");
            }
        }
    }
}

// Guards against an answer that is not given to its caller while its server does not read the rest of the
// request, and against a cut body behind such a request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_early_answer_does_not_wait_for_its_request() {
    let next = NextAnswer::default();
    let address = start_server(Arc::clone(&next)).await;
    // More than the sockets take while the server reads nothing.
    let request = Bytes::from(vec![0; 32_000_000]);
    for (length, expected) in [("6", Some(&b"whole\n"[..])), ("4", None)] {
        let framing = format!("content-length: {length}");
        *next.lock().expect("unpoisoned") = answer(&framing, b"whole\n");
        for reader in READERS {
            let reading = read(reader, address, request.clone());
            let read = timeout(EARLY_ANSWER_TIME, reading).await;
            let read = read.expect("an answer in time");
            assert_eq!(read.as_deref(), expected, "{reader:?}, {framing}");
        }
    }
}
