//! Inbound links, which peers open to this process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pollendrift_coordination::base::HostName;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_tungstenite::accept_async_with_config;

use super::error::{HelloRefusal, LinkError};
use super::forward_service::serve_channel;
use super::frame::{PEER_PROTOCOL, PeerFrame};
use super::hello_limit::LimitedStream;
use super::hub::PeerHub;
use super::queue::FrameQueue;
use super::silent_links::SilentLinks;
use super::slot::PeerSlot;
use super::socket::{FrameReceiver, FrameSender, socket_config, split_socket, with_timeout};
use super::traffic::frame_kind;
use super::transport::{AcceptedStream, PeerAcceptor, PeerStream};
use crate::clock::{SystemClock, TimeSource};

/// Time between two checks for a free handshake slot while all slots are in use.
const HANDSHAKE_PAUSE: Duration = Duration::from_millis(5);
/// Wait after a failed accept, for example when no file handle is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links until the task is dropped; dropping it ends all links that it accepted.
pub(super) async fn accept_streams(
    hub: PeerHub,
    listener: TcpListener,
    acceptor: Arc<dyn PeerAcceptor>,
) {
    let mut links = JoinSet::new();
    let mut silent = SilentLinks::default();
    loop {
        while links.try_join_next().is_some() {}
        if hub.shared.handshakes.available_permits() == 0 {
            // The operating system queues further connections. If they were closed here, the peers
            // would connect again at once.
            sleep(HANDSHAKE_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, address)) => {
                if links.len() >= hub.shared.settings.max_links && !silent.end_oldest() {
                    log::warn!(peer:% = address; "connection of a peer refused: limit of links reached");
                    continue;
                }
                let has_spoken = Arc::new(AtomicBool::new(false));
                let serving = serve_tcp(
                    hub.clone(),
                    stream,
                    acceptor.clone(),
                    Arc::clone(&has_spoken),
                );
                silent.add(links.spawn(serving), has_spoken);
            }
            Err(error) => {
                log::warn!(error:% = error; "can't accept a connection of a peer");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_tcp(
    hub: PeerHub,
    stream: TcpStream,
    acceptor: Arc<dyn PeerAcceptor>,
    has_spoken: Arc<AtomicBool>,
) {
    let handshake_timeout = hub.shared.settings.handshake_timeout;
    // A connection that sends nothing takes no slot of the handshakes.
    if !matches!(
        timeout(handshake_timeout, stream.readable()).await,
        Ok(Ok(()))
    ) {
        return;
    }
    has_spoken.store(true, Ordering::Relaxed);
    let accepted = match timeout(handshake_timeout, acceptor.accept(stream)).await {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(error)) => {
            log::debug!(error:% = error; "handshake of a peer's connection failed");
            return;
        }
        Err(_) => return,
    };
    let error = serve_stream(&hub, accepted).await;
    log::debug!(error:% = error; "link from a peer ended");
}

/// Serves one accepted link and returns the error that ended it.
///
/// The number of concurrent handshakes and the time of each are limited, so that untrusted clients
/// use limited resources.
pub async fn serve_stream(hub: &PeerHub, accepted: AcceptedStream) -> LinkError {
    let waiting = timeout(
        hub.shared.settings.handshake_timeout,
        hub.shared.handshakes.acquire(),
    );
    let Ok(Ok(permit)) = waiting.await else {
        return LinkError::Timeout {
            step: "wait for a handshake slot",
        };
    };
    let handshake = timeout(
        hub.shared.settings.handshake_timeout,
        exchange_hello(hub, accepted),
    )
    .await;
    drop(permit);
    match handshake {
        Ok(Ok(link)) if link.is_forwarding => run_forwarding(hub, link).await,
        Ok(Ok(link)) => run_link(hub, link).await,
        Ok(Err(error)) => error,
        Err(_) => LinkError::Timeout { step: "handshake" },
    }
}

/// Accepted link, after the exchange of hellos.
struct AcceptedLink {
    host: HostName,
    /// Whether it is a channel for forwarded requests.
    is_forwarding: bool,
    sender: FrameSender,
    receiver: FrameReceiver,
}

async fn exchange_hello(
    hub: &PeerHub,
    accepted: AcceptedStream,
) -> Result<AcceptedLink, LinkError> {
    let settings = &hub.shared.settings;
    let (stream, limit) = LimitedStream::new(accepted.stream);
    let stream: Box<dyn PeerStream> = Box::new(stream);
    let handshake = accept_async_with_config(stream, Some(socket_config(settings)));
    let socket = with_timeout("handshake", settings.handshake_timeout, handshake).await?;
    let (mut sender, mut receiver) = split_socket(socket, settings, hub.work());
    let first = receiver.receive().await?;
    match check_hello(hub, &first, accepted.proven) {
        Ok(host) => {
            limit.lift();
            sender.send(&hub.hello()).await?;
            Ok(AcceptedLink {
                host,
                is_forwarding: matches!(first, PeerFrame::OpenForwarding(_)),
                sender,
                receiver,
            })
        }
        Err(refusal) => {
            sender.send(&PeerFrame::Refusal(refusal.clone())).await?;
            Err(LinkError::Refusing { refusal })
        }
    }
}

fn check_hello(
    hub: &PeerHub,
    first: &PeerFrame,
    proven: Option<HostName>,
) -> Result<HostName, HelloRefusal> {
    let (hello, is_forwarding) = match first {
        PeerFrame::Hello(hello) => (hello, false),
        PeerFrame::OpenForwarding(hello) if hub.forward_handler().is_some() => (hello, true),
        _ => return Err(HelloRefusal::NoHello),
    };
    if hello.protocol != PEER_PROTOCOL {
        return Err(HelloRefusal::Protocol {
            found: hello.protocol,
            spoken: PEER_PROTOCOL,
        });
    }
    let host = hello.host.clone();
    // A host that only forwards requests is no peer: hosts without a keeper have no links to each
    // other.
    let is_known = match (hub.discovery(), hello.reach.clone()) {
        (Some(_), Some(_)) if is_forwarding => true,
        (Some(discovery), Some(reach)) => {
            discovery.record_hello(hub, &host, reach);
            hub.slot(&host).is_some()
        }
        _ => hub.slot(&host).is_some(),
    };
    if !is_known {
        return Err(HelloRefusal::UnknownHost { host });
    }
    match proven {
        Some(proven) if proven != host => Err(HelloRefusal::OtherProof { host, proven }),
        _ => Ok(host),
    }
}

async fn run_forwarding(hub: &PeerHub, link: AcceptedLink) -> LinkError {
    let Some(handler) = hub.forward_handler() else {
        return LinkError::Closed;
    };
    let running = &hub.shared.forwarded;
    serve_channel(&link.host, &handler, running, link.sender, link.receiver).await
}

async fn run_link(hub: &PeerHub, mut link: AcceptedLink) -> LinkError {
    let Some(slot) = hub.slot(&link.host) else {
        return LinkError::Closed;
    };
    let replies = Arc::new(FrameQueue::new(&hub.shared.settings));
    slot.open_replies(&replies);
    let error = serve_frames(hub, &slot, &mut link, &replies).await;
    slot.close_replies(&replies);
    error
}

async fn serve_frames(
    hub: &PeerHub,
    slot: &PeerSlot,
    link: &mut AcceptedLink,
    replies: &FrameQueue,
) -> LinkError {
    // As on outbound links, this clock runs on while the machine is suspended.
    let clock = SystemClock::default();
    let mut last_received = clock.now();
    let mut silence_check_interval = interval(hub.shared.settings.heartbeat);
    silence_check_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let step = tokio::select! {
            biased;
            () = replies.ready() => link.sender.send_queued(replies).await,
            frame = receive(hub, &link.host, &mut link.receiver) => {
                last_received = clock.now();
                match frame {
                    Ok(frame) => {
                        hub.record_heard(slot);
                        match frame {
                            Some(frame) => receive_frame(hub, link, frame).await,
                            None => Ok(()),
                        }
                    }
                    Err(error) => Err(error),
                }
            }
            _ = silence_check_interval.tick() => {
                // The peer may know of more hosts than this process; its heartbeat interval is then
                // longer.
                let silence_timeout = hub.timing_of(&link.host).silence_timeout * 2;
                if clock.now().since(last_received) > silence_timeout {
                    Err(LinkError::Silent)
                } else {
                    Ok(())
                }
            }
        };
        if let Err(error) = step {
            return error;
        }
    }
}

/// Waits for the next frame of `host`; `None` for one that was put aside.
async fn receive(
    hub: &PeerHub,
    host: &HostName,
    receiver: &mut FrameReceiver,
) -> Result<Option<PeerFrame>, LinkError> {
    if hub.defers_frames() {
        return receiver
            .receive_unless(|bytes| hub.defer_frame(host, bytes))
            .await;
    }
    receiver.receive().await.map(Some)
}

async fn receive_frame(
    hub: &PeerHub,
    link: &mut AcceptedLink,
    frame: PeerFrame,
) -> Result<(), LinkError> {
    match frame {
        PeerFrame::Heartbeat(number) => link.sender.send(&PeerFrame::Echo(number)).await?,
        PeerFrame::Answer { number, answer } => {
            hub.shared.calls.complete(&link.host, number, answer);
        }
        PeerFrame::Hello(_)
        | PeerFrame::OpenForwarding(_)
        | PeerFrame::Refusal(_)
        | PeerFrame::Echo(_) => {
            return Err(LinkError::Unexpected {
                description: "handshake frame after the handshake",
            });
        }
        PeerFrame::Hosts { keepers, entries } => {
            if let Some(discovery) = hub.discovery() {
                discovery.receive_hosts(hub, &keepers, entries);
            }
        }
        frame => {
            let kind = frame_kind(&frame);
            let handle = || hub.shared.handler.handle(hub, &link.host, frame);
            hub.work().measure(kind, handle);
        }
    }
    Ok(())
}
