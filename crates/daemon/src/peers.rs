//! Links between the system's own processes: one outbound websocket to each peer.
//!
//! A process sends on the links that it opened and reads from those that it accepted. Sending
//! never waits: agreement traffic, which is repeated anyway, pushes out its own oldest frames;
//! everything else is refused while a link is down, so that the caller knows it was not sent.

mod backoff;
mod calls;
mod compression;
mod discovery;
mod error;
mod frame;
mod hub;
mod inbound;
mod outbound;
mod queue;
mod settings;
mod socket;
mod status;
mod transport;

pub use calls::{CallError, CallNumber};
pub use discovery::{DiscoveryStart, PeerDiscovery};
pub use error::{HelloRefusal, LinkError};
pub use frame::{
    ConfigurationContent, ConfigurationFrame, FrameBytes, FrameError, HeartbeatNumber,
    KeeperIntroduction, PEER_PROTOCOL, PeerAnswer, PeerCall, PeerFrame, PeerHello, PeerQuestion,
    decode_agreement, decode_frame, encode_agreement, encode_frame,
};
pub use hub::{PeerAddress, PeerHandler, PeerHub, PeerNode, PeerTasks, start_peers};
pub use inbound::serve_stream;
pub use queue::SendRefusal;
pub use settings::LinkSettings;
pub use status::PeerStatus;
pub use transport::{
    AcceptedStream, BoxFuture, PeerAcceptor, PeerDialer, PeerStream, PlainTransport,
};
