//! Frames between peers: each binary websocket message contains one CBOR value of `ciborium`.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use pollendrift_coordination::agreement::{AgreementEnvelope, KeeperId};
use pollendrift_coordination::backpressure::RateBatch;
use pollendrift_coordination::base::{
    HostName, Incarnation, RequestId, Revision, ServerName, ServiceName,
};
use pollendrift_coordination::configuration::ConfigurationDelta;
use pollendrift_coordination::demand::DemandBatch;
use pollendrift_coordination::forwarding::ForwardHost;
use pollendrift_coordination::hosts::{HostGossip, HostReach};
use pollendrift_coordination::leases::{LeaseBatch, LeaseNumber};
use pollendrift_coordination::poison::PoisonNotice;
use pollendrift_coordination::quarantine::QuarantineNotice;
use pollendrift_coordination::routing::SurveyResult;
use pollendrift_coordination::streams::StreamUpdate;
use pollendrift_store::JoinedGroup;
use serde::de::{DeserializeOwned, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::calls::CallNumber;
use super::compression::{compress, decompress};
use super::error::HelloRefusal;

/// Protocol version. Peers with another version are refused.
pub const PEER_PROTOCOL: u32 = 5;

/// Maximum nesting depth of a decoded frame; sent frames have at most about ten levels.
const FRAME_DEPTH: usize = 32;

/// Variants of [`PeerFrame`] that may wait: what hosts tell each other in passing, and repeat.
const DEFERRABLE_FRAMES: [&str; 3] = ["Survey", "LeaseQuestion", "LeaseNumbers"];

/// Number of a heartbeat, increasing on one link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HeartbeatNumber(pub u64);

/// Content that another layer encoded; serialized as one byte string.
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

/// First frame that each side of a link sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Protocol version of the sender.
    pub protocol: u32,
    /// Host of the sender.
    pub host: HostName,
    /// Incarnation of the sender's process.
    pub process: Incarnation,
    /// Endpoint of the sender; `None` without discovery.
    pub reach: Option<HostReach>,
}

/// Call of one process to another; its answer has the same number. A call contains a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCall {
    /// Number of the call, unique in the calling process.
    pub number: CallNumber,
    /// Number of processes that have forwarded the call.
    pub hops: u8,
    /// Timeout of the requester; it ignores a later answer.
    pub patience: Duration,
    /// Content of the call.
    pub question: PeerQuestion,
}

/// A keeper, its group, and the hosts that it knows as founders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperIntroduction {
    /// Host and incarnation of the keeper.
    pub keeper: KeeperId,
    /// Group of the keeper; `None` while it has none.
    pub group: Option<JoinedGroup>,
    /// Founders that the keeper knows, from its settings or its seeds, sorted; empty until all are
    /// known.
    pub keepers: Vec<HostName>,
    /// Only in an answer to a requester that is no member: the higher or equal incarnation that is
    /// already known for the requester's host. The requester must raise its own above it.
    pub outranked_by: Option<Incarnation>,
}

/// Question of a call: its content, without number and timeout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerQuestion {
    /// Requests a command to run through the agreement group.
    Submit(FrameBytes),
    /// Requests the log index that a state must contain to include every command accepted before
    /// this question.
    ReadBarrier,
    /// Requests the configuration in force, by a quorum-checked read.
    ConfigurationAfter {
        /// Revision that the requester has; the answer omits its content.
        have: Option<Revision>,
        /// Maximum size in bytes of the content, before compression; an answer with a larger one
        /// names only the revision. `None` for no limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        max_bytes: Option<u64>,
    },
    /// Encoded question of an operator that only a keeper can answer.
    Operator(FrameBytes),
    /// Requests the stored record of a request.
    RequestLookUp(RequestId),
    /// Introduces a keeper without a group; requests the receiver's introduction.
    Introduction(KeeperIntroduction),
    /// Requests the next step that adds this keeper to the membership.
    Join(KeeperId),
}

