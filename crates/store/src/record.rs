//! What frames contain: `ciborium` of the agreement's types, with commands as byte strings.

use std::sync::Arc;

use pollendrift_coordination::agreement::{
    EntryPayload, HardState, LogEntry, LogIndex, Membership, SnapshotMetadata, Term,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::error::StoreError;

/// One synced change of the log, applied in the order of the fields.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct LogRecord {
    /// Number of the frame, without gaps through all segments.
    #[serde(rename = "n")]
    pub(crate) number: u64,
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub(crate) hard: Option<HardState>,
    /// Drops the whole log; it goes on at this index, behind an installed snapshot.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub(crate) restart_at: Option<LogIndex>,
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub(crate) truncate_from: Option<LogIndex>,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) entries: Vec<StoredEntry>,
    /// The segment ends here and another follows.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) sealed: bool,
}

/// First frame of a segment: all that is needed when the segments before it are gone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct SegmentHead {
    /// Number of the segment.
    pub(crate) number: u64,
    /// Number of the first frame after the head.
    pub(crate) frame: u64,
    /// Index at which the log goes on.
    pub(crate) next: LogIndex,
    /// Hard state in force.
    pub(crate) hard: HardState,
}

/// First frame of a snapshot file; the state follows in the second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SnapshotHead {
    pub(crate) mark: SnapshotMetadata,
    /// Lowest segment that is still needed beside this snapshot.
    pub(crate) first_segment: u64,
    /// For a leader's snapshot: number of the frame that restarts the log behind it. Where that
    /// frame isn't there yet, all that the log holds is void.
    pub(crate) restart_frame: Option<u64>,
}

/// A log entry as it is written.
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

/// Bytes as one CBOR byte string; the derived form would write a number for each byte.
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

/// Encodes a record.
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

/// Decodes a record that fills `bytes`; `Err` is the decoder's words.
pub(crate) fn decode_record<T>(bytes: &[u8]) -> Result<T, String>
where
    T: DeserializeOwned,
{
    ciborium::from_reader(bytes).map_err(|error| error.to_string())
}
