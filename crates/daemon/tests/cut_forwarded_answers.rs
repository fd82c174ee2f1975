//! Forwarded answers whose connection between two hosts is cut at every offset.

#![allow(
    clippy::expect_used,
    reason = "helpers of tests fail like the tests themselves"
)]

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use pollendrift::peers::{
    AcceptedStream, BoxFuture, ForwardChannel, ForwardError, ForwardHandler, ForwardedAnswer,
    ForwardedHistory, ForwardedPart, ForwardedRequest, LinkSettings, PeerAddress, PeerDialer,
    PeerFrame, PeerHandler, PeerHub, PeerNode, PeerStream, PeerTasks, ReceivedRequest,
    serve_stream, start_peers,
};
use pollendrift_coordination::base::{HostName, Incarnation, RequestId, ServiceName};
use pollendrift_coordination::forwarding::ForwardHost;
use pollendrift_dialect::RefusalKind;
use pollendrift_http::{BodyMemory, OverflowPolicy, full_body};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, copy, duplex, split};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

const BODY: &[u8] = b"a whole answer";
/// Requests on one channel, so that the second one finds a kept connection.
const REQUESTS: usize = 2;
/// Memory for the bodies of forwarded requests, in bytes.
const SMALL_MEMORY: usize = 256 << 10;

struct NoFrames;

impl PeerHandler for NoFrames {
    fn handle(&self, _: &PeerHub, _: &HostName, _: PeerFrame) {}
}

/// Dialer that passes the remote ends of its streams to the test.
struct DuplexDialer(UnboundedSender<DuplexStream>);

impl PeerDialer for DuplexDialer {
    fn dial<'scope>(
        &'scope self,
        _: &'scope HostName,
        _: SocketAddr,
    ) -> BoxFuture<'scope, io::Result<Box<dyn PeerStream>>> {
        Box::pin(async {
            let (local, remote) = duplex(64 * 1024);
            let sent = self.0.send(remote);
            sent.map_err(|_| io::ErrorKind::HostUnreachable)?;
            Ok(Box::new(local) as Box<dyn PeerStream>)
        })
    }
}

/// Answers every request with [`BODY`].
struct BodyHandler;

impl ForwardHandler for BodyHandler {
    fn serve(&self, _: ReceivedRequest) -> BoxFuture<'static, ForwardedAnswer> {
        Box::pin(async { Ok(Response::new(full_body(BODY))) })
    }
}

fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn start(host: &str, peer: &str, remote: UnboundedSender<DuplexStream>) -> PeerTasks {
    let node = PeerNode {
        host: HostName::from(host),
        process: Incarnation(1),
        discovery: None,
    };
    let peers = vec![PeerAddress {
        host: HostName::from(peer),
        address: unused_address(),
    }];
    let dialer = Box::new(DuplexDialer(remote));
    start_peers(
        node,
        LinkSettings::default(),
        peers,
        dialer,
        Arc::new(NoFrames),
    )
}

/// Passes the bytes of `from` on, at most `limit`, and then closes the connection. Returns their number.
async fn pass_on(mut from: DuplexStream, to: DuplexStream, limit: u64) -> u64 {
    let (mut to_read, mut to_write) = split(to);
    let (from_read, mut from_write) = split(&mut from);
    let mut limited = from_read.take(limit);
    let passed = async {
        let passed = copy(&mut limited, &mut to_write).await.unwrap_or(0);
        // Ends with the limit, or with the connection.
        let _ = to_write.shutdown().await;
        passed
    };
    tokio::select! {
        passed = passed => passed,
        _ = copy(&mut to_read, &mut from_write) => 0,
    }
}

/// A request to forward.
fn forwarded<'request>(head: &'request Parts, body: &'request Bytes) -> ForwardedRequest<'request> {
    static ATTEMPT: LazyLock<RequestId> = LazyLock::new(|| "r-1".into());
    static SERVICE: LazyLock<ServiceName> = LazyLock::new(|| "desk".into());
    ForwardedRequest {
        request: &ATTEMPT,
        head,
        body,
        service: &SERVICE,
        time_left: Duration::from_secs(1),
        history: ForwardedHistory::default(),
        resume_after: None,
    }
}

/// Sends one request; returns whether its answer was complete.
async fn is_complete(channel: &mut ForwardChannel) -> bool {
    let head = Request::post("/read/a").body(()).expect("a request");
    let (head, ()) = head.into_parts();
    let body = Bytes::from_static(b"body");
    let request = forwarded(&head, &body);
    let Ok(head) = channel.send(request).await else {
        return false;
    };
    assert_eq!(head.status, StatusCode::OK);
    let mut body = Vec::new();
    loop {
        match channel.next_part().await {
            Ok(ForwardedPart::Data(bytes)) => body.extend_from_slice(&bytes),
            Ok(ForwardedPart::End) => {
                assert_eq!(body, BODY);
                return true;
            }
            Err(_) => {
                assert!(BODY.starts_with(&body));
                return false;
            }
        }
    }
}

