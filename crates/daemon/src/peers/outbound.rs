//! Outbound link from this process to one peer.

use std::net::SocketAddr;
use std::sync::Arc;

use pollendrift_coordination::base::HostName;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_tungstenite::client_async_with_config;

use super::backoff::RetryBackoff;
use super::error::LinkError;
use super::frame::{HeartbeatNumber, PeerFrame, PeerHello};
use super::hub::PeerHub;
use super::slot::PeerSlot;
use super::socket::{FrameReceiver, FrameSender, socket_config, split_socket, with_timeout};
use crate::clock::{SystemClock, TimeSource};

/// URL in the websocket handshake; peers ignore it.
const HANDSHAKE_URL: &str = "ws://peer/";

/// Opens the link to a peer, and opens it again with back-off whenever it ends; never returns.
pub(super) async fn maintain_link(hub: PeerHub, slot: Arc<PeerSlot>) {
    let host = &slot.peer.host;
    let mut backoff = RetryBackoff::new(&hub.shared.settings, salt_of(&hub, &slot));
    loop {
        let error = match open_link(&hub, &slot).await {
            Ok((sender, receiver)) => {
                backoff.reset();
                slot.mark_up();
                if let Some(discovery) = hub.discovery() {
                    discovery.send_keepers(&hub, host);
                }
                hub.shared.handler.link_changed(&hub, host, true);
                let error = run_link(&hub, &slot, sender, receiver).await;
                slot.mark_down(error.to_string());
                hub.shared.calls.fail_all(host);
                hub.shared.handler.link_changed(&hub, host, false);
                error
            }
            Err(error) => {
                slot.record_failed_attempt(&error);
                error
            }
        };
        log::debug!(peer:% = host, error:% = error; "link to a peer ended");
        sleep(backoff.next_wait(hub.timing_of(host).max_backoff)).await;
    }
}

/// Salt of the back-off's jitter: the FNV-1a hash of the names of both hosts, so it differs between
/// pairs of hosts and is the same at every start.
fn salt_of(hub: &PeerHub, slot: &PeerSlot) -> u64 {
    let names = format!("{} {}", hub.host(), slot.peer.host);
    names.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

async fn open_link(
    hub: &PeerHub,
    slot: &PeerSlot,
) -> Result<(FrameSender, FrameReceiver), LinkError> {
    let _permit = hub.shared.dials.acquire().await;
    let connection = connect(hub, slot);
    timeout(hub.timing_of(&slot.peer.host).handshake, connection)
        .await
        .map_err(|_| LinkError::Timeout { step: "handshake" })?
}

async fn connect(
    hub: &PeerHub,
    slot: &PeerSlot,
) -> Result<(FrameSender, FrameReceiver), LinkError> {
    let exchange = exchange_hello(hub, &slot.peer.host, slot.peer.address, hub.hello());
    let (hello, sender, receiver) = exchange.await?;
    if hello.host != slot.peer.host {
        return Err(LinkError::WrongHost {
            found: hello.host,
            expected: slot.peer.host.clone(),
        });
    }
    if let (Some(discovery), Some(reach)) = (hub.discovery(), hello.reach) {
        discovery.record_hello(hub, &hello.host, reach);
    }
    Ok((sender, receiver))
}

/// Exchanges hellos with the host at `address`, closes the link and returns the hello of that host.
pub(super) async fn request_hello(
    hub: &PeerHub,
    expected: &HostName,
    address: SocketAddr,
) -> Result<PeerHello, LinkError> {
    let _permit = hub.shared.dials.acquire().await;
    let exchange = exchange_hello(hub, expected, address, hub.hello());
    let (hello, _, _) = timeout(hub.shared.settings.handshake_timeout, exchange)
        .await
        .map_err(|_| LinkError::Timeout { step: "handshake" })??;
    Ok(hello)
}

/// Connects to the host `expected` at `address`, sends `first` and returns the hello of the host.
pub(super) async fn exchange_hello(
    hub: &PeerHub,
    expected: &HostName,
    address: SocketAddr,
    first: PeerFrame,
) -> Result<(PeerHello, FrameSender, FrameReceiver), LinkError> {
    let settings = &hub.shared.settings;
    let connection = hub.shared.dialer.dial(expected, address);
    let stream = connection.await.map_err(LinkError::Dial)?;
    let handshake = client_async_with_config(HANDSHAKE_URL, stream, Some(socket_config(settings)));
    let handshake_timeout = hub.timing_of(expected).handshake;
    let (socket, _) = with_timeout("handshake", handshake_timeout, handshake).await?;
    let (mut sender, mut receiver) = split_socket(socket, settings, hub.work());
    sender.send(&first).await?;
    match receiver.receive().await? {
        PeerFrame::Hello(hello) => Ok((hello, sender, receiver)),
        PeerFrame::Refusal(refusal) => Err(LinkError::Refused { refusal }),
        _ => Err(LinkError::Unexpected {
            description: "first frame is neither a hello nor a refusal",
        }),
    }
}

/// Sends queued frames and heartbeats; returns the error that ended the link.
///
/// A host that loses power sends no TCP reset: on this host, writes still succeed into the buffer,
/// and the link looks up. Only received frames prove that the peer reads, so the link ends when
/// none arrives in time. The time of silence is measured by a clock that runs on while this machine
/// is suspended. Otherwise a resumed machine would treat its links as up although the peers closed
/// them long ago, and acknowledge changes that reach no other host.
async fn run_link(
    hub: &PeerHub,
    slot: &PeerSlot,
    mut sender: FrameSender,
    mut receiver: FrameReceiver,
) -> LinkError {
    let host = &slot.peer.host;
    let mut timing = hub.timing_of(host);
    let mut next_heartbeat = Instant::now();
    let mut sent = HeartbeatNumber::default();
    let mut sent_at = Instant::now();
    let clock = SystemClock::default();
    let mut last_received = clock.now();
    loop {
        let step = tokio::select! {
            // Received frames are handled before the check of the silence timeout. Otherwise a
            // delayed host would treat peers as silent whose echoes wait in its socket.
            biased;
            frame = receiver.receive() => {
                last_received = clock.now();
                frame.and_then(|frame| {
                    hub.record_heard(slot);
                    receive_frame(hub, slot, frame, sent, sent_at)
                })
            }
            () = slot.queue.ready() => sender.send_queued(&slot.queue).await,
            () = sleep_until(next_heartbeat) => {
                if clock.now().since(last_received) > timing.silence_timeout {
                    return LinkError::Silent;
                }
                timing = hub.timing_of(host);
                next_heartbeat = Instant::now() + timing.heartbeat;
                sent = HeartbeatNumber(sent.0 + 1);
                sent_at = Instant::now();
                sender.send(&PeerFrame::Heartbeat(sent)).await
            }
        };
        if let Err(error) = step {
            return error;
        }
    }
}

/// Handles an echo or an answer. A peer sends no other frames on a link that this process opened.
fn receive_frame(
    hub: &PeerHub,
    slot: &PeerSlot,
    frame: PeerFrame,
    sent: HeartbeatNumber,
    sent_at: Instant,
) -> Result<(), LinkError> {
    match frame {
        PeerFrame::Echo(number) if number == sent => slot.record_round_trip(sent_at.elapsed()),
        PeerFrame::Echo(_) => {}
        PeerFrame::Answer { number, answer } => {
            hub.shared.calls.complete(&slot.peer.host, number, answer);
        }
        _ => {
            return Err(LinkError::Unexpected {
                description: "neither an echo nor an answer",
            });
        }
    }
    Ok(())
}
