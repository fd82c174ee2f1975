//! Why a link ended.

use derive_more::{Display, Error};
use pollendrift_coordination::base::HostName;
use serde::{Deserialize, Serialize};

use super::frame::FrameError;

/// Why a hello was refused; the other side logs it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloRefusal {
    /// The protocol versions differ.
    #[display("protocol {found} is not spoken here (spoken: {spoken})")]
    Protocol {
        /// Version in the hello.
        found: u32,
        /// Version of this process.
        spoken: u32,
    },
    /// The settings don't name the host.
    #[display("host {host} is not in the settings")]
    UnknownHost {
        /// Host in the hello.
        host: HostName,
    },
    /// The certificate is another host's.
    #[display("hello names host {host}, but the certificate proves {proven}")]
    OtherProof {
        /// Host in the hello.
        host: HostName,
        /// Host that the certificate proves.
        proven: HostName,
    },
    /// The hello came late or was no hello.
    #[display("first frame is not a hello")]
    NoHello,
}

/// Why a link ended.
#[derive(Debug, Display, Error)]
pub enum LinkError {
    /// Connecting failed.
    #[display("can't connect: {_0}")]
    Dial(std::io::Error),
    /// The websocket failed.
    #[display("connection failed: {reason}")]
    Socket {
        /// The library's words.
        reason: String,
    },
    /// A step took too long.
    #[display("no end of {step} in time")]
    Timeout {
        /// The step.
        step: &'static str,
    },
    /// A frame can't be read.
    #[display("{_0}")]
    Frame(FrameError),
    /// The peer refused the hello.
    #[display("peer refused: {refusal}")]
    Refused {
        /// The peer's reason.
        refusal: HelloRefusal,
    },
    /// This process refused the hello.
    #[display("refused: {refusal}")]
    Refusing {
        /// The reason.
        refusal: HelloRefusal,
    },
    /// Another host answered at the address.
    #[display("host {found} answers where {expected} belongs")]
    WrongHost {
        /// Host that answered.
        found: HostName,
        /// Host of the settings.
        expected: HostName,
    },
    /// A frame that has no place here.
    #[display("unexpected frame: {what}")]
    Unexpected {
        /// What came.
        what: &'static str,
    },
    /// The peer has not been heard in time: it or the way to it is gone.
    #[display("peer is silent")]
    Silent,
    /// The peer closed the link.
    #[display("peer closed the link")]
    Closed,
}
