//! Contract of the links between peers, with fault cases in tables.

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

/// Longer than any wait of a sound run; a test that reaches it fails.
const GUARD: Duration = Duration::from_secs(20);
const FRAME_BOUND: usize = 2_000;

fn settings() -> LinkSettings {
    LinkSettings {
        handshake_timeout: Duration::from_millis(200),
        heartbeat: Duration::from_millis(20),
        silence_timeout: Duration::from_millis(200),
        base_backoff: Duration::from_millis(1),
        max_backoff: Duration::from_millis(5),
        max_frame_bytes: FRAME_BOUND,
        ..LinkSettings::default()
    }
}

/// Answers each submit with its own bytes, or keeps silent for an empty one.
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

/// Never reaches anybody.
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

/// Hands the far ends of its streams to the test.
struct DuplexDialer {
    far: UnboundedSender<DuplexStream>,
}

impl PeerDialer for DuplexDialer {
    fn dial<'scope>(
        &'scope self,
        _: &'scope HostName,
        _: SocketAddr,
    ) -> BoxFuture<'scope, io::Result<Box<dyn PeerStream>>> {
        Box::pin(async {
            let (near, far) = duplex(64 * 1024);
            self.far
                .send(far)
                .map_err(|_| io::ErrorKind::HostUnreachable)?;
            Ok(Box::new(near) as Box<dyn PeerStream>)
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

fn nowhere() -> SocketAddr {
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

/// Plays messages of a peer to an accepting host; tells why the link ended and what was handled.
async fn play(messages: Vec<Message>, proven: Option<&str>) -> String {
    let (tasks, mut frames) = start("b", &[("a", nowhere())], Box::new(NoDialer));
    let (near, far) = duplex(64 * 1024);
    let accepted = AcceptedStream {
        stream: Box::new(near),
        proven: proven.map(HostName::from),
    };
    let peer = async {
        let (mut socket, _) = client_async("ws://b/", far).await.expect("handshake");
        for message in messages {
            if socket.send(message).await.is_err() {
                break;
            }
        }
        socket
    };
    let serving = async { tokio::join!(serve_stream(tasks.hub(), accepted), peer).0 };
    let error = timeout(GUARD, serving).await.expect("the link ends");
    let handled = std::iter::from_fn(|| frames.try_recv().ok()).count();
    format!("{error}; handled {handled}")
}

/// The peer sees: its link ends; the other links and the process go on.
/// Each row is a peer that is broken, of another version, a stranger, or dead: nothing of a bad
/// frame reaches the handler, and what came before it does.
#[tokio::test]
async fn a_bad_peer_loses_its_link() {
    let good = || message(&hello("a", PEER_PROTOCOL));
    // A hello with an unknown field that holds lists within lists.
    let mut deep = b"\0\xa1\x65Hello\xa1\x61x".to_vec();
    deep.resize(FRAME_BOUND, 0x81);
    let mut trailing = encode_frame(&agreement(1), FRAME_BOUND)
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
                message(&agreement(FRAME_BOUND)),
            ],
            None,
        ),
        ("unknown mark", vec![good(), binary(vec![0xff; 40])], None),
        ("garbage", vec![good(), binary(garbage)], None),
        ("nested deeply", vec![good(), binary(deep)], None),
        ("bytes behind", vec![good(), binary(trailing)], None),
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
        "unknown mark: frame can't be read: neither plain nor packed; handled 0",
        "garbage: frame can't be read: Semantic(None, \"invalid type: break, expected enum\"); handled 0",
        "nested deeply: frame can't be read: RecursionLimitExceeded; handled 0",
        "bytes behind: frame can't be read: bytes behind the frame; handled 0",
        "text: unexpected frame: text; handled 0",
        "wrong version: refused: protocol 6 is not spoken here (spoken: 5); handled 0",
        "unknown host: refused: host x is not in the settings; handled 0",
        "own name: refused: host b is not in the settings; handled 0",
        "other certificate: refused: hello names host a, but the certificate proves c; handled 0",
        "no hello: refused: first frame is not a hello; handled 0",
        "hello twice: unexpected frame: frame of the handshake; handled 0",
        "silent before the hello: no end of the handshake in time; handled 0",
        "half-open after a frame: peer is silent; handled 1",
        "closed: peer closed the link; handled 0",
    ]
    "#);
}

/// The stranger sees: the connection ends. Bytes that are no websocket handshake cost one slot of
/// the handshakes, for no longer than its timeout.
#[tokio::test]
async fn a_stranger_without_a_handshake_is_dropped() {
    let (tasks, _frames) = start("b", &[("a", nowhere())], Box::new(NoDialer));
    let (near, mut far) = duplex(1024);
    far.write_all(b"GET / HTTP/0.9\r\n\r\n")
        .await
        .expect("room");
    let accepted = AcceptedStream {
        stream: Box::new(near),
        proven: None,
    };
    let error = timeout(GUARD, serve_stream(tasks.hub(), accepted))
        .await
        .expect("it ends");
    assert!(
        error.to_string().starts_with("connection failed"),
        "{error}"
    );
}

