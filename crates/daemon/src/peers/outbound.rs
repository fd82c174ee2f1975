//! The link that this process opens to one peer.

use std::net::SocketAddr;
use std::sync::Arc;

use pollendrift_coordination::base::HostName;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_tungstenite::client_async_with_config;

use super::backoff::RetryBackoff;
use super::error::LinkError;
use super::frame::{HeartbeatNumber, PeerFrame, PeerHello};
use super::hub::{PeerHub, PeerSlot};
use super::socket::{FrameReceiver, FrameSender, socket_config, split_socket, with_timeout};
use crate::clock::{SystemClock, TimeSource};

/// Address in the websocket's handshake; peers ignore it.
const HANDSHAKE_URL: &str = "ws://peer/";

/// Keeps one link open for as long as the process runs.
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
                slot.mark_down(error.to_string());
                error
            }
        };
        log::debug!(peer:% = host, error:% = error; "link to a peer ended");
        sleep(backoff.next_wait(hub.timing_of(host).max_backoff)).await;
    }
}

/// Differs for each pair of hosts, and is the same at every start.
fn salt_of(hub: &PeerHub, slot: &PeerSlot) -> u64 {
    let pair = format!("{} {}", hub.host(), slot.peer.host);
    pair.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

async fn open_link(
    hub: &PeerHub,
    slot: &PeerSlot,
) -> Result<(FrameSender, FrameReceiver), LinkError> {
    let _permit = hub.shared.dials.acquire().await;
    let opening = connect(hub, slot);
    timeout(hub.timing_of(&slot.peer.host).handshake, opening)
        .await
        .map_err(|_| LinkError::Timeout {
            step: "the handshake",
        })?
}

async fn connect(
    hub: &PeerHub,
    slot: &PeerSlot,
) -> Result<(FrameSender, FrameReceiver), LinkError> {
    let (hello, sender, receiver) = exchange_hello(hub, &slot.peer.host, slot.peer.address).await?;
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

/// Asks whoever listens at `address` who it is; the link ends at once.
pub(super) async fn request_hello(
    hub: &PeerHub,
    expected: &HostName,
    address: SocketAddr,
) -> Result<PeerHello, LinkError> {
    let _permit = hub.shared.dials.acquire().await;
    let asking = exchange_hello(hub, expected, address);
    let (hello, _, _) = timeout(hub.shared.settings.handshake_timeout, asking)
        .await
        .map_err(|_| LinkError::Timeout {
            step: "the handshake",
        })??;
    Ok(hello)
}

async fn exchange_hello(
    hub: &PeerHub,
    expected: &HostName,
    address: SocketAddr,
) -> Result<(PeerHello, FrameSender, FrameReceiver), LinkError> {
    let settings = &hub.shared.settings;
    let dialing = hub.shared.dialer.dial(expected, address);
    let stream = dialing.await.map_err(LinkError::Dial)?;
    let handshake = client_async_with_config(HANDSHAKE_URL, stream, Some(socket_config(settings)));
    let patience = hub.timing_of(expected).handshake;
    let (socket, _) = with_timeout("the handshake", patience, handshake).await?;
    let (mut sender, mut receiver) = split_socket(socket, settings);
    sender.send(&hub.hello()).await?;
    match receiver.receive().await? {
        PeerFrame::Hello(hello) => Ok((hello, sender, receiver)),
        PeerFrame::Refusal(refusal) => Err(LinkError::Refused { refusal }),
        _ => Err(LinkError::Unexpected {
            what: "first frame is no hello",
        }),
    }
}

/// Sends what is queued, and heartbeats; returns why the link ended.
///
/// A peer whose host lost power sends no reset: writes go on into the socket's buffer and look
/// like a working link. Only echoes prove that somebody reads, so their lack ends the link. The
/// silence counts by a clock that goes on while this machine is suspended: woken up, it would else
/// take peers for reached that gave it up long ago, and acknowledge what nobody else hears of.
async fn run_link(
    hub: &PeerHub,
    slot: &PeerSlot,
    mut sender: FrameSender,
    mut receiver: FrameReceiver,
) -> LinkError {
    let host = &slot.peer.host;
    let mut pace = hub.timing_of(host);
    let mut next_heartbeat = Instant::now();
    let mut sent = HeartbeatNumber::default();
    let mut sent_at = Instant::now();
    let clock = SystemClock::default();
    let mut heard_at = clock.now();
    loop {
        let step = tokio::select! {
            // What has come is taken before the silence is looked at: a host that was late itself would else
            // take peers for silent whose echoes wait.
            biased;
            frame = receiver.receive() => {
                heard_at = clock.now();
                frame.and_then(|frame| take_frame(hub, slot, frame, sent, sent_at))
            }
            () = slot.queue.ready() => sender.send_queued(&slot.queue).await,
            () = sleep_until(next_heartbeat) => {
                if clock.now().since(heard_at) > pace.silence_timeout {
                    return LinkError::Silent;
                }
                pace = hub.timing_of(host);
                next_heartbeat = Instant::now() + pace.heartbeat;
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

/// The peer sends only echoes and answers on a link that this process opened.
fn take_frame(
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
                what: "neither an echo nor an answer",
            });
        }
    }
    Ok(())
}
