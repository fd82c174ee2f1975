//! Records in frames: the types of the agreement state machine in CBOR, with commands as byte
//! strings.

use std::sync::Arc;

use pollendrift_coordination::agreement::{
    EntryPayload, HardState, LogEntry, LogIndex, Membership, SnapshotMetadata, Term,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::error::StoreError;

/// One synced change of the log; a reader applies the fields in their order.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct LogRecord {
    /// Sequence number of the frame, without gaps across all segments.
    #[serde(rename = "n")]
    pub(crate) number: u64,
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub(crate) hard: Option<HardState>,
    /// Removes all entries and continues the log at this index, after an installed snapshot.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub(crate) restart_at: Option<LogIndex>,
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub(crate) truncate_from: Option<LogIndex>,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) entries: Vec<StoredEntry>,
    /// Whether this is the last frame of a segment that another segment follows.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) sealed: bool,
}

/// First frame of a segment: the state that a reader needs if the earlier segments are removed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct SegmentHead {
    /// Number of the segment.
    pub(crate) number: u64,
    /// Sequence number of the first frame after this record.
    pub(crate) frame: u64,
    /// Index of the next entry to append.
    pub(crate) next: LogIndex,
    /// Hard state at the start of the segment.
    pub(crate) hard: HardState,
}

/// First frame of a snapshot file; the second frame contains the state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SnapshotHead {
    pub(crate) mark: SnapshotMetadata,
    /// Number of the earliest segment that is needed in addition to this snapshot.
    pub(crate) first_segment: u64,
    /// For a snapshot from the leader: number of the frame that restarts the log after it. While
    /// this frame is missing, all entries of the log are invalid.
    pub(crate) restart_frame: Option<u64>,
}

/// A log entry in its stored encoding.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StoredEntry {
    #[serde(rename = "i")]
    index: LogIndex,
    #[serde(rename = "t")]
    term: Term,
    #[serde(rename = "p")]
    payload: StoredPayload,
}

#[derive(Debug, Serialize, Deserialize)]
enum StoredPayload {
    #[serde(rename = "n")]
    Noop,
    #[serde(rename = "c")]
    Command(StoredBytes),
    #[serde(rename = "m")]
    Membership(Membership),
}

/// Bytes encoded as one CBOR byte string; the derived encoding would write an array of numbers.
#[derive(Debug)]
struct StoredBytes(Arc<[u8]>);

impl Serialize for StoredBytes {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for StoredBytes {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let bytes = serde_bytes::ByteBuf::deserialize(deserializer)?;
        Ok(Self(Arc::from(bytes.into_vec())))
    }
}

impl From<&LogEntry> for StoredEntry {
    fn from(entry: &LogEntry) -> Self {
        let payload = match &entry.payload {
            EntryPayload::Noop => StoredPayload::Noop,
            EntryPayload::Command(bytes) => StoredPayload::Command(StoredBytes(bytes.clone())),
            EntryPayload::Membership(membership) => StoredPayload::Membership(membership.clone()),
        };
        Self {
            index: entry.index,
            term: entry.term,
            payload,
        }
    }
}

impl From<StoredEntry> for LogEntry {
    fn from(entry: StoredEntry) -> Self {
        let payload = match entry.payload {
            StoredPayload::Noop => EntryPayload::Noop,
            StoredPayload::Command(bytes) => EntryPayload::Command(bytes.0),
            StoredPayload::Membership(membership) => EntryPayload::Membership(membership),
        };
        Self {
            index: entry.index,
            term: entry.term,
            payload,
        }
    }
}

/// Encodes `record` in CBOR.
pub(crate) fn encode_record<T>(record: &T) -> Result<Vec<u8>, StoreError>
where
    T: Serialize,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).map_err(|error| StoreError::Encode {
        reason: error.to_string(),
    })?;
    Ok(bytes)
}

/// Decodes a record from all of `bytes`; `Err` is the error text of the decoder.
pub(crate) fn decode_record<T>(bytes: &[u8]) -> Result<T, String>
where
    T: DeserializeOwned,
{
    ciborium::from_reader(bytes).map_err(|error| error.to_string())
}
