//! What travels between peers: one `ciborium` value in each binary websocket message.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use pollendrift_coordination::agreement::{AgreementEnvelope, KeeperId};
use pollendrift_coordination::base::{HostName, Incarnation, RequestId, Revision, ServerName};
use pollendrift_coordination::configuration::ConfigurationDelta;
use pollendrift_coordination::hosts::{HostGossip, HostReach};
use pollendrift_coordination::leases::{LeaseBatch, LeaseNumber};
use pollendrift_coordination::routing::SurveyResult;
use pollendrift_coordination::streams::StreamUpdate;
use pollendrift_store::JoinedGroup;
use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::calls::CallNumber;
use super::compression::{compress, decompress};
use super::error::HelloRefusal;

/// Version of the frames. Peers of another version are refused, never guessed at.
pub const PEER_PROTOCOL: u32 = 5;

/// Deepest nesting of a frame; the deepest that is sent has about ten levels.
const FRAME_DEPTH: usize = 32;

/// Number of a heartbeat on one link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HeartbeatNumber(pub u64);

/// Bytes that another layer encoded, as one byte string.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FrameBytes(pub Bytes);

impl From<Vec<u8>> for FrameBytes {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Bytes::from(bytes))
    }
}

impl Serialize for FrameBytes {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for FrameBytes {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = FrameBytes;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<FrameBytes, E>
    where
        E: serde::de::Error,
    {
        Ok(FrameBytes(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<FrameBytes, E> {
        Ok(bytes.into())
    }
}

/// First frame of both sides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Version of the frames that follow.
    pub protocol: u32,
    /// Host that speaks.
    pub host: HostName,
    /// Life of its process.
    pub process: Incarnation,
    /// Where it takes links, where hosts find each other.
    pub reach: Option<HostReach>,
}

/// What one process asks of another; the answer carries the same number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCall {
    /// Number, unique in the asking process.
    pub number: CallNumber,
    /// Processes that have already passed the question on.
    pub hops: u8,
    /// Time after which the asker has given up; the answer is then of no use.
    pub patience: Duration,
    /// The question.
    pub question: PeerQuestion,
}

/// A keeper, its group, and whom it takes for keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperIntroduction {
    /// The keeper.
    pub keeper: KeeperId,
    /// Its group; `None` while it has none.
    pub group: Option<JoinedGroup>,
    /// Hosts that its settings name as keepers, sorted.
    pub keepers: Vec<HostName>,
    /// In an answer: an incarnation of the asker's host that stands against the asker's.
    pub outranked_by: Option<Incarnation>,
}

/// A question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerQuestion {
    /// Run a command through the agreement group.
    Submit(FrameBytes),
    /// Which log index must be applied to read what was accepted before this question?
    ReadBarrier,
    /// Which configuration is in force, by a quorum-checked read?
    ConfigurationAfter {
        /// Revision that the asker holds; its content is left out of the answer.
        have: Option<Revision>,
    },
    /// An operator's question that needs a keeper, encoded.
    Operator(FrameBytes),
    /// What is known of a request?
    RequestLookUp(RequestId),
    /// Which keeper are you, and of which group? Asked by a keeper that belongs to none.
    Introduction(KeeperIntroduction),
    /// Take this keeper into the group, or the next step of that.
    Join(KeeperId),
}

/// What leads the asker to a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationContent {
    /// Nothing: the asker holds it.
    Unchanged,
    /// What changed since the revision that the asker holds.
    Delta(ConfigurationDelta),
    /// Canonical text.
    Whole(FrameBytes),
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The command ran; the state machine's answer.
    Submitted(FrameBytes),
    /// Configuration that was in force when the question was read.
    Configuration {
        /// Its revision.
        revision: Revision,
        /// What the asker lacks of it.
        content: ConfigurationContent,
    },
    /// Encoded answer to an operator's question.
    Operator(FrameBytes),
    /// Log index that must be applied.
    Readable(u64),
    /// Encoded record of the request; `None` if this host knows nothing of it.
    Request(Option<FrameBytes>),
    /// Which keeper this is.
    Introduced(KeeperIntroduction),
    /// It was not done here, and may be asked elsewhere: this keeper doesn't lead.
    NotLeader {
        /// Who does, where known.
        leader: Option<HostName>,
    },
    /// It was not done, and won't be.
    NotRun {
        /// Why.
        reason: String,
    },
    /// It may or may not have been done.
    Unknown {
        /// Why.
        reason: String,
    },
}