/// Opens a channel to a host with `handler`, over a connection that is cut after `limit` bytes of that host,
/// and returns what `send` does; the default value if the channel does not open.
async fn with_channel<F, T>(handler: Arc<dyn ForwardHandler>, limit: u64, send: F) -> T
where
    F: AsyncFnOnce(ForwardChannel) -> T,
    T: Default,
{
    let (remote, mut remotes) = unbounded_channel();
    let (unused, _) = unbounded_channel();
    let sending = start("a", "c", remote);
    let serving = start("b", "a", unused);
    serving.hub().accept_forwarding(&handler);
    let target = ForwardHost {
        host: "b".into(),
        address: unused_address(),
        data_centre: None,
    };
    let serve = async {
        loop {
            let remote = remotes.recv().await.expect("a dialed connection");
            let (near, far) = duplex(64 * 1024);
            let accepted = AcceptedStream {
                stream: Box::new(far),
                proven: None,
            };
            tokio::join!(
                serve_stream(serving.hub(), accepted),
                pass_on(near, remote, limit)
            );
        }
    };
    let sent = async {
        let Ok(channel) = sending.hub().open_forwarding(&target).await else {
            return T::default();
        };
        send(channel).await
    };
    tokio::select! {
        sent = sent => sent,
        () = serve => unreachable!("serving never ends"),
    }
}

/// Forwards requests over a connection that is cut after `limit` bytes of the answering host. Returns
/// the number of complete answers.
async fn complete_answers(limit: u64) -> usize {
    with_channel(Arc::new(BodyHandler), limit, async |mut channel| {
        let mut complete = 0;
        for _ in 0..REQUESTS {
            complete += usize::from(is_complete(&mut channel).await);
        }
        complete
    })
    .await
}

/// Answers every request with a status and [`BODY`].
struct StatusHandler(StatusCode);

impl ForwardHandler for StatusHandler {
    fn serve(&self, _: ReceivedRequest) -> BoxFuture<'static, ForwardedAnswer> {
        let mut response = Response::new(full_body(BODY));
        *response.status_mut() = self.0;
        Box::pin(async { Ok(response) })
    }
}

// Guards against a status that is none of a final answer and that another host passes on.
#[tokio::test(start_paused = true)]
async fn a_forwarded_status_of_no_final_answer_is_refused() {
    for (status, is_final) in [
        (101, false),
        (199, false),
        (200, true),
        (599, true),
        (600, false),
    ] {
        let handler = StatusHandler(StatusCode::from_u16(status).expect("a status"));
        let answered = with_channel(Arc::new(handler), u64::MAX, async |mut channel| {
            let head = Request::post("/read/a").body(()).expect("a request");
            let (head, ()) = head.into_parts();
            let body = Bytes::from_static(b"body");
            match channel.send(forwarded(&head, &body)).await {
                Ok(_) => Some(true),
                Err(ForwardError::Lost(_)) => Some(false),
                Err(_) => None,
            }
        });
        assert_eq!(answered.await, Some(is_final), "{status}");
    }
}

/// Answers every request with [`BODY`], with little memory for the bodies of requests.
struct SmallHandler(BodyMemory);

impl ForwardHandler for SmallHandler {
    fn request_memory(&self) -> Option<&BodyMemory> {
        Some(&self.0)
    }

    fn serve(&self, request: ReceivedRequest) -> BoxFuture<'static, ForwardedAnswer> {
        BodyHandler.serve(request)
    }
}

// Guards against hosts that run out of memory under the bodies of forwarded requests: a body without memory is
// refused as not run, and the channel serves the next request.
#[tokio::test(start_paused = true)]
async fn a_forwarded_body_without_memory_is_refused() {
    let memory = BodyMemory::new(SMALL_MEMORY, OverflowPolicy::Newest);
    let handler = Arc::new(SmallHandler(memory.clone()));
    let served = with_channel(handler, u64::MAX, async |mut channel| {
        let head = Request::post("/read/a").body(()).expect("a request");
        let (head, ()) = head.into_parts();
        let body = Bytes::from(vec![0; 2 * SMALL_MEMORY]);
        let refused = channel.send(forwarded(&head, &body)).await;
        let is_refused = matches!(
            refused,
            Err(ForwardError::Refused(refused)) if refused.refusal.kind == RefusalKind::NotRun
        );
        is_refused && is_complete(&mut channel).await
    });
    assert!(served.await);
    assert_eq!(memory.used_bytes(), 0);
}

// Guards against a forwarded answer that counts as whole although the host that sent it stopped within its
// head or its body, on a new channel and on one that has carried a request.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_cut_at_any_offset_is_not_complete() {
    let mut complete = Vec::new();
    for limit in 0.. {
        complete.push(complete_answers(limit).await);
        if complete.last() == Some(&REQUESTS) {
            break;
        }
        assert!(limit < 10_000, "the answers are never complete");
    }
    // The number of complete answers only grows with the number of bytes that arrive.
    assert!(complete.is_sorted());
    let first = complete.iter().position(|count| *count == 1);
    let first = first.expect("one complete answer");
    let second = complete.len() - 1 - first;
    assert!(
        second > BODY.len(),
        "{second} bytes are no whole second answer"
    );
}
