//! Contract of the links between peers: faulty peers, calls and frame decoding.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "helpers of tests fail like the tests themselves"
)]

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pollendrift::peers::{
    AcceptedStream, BoxFuture, CallError, CallNumber, HeartbeatNumber, LinkSettings, PEER_PROTOCOL,
    PeerAddress, PeerAnswer, PeerDialer, PeerFrame, PeerHandler, PeerHello, PeerHub, PeerNode,
    PeerQuestion, PeerStream, PeerTasks, PlainTransport, SendRefusal, decode_frame, encode_frame,
    serve_stream, start_peers,
};
use pollendrift_coordination::base::{HostName, Incarnation};
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncWriteExt, DuplexStream, duplex};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::protocol::Message;
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};

/// Timeout of every wait, longer than any wait of a passing run.
const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_FRAME_BYTES: usize = 2_000;

fn settings() -> LinkSettings {
    LinkSettings {
        handshake_timeout: Duration::from_millis(200),
        heartbeat: Duration::from_millis(20),
        silence_timeout: Duration::from_millis(200),
        base_backoff: Duration::from_millis(1),
        max_backoff: Duration::from_millis(5),
        max_frame_bytes: MAX_FRAME_BYTES,
        ..LinkSettings::default()
    }
}

/// Answers each submit with its own bytes, and an empty one not at all.
struct EchoHandler {
    seen: UnboundedSender<PeerFrame>,
}

impl PeerHandler for EchoHandler {
    fn handle(&self, hub: &PeerHub, from: &HostName, frame: PeerFrame) {
        if let PeerFrame::Call(call) = &frame
            && let PeerQuestion::Submit(bytes) = &call.question
            && !bytes.0.is_empty()
        {
            let answer = PeerAnswer::Submitted(bytes.clone());
            hub.answer(from, call.number, answer).expect("link is up");
        }
        let _ = self.seen.send(frame);
    }
}

/// Dialer whose every attempt fails.
struct NoDialer;

impl PeerDialer for NoDialer {
    fn dial<'scope>(
        &'scope self,
        _: &'scope HostName,
        _: SocketAddr,
    ) -> BoxFuture<'scope, io::Result<Box<dyn PeerStream>>> {
        Box::pin(async { Err(io::ErrorKind::HostUnreachable.into()) })
    }
}

/// Dialer that passes the remote ends of its streams to the test.
struct DuplexDialer {
    remote: UnboundedSender<DuplexStream>,
}

impl PeerDialer for DuplexDialer {
    fn dial<'scope>(
        &'scope self,
        _: &'scope HostName,
        _: SocketAddr,
    ) -> BoxFuture<'scope, io::Result<Box<dyn PeerStream>>> {
        Box::pin(async {
            let (local, remote) = duplex(64 * 1024);
            self.remote
                .send(remote)
                .map_err(|_| io::ErrorKind::HostUnreachable)?;
            Ok(Box::new(local) as Box<dyn PeerStream>)
        })
    }
}

fn start(
    host: &str,
    peers: &[(&str, SocketAddr)],
    dialer: Box<dyn PeerDialer>,
) -> (PeerTasks, UnboundedReceiver<PeerFrame>) {
    let (seen, frames) = unbounded_channel();
    let node = PeerNode {
        host: HostName::from(host),
        process: Incarnation(1),
        discovery: None,
    };
    let peers = peers.iter().map(|(host, address)| PeerAddress {
        host: HostName::from(*host),
        address: *address,
    });
    let handler = Arc::new(EchoHandler { seen });
    (
        start_peers(node, settings(), peers.collect(), dialer, handler),
        frames,
    )
}

fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn hello(host: &str, protocol: u32) -> PeerFrame {
    let host = HostName::from(host);
    PeerFrame::Hello(PeerHello {
        protocol,
        host,
        process: Incarnation(1),
        reach: None,
    })
}

fn message(frame: &PeerFrame) -> Message {
    Message::Binary(encode_frame(frame, usize::MAX).expect("encodes"))
}

fn agreement(bytes: usize) -> PeerFrame {
    PeerFrame::Agreement(vec![7; bytes].into())
}