/// Content of a configuration, relative to the revision that the requester has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationContent {
    /// The requester has the configuration already, or its content is larger than the requester takes.
    Unchanged,
    /// Changes since the revision that the requester has.
    Delta(ConfigurationDelta),
    /// Canonical text of the complete configuration.
    Whole(FrameBytes),
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The command ran; contains the answer of the state machine.
    Submitted(FrameBytes),
    /// Configuration that was in force when the question was processed.
    Configuration {
        /// Revision of the configuration.
        revision: Revision,
        /// Content that the requester lacks.
        content: ConfigurationContent,
    },
    /// Encoded answer to a question of an operator.
    Operator(FrameBytes),
    /// Log index that a state must contain to be read.
    Readable(u64),
    /// Encoded record of the request; `None` if this host has none.
    Request(Option<FrameBytes>),
    /// The receiver has stored what its sender waits for: an update of a stream, or leases.
    Stored,
    /// Introduction of the answering keeper.
    Introduced(KeeperIntroduction),
    /// This keeper doesn't lead and ran nothing; the requester may call another keeper.
    NotLeader {
        /// Host of the leader, if known.
        leader: Option<HostName>,
    },
    /// The request did not run and never will.
    NotRun {
        /// Reason of the refusal.
        reason: String,
    },
    /// The request may have run.
    Unknown {
        /// Reason why the outcome is unknown.
        reason: String,
    },
}

/// Frame that transfers configurations or announces revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationFrame {
    /// Announces the newest revision that the sender has.
    Holds {
        /// Revision that the sender has.
        revision: Revision,
    },
    /// Changes since a revision.
    Push(ConfigurationDelta),
    /// Requests all changes since a revision.
    Pull {
        /// Revision that the requester has.
        have: Revision,
    },
    /// A complete configuration, if no delta to it is available.
    Whole {
        /// Revision of the configuration.
        revision: Revision,
        /// Encoded configuration.
        content: FrameBytes,
    },
}

/// What hosts tell each other about hosts that reach no server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionNotice {
    /// Services that the sender, which accepts callers, does not reach.
    Unreachable {
        /// Names of the services; empty once it reaches all.
        services: Vec<ServiceName>,
        /// Whether the receiver, a keeper, is to answer with the hosts that requests may be
        /// forwarded to.
        wants_hosts: bool,
    },
    /// Hosts that requests may be forwarded to.
    Hosts(Vec<ForwardHost>),
}

/// One message between peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Opens a link; each side sends one.
    Hello(PeerHello),
    /// Opens a channel for forwarded requests instead of a link; answered with a hello. All later
    /// frames are [`super::ForwardFrame`]s. An older process refuses it, which ends only the channel.
    OpenForwarding(PeerHello),
    /// Refuses a hello; the link ends.
    Refusal(HelloRefusal),
    /// Requests an echo.
    Heartbeat(HeartbeatNumber),
    /// Answers a heartbeat, on the same link.
    Echo(HeartbeatNumber),
    /// Encoded message between keepers of the agreement group.
    Agreement(FrameBytes),
    /// Call to the receiver.
    Call(PeerCall),
    /// Answer to a call.
    Answer {
        /// Number of the answered call.
        number: CallNumber,
        /// Content of the answer.
        answer: PeerAnswer,
    },
    /// Configuration or revision.
    Configuration(ConfigurationFrame),
    /// Hosts that the sender, a keeper, knows.
    Hosts {
        /// Known keepers.
        keepers: Vec<HostGossip>,
        /// Number of the other hosts, which have no keeper.
        entries: u32,
    },
    /// Progress of a stream to a caller of the sender.
    Stream(StreamUpdate),
    /// Leases of backend servers that changed or were renewed.
    Leases(LeaseBatch),
    /// Results of a survey of engines.
    Survey {
        /// Survey results.
        notes: Vec<SurveyResult>,
        /// Whether the receiver forwards the results to the hosts that follow it.
        pass_on: bool,
        /// Demand for rate-limited servers. It is a part of this frame because an older process
        /// ignores an unknown part, but breaks the link after an unknown frame.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rates: Option<RateBatch>,
        /// Hosts that reach no server of a service; a part of this frame like `rates`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        partition: Option<PartitionNotice>,
        /// Prompt parts that crash engines; a part of this frame like `rates`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        quarantine: Option<QuarantineNotice>,
        /// Requests under which servers end; a part of this frame like `rates`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        poison: Option<Box<PoisonNotice>>,
        /// Demand for services; a part of this frame like `rates`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        demand: Option<DemandBatch>,
    },
    /// Requests full announcements of servers that the receiver renewed and the sender lacks.
    LeaseQuestion(Vec<ServerName>),
    /// Requests the names of leases that the receiver renewed by numbers unknown to the sender, in
    /// ascending order.
    LeaseNumbers(Vec<LeaseNumber>),
}