async fn next_socket(far: &mut UnboundedReceiver<DuplexStream>) -> WebSocketStream<DuplexStream> {
    let stream = timeout(GUARD, far.recv())
        .await
        .expect("dialled")
        .expect("dialler lives");
    accept_async(stream).await.expect("handshake")
}

/// The sender sees: a link whose peer took the hello and then fell silent goes down, a call on it
/// has no answer, and the next attempt is made. Writes alone would go on into a buffer.
#[tokio::test]
async fn a_half_open_peer_is_left_and_dialled_again() {
    let (far_end, mut far) = unbounded_channel();
    let dialer = Box::new(DuplexDialer { far: far_end });
    let (tasks, _frames) = start("a", &[("b", nowhere())], dialer);
    let host = HostName::from("b");
    let mut socket = next_socket(&mut far).await;
    socket.next().await.expect("a hello").expect("a message");
    socket
        .send(message(&hello("b", PEER_PROTOCOL)))
        .await
        .expect("open");
    let mut link = tasks.hub().watch_link(&host).expect("a peer");
    timeout(GUARD, link.wait_for(|up| *up))
        .await
        .expect("up")
        .expect("lives");
    let question = PeerQuestion::Submit(vec![1].into());
    let answer = timeout(GUARD, tasks.hub().call(&host, question, 0, GUARD))
        .await
        .expect("ends");
    assert_eq!(
        answer,
        Err(CallError::NoAnswer {
            reason: "link to the host broke".into()
        })
    );
    let status = tasks.hub().status();
    assert_eq!(status[0].last_error, "peer is silent");
    let mut again = next_socket(&mut far).await;
    again.next().await.expect("a hello").expect("a message");
    again
        .send(message(&hello("c", PEER_PROTOCOL)))
        .await
        .expect("open");
    drop(next_socket(&mut far).await);
    let error = tasks.hub().status()[0].last_error.clone();
    assert_eq!(error, "host c answers where b belongs");
}

/// The caller sees: "not sent" where the question never left, and the answer where it did.
/// Two hosts on loopback; first one has no link, then both have, then one is gone.
#[tokio::test]
async fn a_call_is_answered_or_truly_not_sent() {
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
    let ask =
        |bytes: Vec<u8>, patience| hub.call(&host, PeerQuestion::Submit(bytes.into()), 0, patience);
    let early = ask(vec![5], GUARD).await;
    assert!(matches!(early, Err(CallError::NotSent { .. })), "{early:?}");
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
        timeout(GUARD, link.wait_for(|up| *up))
            .await
            .expect("up")
            .expect("lives");
    }
    assert_eq!(
        ask(vec![6], GUARD).await,
        Ok(PeerAnswer::Submitted(vec![6].into()))
    );
    let oversized = hub.send(&host, &agreement(FRAME_BOUND));
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
    timeout(GUARD, frames.recv())
        .await
        .expect("arrives after the forged answer");
    let silent = ask(vec![], Duration::from_millis(50)).await;
    assert_eq!(
        silent,
        Err(CallError::NoAnswer {
            reason: "no answer in time".into()
        })
    );
    drop(tasks_b);
    timeout(GUARD, links[0].wait_for(|up| !*up))
        .await
        .expect("down")
        .expect("lives");
    assert_eq!(hub.send(&host, &agreement(3)), Err(SendRefusal::Down));
}

/// Any bytes from a peer are read without a panic; what reads as a frame encodes to one again.
#[test]
fn any_bytes_are_read_without_a_panic() {
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
            let again = encode_frame(&frame, usize::MAX).expect("encodes");
            assert_eq!(decode_frame(&again), Ok(frame));
        }
    }
    assert!(frames > 1_000, "only {frames} changed samples still read");
}

/// The caller sees: the answer, although the asked host can't open a link to the asker.
/// It once was lost for a time-out, as answers went by the link of the other direction only, which
/// comes up later or, behind a one-way fault, never.
#[tokio::test]
async fn an_answer_comes_back_on_the_link_of_its_question() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (tasks_a, _frames) = start("a", &[("b", address)], Box::new(PlainTransport));
    let (mut tasks_b, _seen) = start("b", &[("a", nowhere())], Box::new(NoDialer));
    tasks_b.accept(listener, Arc::new(PlainTransport));
    let host = HostName::from("b");
    let mut link = tasks_a.hub().watch_link(&host).expect("a peer");
    timeout(GUARD, link.wait_for(|up| *up))
        .await
        .expect("up")
        .expect("lives");
    let question = PeerQuestion::Submit(vec![8].into());
    let answer = tasks_a.hub().call(&host, question, 0, GUARD).await;
    assert_eq!(answer, Ok(PeerAnswer::Submitted(vec![8].into())));
}
