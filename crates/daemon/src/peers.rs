//! Links between daemons: each process opens one websocket to each peer.
//!
//! A process sends frames on the links that it opened and receives frames on the links that it
//! accepted; answers to calls and echoes go back on the link of the call or heartbeat. Sending
//! never waits. A full queue drops its oldest agreement frames, which the core repeats, and refuses
//! all other frames. While a link is down, every frame is refused, so that the caller knows that it
//! was not sent.

mod backlog;
mod backoff;
mod calls;
mod compression;
mod discovery;
mod error;
mod forward_channel;
mod forward_frame;
mod forward_service;
mod frame;
mod hello_limit;
mod hub;
mod inbound;
mod outbound;
mod queue;
mod settings;
mod silent_links;
mod slot;
mod socket;
mod status;
mod traffic;
mod transport;

pub use calls::{CallError, CallNumber, PendingCall};
pub use discovery::{DiscoveryStart, PeerDiscovery};
pub use error::{HelloRefusal, LinkError};
pub use forward_channel::{
    ForwardChannel, ForwardError, ForwardedHistory, ForwardedPart, ForwardedRequest,
};
pub use forward_frame::{ForwardFrame, ForwardHeader, ForwardRefusal, ForwardedHead};
pub use forward_service::{ForwardHandler, ForwardedAnswer, ReceivedRequest};
pub use frame::{
    ConfigurationContent, ConfigurationFrame, FrameBytes, FrameError, HeartbeatNumber,
    KeeperIntroduction, PEER_PROTOCOL, PartitionNotice, PeerAnswer, PeerCall, PeerFrame, PeerHello,
    PeerQuestion, decode_agreement, decode_frame, encode_agreement, encode_frame,
};
pub use hub::{PeerAddress, PeerHandler, PeerHub, PeerNode, PeerTasks, start_peers};
pub use inbound::serve_stream;
pub use queue::SendRefusal;
pub use settings::LinkSettings;
pub use status::PeerStatus;
pub use traffic::FrameCount;
pub use transport::{
    AcceptedStream, BoxFuture, PeerAcceptor, PeerDialer, PeerStream, PlainTransport,
};
