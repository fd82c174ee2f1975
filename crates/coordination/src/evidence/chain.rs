//! Evidence chain: a hash chain of records, in which each record contains the digest of the previous
//! one. It is unrelated to the chains of engines that serve drafts.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::record::{EvidenceEvent, EvidenceRecord};
use crate::base::{HostName, Incarnation, SequenceNumber, WallTime};

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// Limit of the length of a parsed line in bytes; ten times the longest line that an entry writes.
pub(super) const MAX_LINE_BYTES: usize = 1 << 20;

/// SHA-256 digest, written as 64 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct EvidenceDigest([u8; DIGEST_BYTES]);

impl EvidenceDigest {
    /// Previous digest in the first record of a chain.
    pub const ZERO: Self = Self([0; DIGEST_BYTES]);

    /// Wraps the bytes of a SHA-256 digest.
    pub const fn new(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for EvidenceDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl From<EvidenceDigest> for String {
    fn from(digest: EvidenceDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for EvidenceDigest {
    type Error = EvidenceError;

    fn try_from(text: String) -> Result<Self, EvidenceError> {
        text.parse()
    }
}

impl FromStr for EvidenceDigest {
    type Err = EvidenceError;

    /// Parses 64 lower-case hexadecimal digits. Upper case is rejected, so that each digest has
    /// exactly one text.
    fn from_str(text: &str) -> Result<Self, EvidenceError> {
        let digits = text.as_bytes();
        if digits.len() != DIGEST_BYTES * 2 {
            return Err(EvidenceError::Digest);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = pair.iter().try_fold(0, |high: u8, digit| {
                let low = match digit {
                    b'0'..=b'9' => digit - b'0',
                    b'a'..=b'f' => digit - b'a' + 10,
                    _ => return Err(EvidenceError::Digest),
                };
                Ok((high << 4) | low)
            })?;
        }
        Ok(Self(bytes))
    }
}

/// Error in the text of a record, a digest, a head or a line of an export.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum EvidenceError {
    /// The text is not 64 lower-case hexadecimal digits.
    #[display("no SHA-256 digest of 64 lower-case hexadecimal digits")]
    Digest,
    /// The digest of a line is not the SHA-256 of its record.
    #[display("the digest is not that of the record")]
    DigestMismatch,
    /// The text of a head does not have the form `HOST/INCARNATION/SEQUENCE/DIGEST`.
    #[display("no head of the form HOST/INCARNATION/SEQUENCE/DIGEST")]
    Head,
    /// The text is not the canonical encoding of its content.
    #[display("not in canonical form")]
    NotCanonical,
    /// The line is longer than 1 MiB.
    #[display("longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The text cannot be decoded or encoded as JSON.
    #[display("not readable: {message}")]
    Unreadable {
        /// Message of the JSON library.
        message: Arc<str>,
    },
}

impl From<serde_json::Error> for EvidenceError {
    fn from(error: serde_json::Error) -> Self {
        Self::Unreadable {
            message: error.to_string().into(),
        }
    }
}

/// Process that writes a chain. After a restart, the process is a new writer with its own chain, so
/// it never continues a chain whose last record it does not know.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{host}/{incarnation}")]
pub struct ChainWriter {
    /// Host of the process.
    pub host: HostName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Last known record of a chain.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{writer}/{sequence}/{digest}")]
pub struct ChainHead {
    /// Writer of the chain.
    pub writer: ChainWriter,
    /// Sequence number of the last record.
    pub sequence: SequenceNumber,
    /// Digest of the last record.
    pub digest: EvidenceDigest,
}

impl FromStr for ChainHead {
    type Err = EvidenceError;

    /// Parses `HOST/INCARNATION/SEQUENCE/DIGEST`, the form of `Display`.
    fn from_str(text: &str) -> Result<Self, EvidenceError> {
        let mut parts = text.rsplitn(4, '/');
        let mut part = || parts.next().ok_or(EvidenceError::Head);
        let digest = part()?.parse()?;
        let sequence = part()?.parse().map_err(|_| EvidenceError::Head)?;
        let incarnation = part()?.parse().map_err(|_| EvidenceError::Head)?;
        let host = HostName::from(part()?);
        Ok(Self {
            writer: ChainWriter {
                host,
                incarnation: Incarnation(incarnation),
            },
            sequence: SequenceNumber(sequence),
            digest,
        })
    }
}

/// Start of a chain whose older records were dropped by retention.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainAnchor {
    /// Writer of the chain.
    pub writer: ChainWriter,
    /// Last dropped record.
    pub through: SequenceNumber,
    /// Digest of the last dropped record, which is the previous digest of the first remaining
    /// record.
    pub digest: EvidenceDigest,
}

/// A record with its digest and its line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedRecord {
    /// Decoded record.
    pub record: EvidenceRecord,
    /// SHA-256 of the record's JSON text.
    pub digest: EvidenceDigest,
    /// Line as stored and exported: `{"record":RECORD,"digest":"DIGEST"}`.
    pub line: Arc<str>,
}

/// A decoded record whose line may have been edited.
pub(super) struct InspectedRecord {
    /// Record with the digest from its line, which may be wrong.
    pub(super) sealed: SealedRecord,
    /// Integrity error of the line, if any.
    pub(super) error: Option<EvidenceError>,
}

/// JSON structure of a line.
#[derive(Deserialize)]
struct RecordLine {
    record: EvidenceRecord,
    digest: EvidenceDigest,
}

impl SealedRecord {
    /// Seals `event` as the record that follows `head`.
    ///
    /// # Errors
    ///
    /// [`EvidenceError::Unreadable`] if the event cannot be encoded as JSON.
    pub fn seal(
        head: &ChainHead,
        time: WallTime,
        event: EvidenceEvent,
    ) -> Result<Self, EvidenceError> {
        let record = EvidenceRecord {
            writer: head.writer.clone(),
            sequence: head.sequence.next(),
            previous: head.digest,
            time,
            event,
        };
        Self::of(record)
    }

    /// Parses a line and checks its digest and its canonical form.
    ///
    /// # Errors
    ///
    /// If the line is too long or cannot be decoded, its digest does not match, or it is not in
    /// canonical form.
    pub fn parse(line: &str) -> Result<Self, EvidenceError> {
        let inspected = Self::inspect(line)?;
        match inspected.error {
            Some(error) => Err(error),
            None => Ok(inspected.sealed),
        }
    }

    /// Parses a line that may have been edited; an integrity error is part of the result.
    ///
    /// # Errors
    ///
    /// If the line is too long or cannot be decoded.
    pub(super) fn inspect(line: &str) -> Result<InspectedRecord, EvidenceError> {
        if line.len() > MAX_LINE_BYTES {
            return Err(EvidenceError::TooLong);
        }
        let parsed: RecordLine = serde_json::from_str(line)?;
        let mut sealed = Self::of(parsed.record)?;
        // The decoder drops duplicate or unknown keys: the digest would match, but a person would
        // read something else in the line. So only the canonical text is accepted.
        let error = if sealed.digest != parsed.digest {
            Some(EvidenceError::DigestMismatch)
        } else if *sealed.line != *line {
            Some(EvidenceError::NotCanonical)
        } else {
            None
        };
        sealed.digest = parsed.digest;
        Ok(InspectedRecord { sealed, error })
    }

    /// Head of a chain that ends with this record.
    pub fn head(&self) -> ChainHead {
        ChainHead {
            writer: self.record.writer.clone(),
            sequence: self.record.sequence,
            digest: self.digest,
        }
    }

    fn of(record: EvidenceRecord) -> Result<Self, EvidenceError> {
        let text = serde_json::to_string(&record)?;
        let digest = EvidenceDigest::new(Sha256::digest(&text).into());
        let line = format!(r#"{{"record":{text},"digest":"{digest}"}}"#).into();
        Ok(Self {
            record,
            digest,
            line,
        })
    }
}