/// How configurations travel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationFrame {
    /// Sender holds this revision, and it is the newest it knows.
    Holds {
        /// The revision.
        revision: Revision,
    },
    /// Changes that lead on from a revision.
    Push(ConfigurationDelta),
    /// Asks for everything after a revision.
    Pull {
        /// Revision that the asker holds.
        have: Revision,
    },
    /// A whole configuration, where no delta leads to it.
    Whole {
        /// The revision.
        revision: Revision,
        /// Encoded configuration.
        content: FrameBytes,
    },
}

/// One message between peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Opens a link, from both sides.
    Hello(PeerHello),
    /// Answers a hello in place of another; the link ends.
    Refusal(HelloRefusal),
    /// Asks for an echo.
    Heartbeat(HeartbeatNumber),
    /// Answers a heartbeat, on the same link.
    Echo(HeartbeatNumber),
    /// Encoded message of the agreement group.
    Agreement(FrameBytes),
    /// A question.
    Call(PeerCall),
    /// Its answer.
    Answer {
        /// Number of the call.
        number: CallNumber,
        /// The answer.
        answer: PeerAnswer,
    },
    /// Configurations.
    Configuration(ConfigurationFrame),
    /// Hosts that the sender, a keeper, knows of.
    Hosts {
        /// Keepers.
        keepers: Vec<HostGossip>,
        /// Number of the others, which take callers.
        entries: u32,
    },
    /// Tokens that go to a caller of the sender.
    Stream(StreamUpdate),
    /// Leases of backend servers that changed or were renewed.
    Leases(LeaseBatch),
    /// What a survey of engines found.
    Survey {
        /// What it found.
        notes: Vec<SurveyResult>,
        /// Whether the receiver passes it on to hosts that follow it.
        pass_on: bool,
    },
    /// Asks for full announcements of servers that the receiver renewed and the sender lacks.
    LeaseQuestion(Vec<ServerName>),
    /// Asks for the names of leases that the receiver renewed by numbers which the sender lacks, in rising
    /// order.
    LeaseNumbers(Vec<LeaseNumber>),
}

impl PeerFrame {
    /// Whether a newer frame of the same kind makes up for the loss of this one.
    pub(super) fn is_retransmitted(&self) -> bool {
        matches!(self, Self::Agreement(_))
    }

    /// Whether to pack a large frame. Keepers have wide links to each other, and little processor time
    /// for what each of them gets apart.
    fn is_worth_compressing(&self) -> bool {
        !matches!(self, Self::Agreement(_))
    }
}

/// Why bytes are no frame.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// Over the bound.
    #[display("frame of {bytes} bytes is over the bound of {bound}")]
    TooLarge {
        /// Size in bytes.
        bytes: usize,
        /// Bound in bytes.
        bound: usize,
    },
    /// Not a frame of this protocol version.
    #[display("frame can't be read: {reason}")]
    Garbage {
        /// The decoder's words.
        reason: String,
    },
}

/// Encodes a frame of at most `bound` bytes.
///
/// # Errors
/// The frame is larger.
pub fn encode_frame(frame: &PeerFrame, bound: usize) -> Result<Bytes, FrameError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).map_err(|error| FrameError::Garbage {
        reason: error.to_string(),
    })?;
    if bytes.len() > bound {
        let bytes = bytes.len();
        return Err(FrameError::TooLarge { bytes, bound });
    }
    Ok(compress(&bytes, frame.is_worth_compressing()))
}

/// Decodes a frame.
///
/// # Errors
/// The bytes are no frame; any bytes are safe.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, FrameError> {
    let garbage = |reason: String| FrameError::Garbage { reason };
    let unpacked = decompress(bytes)?;
    let mut rest = unpacked.as_ref();
    let frame = ciborium::de::from_reader_with_recursion_limit(&mut rest, FRAME_DEPTH)
        .map_err(|error| garbage(error.to_string()))?;
    if !rest.is_empty() {
        return Err(garbage("bytes behind the frame".to_owned()));
    }
    Ok(frame)
}

/// Encodes a message between keepers, as the content of [`PeerFrame::Agreement`].
///
/// # Errors
/// The message can't be encoded.
pub fn encode_agreement(envelope: &AgreementEnvelope) -> Result<FrameBytes, FrameError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(envelope, &mut bytes).map_err(|error| FrameError::Garbage {
        reason: error.to_string(),
    })?;
    Ok(bytes.into())
}

/// Decodes a message between keepers.
///
/// # Errors
/// The bytes are no message; any bytes are safe.
pub fn decode_agreement(bytes: &[u8]) -> Result<AgreementEnvelope, FrameError> {
    ciborium::de::from_reader_with_recursion_limit(bytes, FRAME_DEPTH).map_err(|error| {
        FrameError::Garbage {
            reason: error.to_string(),
        }
    })
}
