//! Limit on connections whose first request is not answered yet.

#![allow(clippy::expect_used, reason = "a failed helper fails its test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use pollendrift_http::{HandlerFuture, HttpHandler, HttpServer, ServerLimits, text_response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

const MAX_NEW: usize = 3;
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// Handler that takes [`ANSWER_TIME`] and records how many requests it handled at the same time.
#[derive(Default)]
struct CountingHandler {
    running: AtomicUsize,
    highest: AtomicUsize,
}

impl HttpHandler for CountingHandler {
    fn handle(self: Arc<Self>, _: Request<Incoming>, _: SocketAddr) -> HandlerFuture {
        Box::pin(async move {
            let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
            self.highest.fetch_max(running, Ordering::SeqCst);
            sleep(ANSWER_TIME).await;
            self.running.fetch_sub(1, Ordering::SeqCst);
            text_response(StatusCode::OK, "done\n")
        })
    }
}

/// Handler that answers at once and counts the requests.
#[derive(Default)]
struct InstantHandler {
    handled: AtomicUsize,
}

impl HttpHandler for InstantHandler {
    fn handle(self: Arc<Self>, _: Request<Incoming>, _: SocketAddr) -> HandlerFuture {
        self.handled.fetch_add(1, Ordering::SeqCst);
        Box::pin(std::future::ready(text_response(StatusCode::OK, "done\n")))
    }
}

async fn start(handler: &Arc<CountingHandler>) -> HttpServer {
    let limits = ServerLimits {
        max_new_connections: MAX_NEW,
        ..ServerLimits::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = Arc::clone(handler);
    let server = HttpServer::start(any, limits, None, handler).await;
    server.expect("a port")
}

/// Sends a request on an open connection and waits for its answer.
async fn request(stream: &mut TcpStream) {
    let request = b"GET / HTTP/1.1\r\nhost: one\r\n\r\n";
    stream.write_all(request).await.expect("an open connection");
    let mut answer = Vec::new();
    while !answer.ends_with(b"done\n") {
        answer.push(stream.read_u8().await.expect("an answer"));
    }
    assert!(answer.starts_with(b"HTTP/1.1 200"));
}

// Guards against hundreds of clients that connect at the same time and keep every other task of the
// process waiting for all of them.
#[tokio::test]
async fn only_a_few_new_connections_are_served_at_the_same_time() {
    let handler = Arc::new(CountingHandler::default());
    let server = start(&handler).await;
    let address = server.address();
    let clients: Vec<_> = (0..40)
        .map(|_| {
            tokio::spawn(async move {
                let mut stream = TcpStream::connect(address).await.expect("a connection");
                request(&mut stream).await;
                stream
            })
        })
        .collect();
    let mut open = Vec::new();
    for client in clients {
        let answered = timeout(Duration::from_secs(10), client).await;
        open.push(answered.expect("in time").expect("an answer"));
    }
    assert_eq!(handler.highest.load(Ordering::SeqCst), MAX_NEW);
    // A connection that had an answer is not new any more: all of them may ask again at once.
    for stream in &mut open {
        request(stream).await;
    }
}

// Guards against another task of the process that waits for all new connections at each of its
// turns: the steps of an election waited for hundreds of announcements, and no leader stayed.
#[tokio::test]
async fn other_tasks_get_their_turn_between_a_few_new_connections() {
    const CLIENTS: usize = 200;
    let handler = Arc::new(InstantHandler::default());
    let limits = ServerLimits {
        max_new_connections: MAX_NEW,
        ..ServerLimits::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::start(any, limits, None, handler.clone()).await;
    let server = server.expect("a port");
    // All requests are there before the server gets the thread.
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let client = std::net::TcpStream::connect(server.address()).expect("a connection");
        std::io::Write::write_all(&mut &client, b"GET / HTTP/1.1\r\nhost: one\r\n\r\n")
            .expect("an open connection");
        clients.push(client);
    }
    // Two tasks that answer each other, like those of an election.
    let (to_answerer, mut questions) = mpsc::channel(1);
    let (to_asker, mut answers) = mpsc::channel(1);
    tokio::spawn(async move {
        while questions.recv().await.is_some() {
            to_asker.send(()).await.expect("the asker waits");
        }
    });
    let asker = tokio::spawn(async move {
        let mut between_turns = 0;
        let mut handled = 0;
        while handled < CLIENTS {
            to_answerer.send(()).await.expect("the answerer runs");
            answers.recv().await.expect("an answer");
            let now = handler.handled.load(Ordering::SeqCst);
            between_turns = between_turns.max(now - handled);
            handled = now;
        }
        between_turns
    });
    let between_turns = asker.await.expect("all requests are handled");
    assert!(between_turns <= MAX_NEW * 4, "{between_turns}");
}

// Guards against clients that connect, send nothing, and keep all others out.
#[tokio::test]
async fn silent_connections_do_not_keep_others_out() {
    let handler = Arc::new(CountingHandler::default());
    let server = start(&handler).await;
    let address = server.address();
    let mut silent = Vec::new();
    for _ in 0..MAX_NEW * 2 {
        silent.push(TcpStream::connect(address).await.expect("a connection"));
    }
    let began = Instant::now();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let answered = timeout(Duration::from_secs(10), request(&mut stream)).await;
    assert!(answered.is_ok(), "no answer for {:?}", began.elapsed());
}
