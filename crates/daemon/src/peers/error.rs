//! Errors that end a link.

use derive_more::{Display, Error};
use pollendrift_coordination::base::HostName;
use serde::{Deserialize, Serialize};

use super::frame::FrameError;

/// Reason why a hello was refused; sent to the peer, which logs it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloRefusal {
    /// The protocol versions differ.
    #[display("protocol version {found} is not supported (supported: {spoken})")]
    Protocol {
        /// Version in the hello.
        found: u32,
        /// Version of this process.
        spoken: u32,
    },
    /// The host is no known peer.
    #[display("host {host} is not in the settings")]
    UnknownHost {
        /// Host in the hello.
        host: HostName,
    },
    /// The certificate belongs to another host.
    #[display("hello names host {host}, but the certificate proves {proven}")]
    OtherProof {
        /// Host in the hello.
        host: HostName,
        /// Host that the certificate proves.
        proven: HostName,
    },
    /// The first frame was not a hello.
    #[display("first frame is not a hello")]
    NoHello,
}

/// Error that ended a link.
#[derive(Debug, Display, Error)]
pub enum LinkError {
    /// Connecting failed.
    #[display("can't connect: {_0}")]
    Dial(std::io::Error),
    /// The websocket failed.
    #[display("connection failed: {reason}")]
    Socket {
        /// Error text of the websocket library.
        reason: String,
    },
    /// A step took too long.
    #[display("{step} timed out")]
    Timeout {
        /// Step that timed out.
        step: &'static str,
    },
    /// A frame can't be encoded or decoded.
    #[display("{_0}")]
    Frame(FrameError),
    /// The peer refused the hello.
    #[display("peer refused: {refusal}")]
    Refused {
        /// Reason that the peer sent.
        refusal: HelloRefusal,
    },
    /// This process refused the hello.
    #[display("refused: {refusal}")]
    Refusing {
        /// Reason that was sent to the peer.
        refusal: HelloRefusal,
    },
    /// Another host answered at the address.
    #[display("found host {found} at the address of host {expected}")]
    WrongHost {
        /// Host that answered.
        found: HostName,
        /// Host that was expected at the address.
        expected: HostName,
    },
    /// A frame or message arrived that is not allowed on this link at this time.
    #[display("unexpected frame: {description}")]
    Unexpected {
        /// Description of the frame.
        description: &'static str,
    },
    /// No frame arrived in time: the peer or the network path to it has failed.
    #[display("no frame of the peer within the silence timeout")]
    Silent,
    /// The peer closed the link.
    #[display("peer closed the link")]
    Closed,
}
