//! Which connections serve another request.

#![allow(clippy::expect_used, reason = "a helper that fails is a failed test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use pollendrift_http::{ClientError, ConnectionPool, PoolSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Milliseconds that the pool's clock shows.
static NOW: AtomicU64 = AtomicU64::new(0);

fn clock() -> Duration {
    Duration::from_millis(NOW.load(Ordering::SeqCst))
}

/// A server that answers every request with an empty body; counts its connections.
async fn start_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(answer(stream));
        }
    });
    (address, connections)
}

async fn answer(mut stream: TcpStream) {
    let mut heard = Vec::new();
    let mut buffer = [0; 1_024];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        heard.extend_from_slice(&buffer[..length]);
        if heard.ends_with(b"\r\n\r\n") {
            heard.clear();
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.expect("written");
        }
    }
}

async fn call(pool: &ConnectionPool, address: SocketAddr) {
    let answer = pool.send(address, Request::new(Full::new(Bytes::new())));
    let answer = answer.await.expect("an answer");
    let (head, body) = answer.response.into_parts();
    body.collect().await.expect("a body");
    answer.connection.return_to_pool(&head.headers);
}

// A filing must never go out on a connection that its server may have given up: whether it ran
// would be unknown. A connection serves again while it is young by a clock that goes on during a
// suspension of the machine; afterwards a new one is opened, though no timer has moved.
#[tokio::test]
async fn a_connection_that_grew_old_is_not_used_again() {
    let (address, connections) = start_server().await;
    let pool = ConnectionPool::new(PoolSettings::default(), clock);
    let mut opened = Vec::new();
    for millis in [0, 1_000, 60_000, 61_000] {
        NOW.store(millis, Ordering::SeqCst);
        call(&pool, address).await;
        opened.push(connections.load(Ordering::SeqCst));
    }
    assert_eq!(opened, [1, 1, 2, 2]);
}

// A server that no longer listens has surely not run the request, and the caller may be told so.
#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let pool = ConnectionPool::new(PoolSettings::default(), clock);
    let answer = pool
        .send(address, Request::new(Full::new(Bytes::new())))
        .await;
    let error = answer.err().expect("nobody listens");
    assert!(matches!(error, ClientError::NotSent { .. }), "{error}");
}