/// Sends messages of a peer to an accepting host; returns the error that ended the link and the
/// number of handled frames.
async fn play(messages: Vec<Message>, proven: Option<&str>) -> String {
    let (tasks, mut frames) = start("b", &[("a", unused_address())], Box::new(NoDialer));
    let (local, remote) = duplex(64 * 1024);
    let accepted = AcceptedStream {
        stream: Box::new(local),
        proven: proven.map(HostName::from),
    };
    let peer = async {
        let (mut socket, _) = client_async("ws://b/", remote).await.expect("handshake");
        for message in messages {
            if socket.send(message).await.is_err() {
                break;
            }
        }
        socket
    };
    let serving = async { tokio::join!(serve_stream(tasks.hub(), accepted), peer).0 };
    let error = timeout(TIMEOUT, serving).await.expect("the link ends");
    let handled = std::iter::from_fn(|| frames.try_recv().ok()).count();
    format!("{error}; handled {handled}")
}

/// Guards against damage by a peer that is faulty, untrusted, silent or of another version: its
/// link must end, and no part of an invalid frame may reach the handler. Valid frames before it are
/// handled.
#[tokio::test]
async fn faulty_peer_loses_its_link() {
    let good = || message(&hello("a", PEER_PROTOCOL));
    // A hello with an unknown field that contains nested lists.
    let mut deep = b"\0\xa1\x65Hello\xa1\x61x".to_vec();
    deep.resize(MAX_FRAME_BYTES, 0x81);
    let mut trailing = encode_frame(&agreement(1), MAX_FRAME_BYTES)
        .expect("encodes")
        .to_vec();
    trailing.push(0);
    let mut garbage = vec![0xff; 40];
    garbage[0] = 0;
    let binary = |bytes: Vec<u8>| Message::Binary(Bytes::from(bytes));
    let rows: Vec<(&str, Vec<Message>, Option<&str>)> = vec![
        (
            "oversized",
            vec![
                good(),
                message(&agreement(10)),
                message(&agreement(MAX_FRAME_BYTES)),
            ],
            None,
        ),
        ("unknown byte", vec![good(), binary(vec![0xff; 40])], None),
        ("garbage", vec![good(), binary(garbage)], None),
        ("nested deeply", vec![good(), binary(deep)], None),
        ("trailing bytes", vec![good(), binary(trailing)], None),
        ("text", vec![good(), Message::text("hello")], None),
        (
            "wrong version",
            vec![message(&hello("a", PEER_PROTOCOL + 1))],
            None,
        ),
        (
            "unknown host",
            vec![message(&hello("x", PEER_PROTOCOL))],
            None,
        ),
        ("own name", vec![message(&hello("b", PEER_PROTOCOL))], None),
        ("other certificate", vec![good()], Some("c")),
        (
            "no hello",
            vec![message(&PeerFrame::Heartbeat(HeartbeatNumber(1)))],
            None,
        ),
        ("hello twice", vec![good(), good()], Some("a")),
        ("silent before the hello", vec![], None),
        (
            "half-open after a frame",
            vec![good(), message(&agreement(10))],
            None,
        ),
        ("closed", vec![good(), Message::Close(None)], None),
    ];
    let mut ends = Vec::new();
    for (name, messages, proven) in rows {
        ends.push(format!("{name}: {}", play(messages, proven).await));
    }
    insta::assert_debug_snapshot!(ends, @r#"
    [
        "oversized: frame of 2015 bytes is over the bound of 2000; handled 1",
        "unknown byte: frame can't be read: unknown compression byte; handled 0",
        "garbage: frame can't be read: Semantic(None, \"invalid type: break, expected enum\"); handled 0",
        "nested deeply: frame can't be read: RecursionLimitExceeded; handled 0",
        "trailing bytes: frame can't be read: trailing bytes after the frame; handled 0",
        "text: unexpected frame: text message; handled 0",
        "wrong version: refused: protocol version 6 is not supported (supported: 5); handled 0",
        "unknown host: refused: host x is not in the settings; handled 0",
        "own name: refused: host b is not in the settings; handled 0",
        "other certificate: refused: hello names host a, but the certificate proves c; handled 0",
        "no hello: refused: first frame is not a hello; handled 0",
        "hello twice: unexpected frame: handshake frame after the handshake; handled 0",
        "silent before the hello: handshake timed out; handled 0",
        "half-open after a frame: no frame of the peer within the silence timeout; handled 1",
        "closed: peer closed the link; handled 0",
    ]
    "#);
}

/// Guards against untrusted clients that occupy handshake slots: a connection without a websocket
/// handshake must end within the handshake timeout.
#[tokio::test]
async fn client_without_websocket_handshake_is_disconnected() {
    let (tasks, _frames) = start("b", &[("a", unused_address())], Box::new(NoDialer));
    let (local, mut remote) = duplex(1024);
    remote
        .write_all(b"GET / HTTP/0.9\r\n\r\n")
        .await
        .expect("buffer has capacity");
    let accepted = AcceptedStream {
        stream: Box::new(local),
        proven: None,
    };
    let error = timeout(TIMEOUT, serve_stream(tasks.hub(), accepted))
        .await
        .expect("it ends");
    assert!(
        error.to_string().starts_with("connection failed"),
        "{error}"
    );
}

async fn next_socket(
    remote: &mut UnboundedReceiver<DuplexStream>,
) -> WebSocketStream<DuplexStream> {
    let stream = timeout(TIMEOUT, remote.recv())
        .await
        .expect("a new connection")
        .expect("dialer is running");
    accept_async(stream).await.expect("handshake")
}

/// Guards against a half-open link, on which writes still succeed into a buffer: if the peer sends
/// no frame after its hello, the link must go down, calls on it must fail and a new attempt follow.
#[tokio::test]
async fn half_open_link_goes_down_and_is_opened_again() {
    let (remote_sender, mut remote) = unbounded_channel();
    let dialer = Box::new(DuplexDialer {
        remote: remote_sender,
    });
    let (tasks, _frames) = start("a", &[("b", unused_address())], dialer);
    let host = HostName::from("b");
    let mut socket = next_socket(&mut remote).await;
    socket.next().await.expect("a hello").expect("a message");
    socket
        .send(message(&hello("b", PEER_PROTOCOL)))
        .await
        .expect("open");
    let mut link = tasks.hub().watch_link(&host).expect("a peer");
    timeout(TIMEOUT, link.wait_for(|up| *up))
        .await
        .expect("up")
        .expect("hub is running");
    let question = PeerQuestion::Submit(vec![1].into());
    let answer = timeout(TIMEOUT, tasks.hub().call(&host, question, 0, TIMEOUT))
        .await
        .expect("ends");
    assert_eq!(
        answer,
        Err(CallError::NoAnswer {
            reason: "link to the host broke".into()
        })
    );
    let status = tasks.hub().status();
    assert_eq!(
        status[0].last_error,
        "no frame of the peer within the silence timeout"
    );
    let mut second_socket = next_socket(&mut remote).await;
    second_socket
        .next()
        .await
        .expect("a hello")
        .expect("a message");
    second_socket
        .send(message(&hello("c", PEER_PROTOCOL)))
        .await
        .expect("open");
    drop(next_socket(&mut remote).await);
    let error = tasks.hub().status()[0].last_error.clone();
    assert_eq!(error, "found host c at the address of host b");
}

/// Guards against calls reported as "not sent" although the question left the process, and against
/// answers delivered to other calls. Of two hosts on loopback, first neither has a link, then both
/// have, then one ends.
#[tokio::test]
async fn call_is_not_sent_only_if_the_question_never_left() {
    let listeners = [
        TcpListener::bind("127.0.0.1:0").await.expect("a port"),
        TcpListener::bind("127.0.0.1:0").await.expect("a port"),
    ];
    let [a, b] = listeners
        .each_ref()
        .map(|listener| listener.local_addr().expect("bound"));
    let [listen_a, listen_b] = listeners;
    let (mut tasks_a, mut frames) = start("a", &[("a", a), ("b", b)], Box::new(PlainTransport));
    let (mut tasks_b, _seen) = start("b", &[("a", a), ("b", b)], Box::new(PlainTransport));
    let hub = tasks_a.hub().clone();
    let host = HostName::from("b");
    let call =
        |bytes: Vec<u8>, limit| hub.call(&host, PeerQuestion::Submit(bytes.into()), 0, limit);
    let without_link = call(vec![5], TIMEOUT).await;
    assert!(
        matches!(without_link, Err(CallError::NotSent { .. })),
        "{without_link:?}"
    );
    tasks_a.accept(listen_a, Arc::new(PlainTransport));
    tasks_b.accept(listen_b, Arc::new(PlainTransport));
    let mut links = [
        tasks_a.hub().watch_link(&host).expect("a peer"),
        tasks_b
            .hub()
            .watch_link(&HostName::from("a"))
            .expect("a peer"),
    ];
    for link in &mut links {
        timeout(TIMEOUT, link.wait_for(|up| *up))
            .await
            .expect("up")
            .expect("hub is running");
    }
    assert_eq!(
        call(vec![6], TIMEOUT).await,
        Ok(PeerAnswer::Submitted(vec![6].into()))
    );
    let oversized = hub.send(&host, &agreement(MAX_FRAME_BYTES));
    assert!(
        matches!(oversized, Err(SendRefusal::TooLarge { .. })),
        "{oversized:?}"
    );
    let forged = PeerFrame::Answer {
        number: CallNumber(3),
        answer: PeerAnswer::Readable(1),
    };
    tasks_b
        .hub()
        .send(&HostName::from("a"), &forged)
        .expect("up");
    tasks_b
        .hub()
        .send(&HostName::from("a"), &agreement(3))
        .expect("up");
    timeout(TIMEOUT, frames.recv())
        .await
        .expect("arrives after the forged answer");
    let unanswered = call(vec![], Duration::from_millis(50)).await;
    assert_eq!(
        unanswered,
        Err(CallError::NoAnswer {
            reason: "no answer in time".into()
        })
    );
    drop(tasks_b);
    timeout(TIMEOUT, links[0].wait_for(|up| !*up))
        .await
        .expect("down")
        .expect("hub is running");
    assert_eq!(hub.send(&host, &agreement(3)), Err(SendRefusal::Down));
}

/// Guards against a panic on invalid bytes from a peer: the decoder must accept or refuse changed
/// frames without a panic, and each decoded frame must encode and decode to itself.
#[test]
fn any_bytes_are_decoded_without_a_panic() {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(11);
    let samples = [
        hello("a", 1),
        agreement(30),
        PeerFrame::Answer {
            number: CallNumber(1),
            answer: PeerAnswer::NotRun {
                reason: "busy".into(),
            },
        },
    ];
    let mut frames = 0;
    for round in 0..20_000 {
        let sample = &samples[round % samples.len()];
        let mut bytes = encode_frame(sample, usize::MAX).expect("encodes").to_vec();
        let at = random.next_u32() as usize % bytes.len();
        bytes[at] = random.next_u32().to_le_bytes()[0];
        if let Ok(frame) = decode_frame(&bytes) {
            frames += 1;
            let encoded_again = encode_frame(&frame, usize::MAX).expect("encodes");
            assert_eq!(decode_frame(&encoded_again), Ok(frame));
        }
    }
    assert!(frames > 1_000, "only {frames} changed samples still decode");
}

/// Guards against lost answers when the called host can't open a link to the requester. Answers
/// were only sent on the called host's own link, which comes up later or, with a one-way fault,
/// never, so the call timed out.
#[tokio::test]
async fn answer_returns_on_the_link_of_its_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (tasks_a, _frames) = start("a", &[("b", address)], Box::new(PlainTransport));
    let (mut tasks_b, _seen) = start("b", &[("a", unused_address())], Box::new(NoDialer));
    tasks_b.accept(listener, Arc::new(PlainTransport));
    let host = HostName::from("b");
    let mut link = tasks_a.hub().watch_link(&host).expect("a peer");
    timeout(TIMEOUT, link.wait_for(|up| *up))
        .await
        .expect("up")
        .expect("hub is running");
    let question = PeerQuestion::Submit(vec![8].into());
    let answer = tasks_a.hub().call(&host, question, 0, TIMEOUT).await;
    assert_eq!(answer, Ok(PeerAnswer::Submitted(vec![8].into())));
}
