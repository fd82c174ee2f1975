//! The hash chain: each record names the digest of the one before it.

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

/// Longest line that is parsed, in bytes; the longest that an entry writes is a tenth of it.
pub(super) const MAX_LINE_BYTES: usize = 1 << 20;

/// SHA-256 digest, written as 64 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct EvidenceDigest([u8; DIGEST_BYTES]);

impl EvidenceDigest {
    /// Digest that the first record of a chain names as its previous one.
    pub const ZERO: Self = Self([0; DIGEST_BYTES]);

    /// A digest of these bytes.
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

    /// Reads 64 lower-case digits; upper case is refused, so that each digest has one text.
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

/// A text that is no evidence.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum EvidenceError {
    /// Not 64 lower-case hexadecimal digits.
    #[display("no SHA-256 digest of 64 lower-case hexadecimal digits")]
    Digest,
    /// The digest of a record is not that of its text.
    #[display("the digest is not that of the record")]
    DigestMismatch,
    /// A head as people note it is malformed.
    #[display("no head of the form HOST/INCARNATION/SEQUENCE/DIGEST")]
    Head,
    /// The text is not what this version would have written for the same record.
    #[display("not in canonical form")]
    NotCanonical,
    /// The line is too long.
    #[display("longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The text can't be read or written.
    #[display("not readable: {message}")]
    Unreadable {
        /// What the decoder says.
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

/// The one process that writes a chain. A restart is another writer with a chain of its own, so a
/// process that lost its memory never continues a chain that it does not know.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{host}/{incarnation}")]
pub struct ChainWriter {
    /// Its host.
    pub host: HostName,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Last record of a chain, as far as it is known.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{writer}/{sequence}/{digest}")]
pub struct ChainHead {
    /// The chain.
    pub writer: ChainWriter,
    /// Number of its last record.
    pub sequence: SequenceNumber,
    /// Digest of its last record.
    pub digest: EvidenceDigest,
}

impl FromStr for ChainHead {
    type Err = EvidenceError;

    /// Reads `HOST/INCARNATION/SEQUENCE/DIGEST`, as `Display` writes it.
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

/// Where a chain starts after its older records were dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainAnchor {
    /// The chain.
    pub writer: ChainWriter,
    /// Last dropped record.
    pub through: SequenceNumber,
    /// Its digest, which the first record that is left names as its previous one.
    pub digest: EvidenceDigest,
}

/// A record with its digest and its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedRecord {
    /// The record.
    pub record: EvidenceRecord,
    /// SHA-256 of the record's JSON text.
    pub digest: EvidenceDigest,
    /// The line of the export: `{"record":RECORD,"digest":"DIGEST"}`.
    pub line: Arc<str>,
}

/// A record whose line may have been edited.
pub(super) struct InspectedRecord {
    /// The record, with the digest that its line claims.
    pub(super) sealed: SealedRecord,
    /// What is wrong with the line.
    pub(super) fault: Option<EvidenceError>,
}

/// A line as it is decoded.
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
    /// If the event can't be written as JSON.
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

    /// Reads a line, and checks that its digest and its form are those of the record.
    ///
    /// # Errors
    ///
    /// If it can't be read, its digest is another one, or it is not in canonical form.
    pub fn parse(line: &str) -> Result<Self, EvidenceError> {
        let inspected = Self::inspect(line)?;
        match inspected.fault {
            Some(fault) => Err(fault),
            None => Ok(inspected.sealed),
        }
    }

    /// Reads a line whose text may have been edited.
    ///
    /// # Errors
    ///
    /// If it can't be read at all.
    pub(super) fn inspect(line: &str) -> Result<InspectedRecord, EvidenceError> {
        if line.len() > MAX_LINE_BYTES {
            return Err(EvidenceError::TooLong);
        }
        let parsed: RecordLine = serde_json::from_str(line)?;
        let mut sealed = Self::of(parsed.record)?;
        // A key that is written twice, or one that is unknown, would be dropped by the decoder:
        // the digest fits, yet people read something else. Only the one canonical text passes.
        let fault = if sealed.digest != parsed.digest {
            Some(EvidenceError::DigestMismatch)
        } else if *sealed.line != *line {
            Some(EvidenceError::NotCanonical)
        } else {
            None
        };
        sealed.digest = parsed.digest;
        Ok(InspectedRecord { sealed, fault })
    }

    /// The head of the chain once this record is its last.
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
