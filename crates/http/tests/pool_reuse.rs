//! Reuse of pooled connections, and the error after a refused connection.

#![allow(clippy::expect_used, reason = "a failed helper fails its test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use pollendrift_http::{
    ClientError, ConnectionPool, DialFuture, PoolSettings, ServerDialer, TcpDialer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Current time on the clock of the pool, in milliseconds.
static NOW: AtomicU64 = AtomicU64::new(0);

fn clock() -> Duration {
    Duration::from_millis(NOW.load(Ordering::SeqCst))
}

/// Starts a server that sends an empty response to every request and counts its connections.
async fn start_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve(stream));
        }
    });
    (address, connections)
}

async fn serve(mut stream: TcpStream) {
    let mut received = Vec::new();
    let mut buffer = [0; 1_024];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        received.extend_from_slice(&buffer[..length]);
        if received.ends_with(b"\r\n\r\n") {
            received.clear();
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream
                .write_all(response)
                .await
                .expect("response is written");
        }
    }
}

async fn call(pool: &ConnectionPool, address: SocketAddr) {
    let answer = pool.send(address, Request::new(Full::new(Bytes::new())));
    let answer = answer.await.expect("an answer");
    let (head, mut body) = answer.into_parts();
    (&mut body).collect().await.expect("a body");
    body.return_to_pool(&head.headers);
}

// Guards against a non-idempotent call on a connection that its server may have closed, after which
// it is unknown whether the call ran. The clock of the pool advances during a suspension of the
// machine, while no timer fires; the pool must then open a new connection.
#[tokio::test]
async fn an_expired_idle_connection_is_not_reused() {
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

// Guards against reporting an unknown outcome when nothing was sent. The server no longer listens,
// so it can't have run the request.
#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let pool = ConnectionPool::new(PoolSettings::default(), clock);
    let answer = pool
        .send(address, Request::new(Full::new(Bytes::new())))
        .await;
    let error = answer.expect_err("no server listens");
    assert!(matches!(error, ClientError::NotSent { .. }), "{error}");
}

/// Opens no connection at first, and plain ones once it is told to.
struct HangingDialer {
    opens: AtomicBool,
}

impl ServerDialer for HangingDialer {
    fn dial(&self, address: SocketAddr, silence_timeout: Duration) -> DialFuture {
        if self.opens.load(Ordering::SeqCst) {
            return TcpDialer.dial(address, silence_timeout);
        }
        Box::pin(std::future::pending())
    }
}

// Guards against an address that can't be used any more after requests were cancelled while their
// connections opened, as they are at a host whose links are cut: each counted as open for ever.
#[tokio::test]
async fn cancelled_connection_attempts_do_not_count_as_open() {
    let (address, _) = start_server().await;
    let dialer = Arc::new(HangingDialer {
        opens: AtomicBool::new(false),
    });
    let settings = PoolSettings {
        max_per_address: 4,
        ..PoolSettings::default()
    };
    let pool = ConnectionPool::with_dialer(settings, clock, Arc::clone(&dialer) as Arc<_>);
    for _ in 0..10 {
        let sending = pool.send(address, Request::new(Full::new(Bytes::new())));
        let cancelled = tokio::time::timeout(Duration::from_millis(10), sending).await;
        assert!(cancelled.is_err());
    }
    dialer.opens.store(true, Ordering::SeqCst);
    call(&pool, address).await;
}