impl PeerFrame {
    /// Whether a later frame of the same kind corrects the loss of this one.
    pub(super) fn is_retransmitted(&self) -> bool {
        matches!(self, Self::Agreement(_))
    }

    /// Whether to compress a large frame. Agreement messages are not compressed: links between
    /// keepers have high bandwidth, and a keeper encodes a separate message for each other keeper,
    /// which would use too much processor time.
    fn is_worth_compressing(&self) -> bool {
        !matches!(self, Self::Agreement(_))
    }
}

/// Error of encoding or decoding a frame.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is larger than the limit.
    #[display("frame of {bytes} bytes is over the bound of {bound}")]
    TooLarge {
        /// Size in bytes.
        bytes: usize,
        /// Limit in bytes.
        bound: usize,
    },
    /// The value can't be encoded, or the bytes are no frame of this protocol version.
    #[display("frame can't be read: {reason}")]
    Garbage {
        /// Error text of the encoder or decoder.
        reason: String,
    },
}

/// Encodes a frame of at most `bound` bytes, before compression.
///
/// # Errors
/// The frame is larger, or can't be encoded.
pub fn encode_frame(frame: &PeerFrame, bound: usize) -> Result<Bytes, FrameError> {
    encode_value(frame, bound, frame.is_worth_compressing())
}

/// Decodes a frame.
///
/// # Errors
/// The bytes are no frame; untrusted bytes are safe.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, FrameError> {
    decode_value(bytes)
}

/// Whether an encoded frame may wait until its receiver has time for it.
///
/// Decides by the name of the frame's variant, which is its first value, without decoding the rest.
///
/// # Errors
/// The bytes are no frame; untrusted bytes are safe.
pub(super) fn is_deferrable(bytes: &[u8]) -> Result<bool, FrameError> {
    const MAP_OF_ONE: u8 = 0xa1;
    const SHORT_TEXT: u8 = 0x60;
    let frame = decompress(bytes)?;
    let [MAP_OF_ONE, head, name @ ..] = frame.as_ref() else {
        return Ok(false);
    };
    let length = usize::from(head.wrapping_sub(SHORT_TEXT));
    let name = name.get(..length).unwrap_or_default();
    Ok(DEFERRABLE_FRAMES
        .iter()
        .any(|frame| frame.as_bytes() == name))
}

/// Encodes one message of at most `bound` bytes, before compression.
pub(super) fn encode_value<V>(
    value: &V,
    bound: usize,
    is_worth_compressing: bool,
) -> Result<Bytes, FrameError>
where
    V: Serialize,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| FrameError::Garbage {
        reason: error.to_string(),
    })?;
    if bytes.len() > bound {
        let bytes = bytes.len();
        return Err(FrameError::TooLarge { bytes, bound });
    }
    Ok(compress(&bytes, is_worth_compressing))
}

/// Decodes one message; untrusted bytes are safe.
pub(super) fn decode_value<V>(bytes: &[u8]) -> Result<V, FrameError>
where
    V: DeserializeOwned,
{
    let garbage = |reason: String| FrameError::Garbage { reason };
    let decompressed = decompress(bytes)?;
    let mut rest = decompressed.as_ref();
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, FRAME_DEPTH)
        .map_err(|error| garbage(error.to_string()))?;
    if !rest.is_empty() {
        return Err(garbage("trailing bytes after the frame".to_owned()));
    }
    Ok(value)
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
/// The bytes are no message; untrusted bytes are safe.
pub fn decode_agreement(bytes: &[u8]) -> Result<AgreementEnvelope, FrameError> {
    ciborium::de::from_reader_with_recursion_limit(bytes, FRAME_DEPTH).map_err(|error| {
        FrameError::Garbage {
            reason: error.to_string(),
        }
    })
}
