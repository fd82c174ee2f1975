//! Export of evidence as JSON lines, which can be verified offline.

use serde::{Deserialize, Serialize};

use super::chain::{ChainAnchor, ChainHead, EvidenceError};
use crate::base::WallTime;

/// A line of an export other than a record.
///
/// Order of an export: the records, each chain in sequence; the head of each chain; the end. An
/// anchor precedes the first record of its chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExportLine {
    /// Start of a chain whose older records were dropped by retention.
    Anchor(ChainAnchor),
    /// Last record of a chain that keepers have stored.
    Head(ChainHead),
    /// Last line of the export.
    End(ExportEnd),
}

/// Last line of an export.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportEnd {
    /// Number of lines before this one.
    pub lines: u64,
    /// Time of the export.
    pub time: WallTime,
}

impl ExportLine {
    /// Encodes the line, without a line break.
    ///
    /// # Errors
    ///
    /// [`EvidenceError::Unreadable`] if the line cannot be encoded as JSON.
    pub fn to_line(&self) -> Result<String, EvidenceError> {
        Ok(serde_json::to_string(self)?)
    }

    /// Parses a line.
    ///
    /// # Errors
    ///
    /// If the line cannot be decoded or is not in canonical form.
    pub fn parse(line: &str) -> Result<Self, EvidenceError> {
        let parsed: Self = serde_json::from_str(line)?;
        if parsed.to_line()? != line {
            return Err(EvidenceError::NotCanonical);
        }
        Ok(parsed)
    }
}

/// Writer of an export; counts the lines for the last line.
#[derive(Clone, Debug, Default)]
pub struct EvidenceExport {
    lines: u64,
}

impl EvidenceExport {
    /// Counts a record, whose stored line is exported unchanged.
    pub fn count_record(&mut self) {
        self.lines += 1;
    }

    /// Encodes and counts the line of an anchor.
    ///
    /// # Errors
    ///
    /// [`EvidenceError::Unreadable`] if the line cannot be encoded as JSON.
    pub fn anchor(&mut self, anchor: ChainAnchor) -> Result<String, EvidenceError> {
        self.lines += 1;
        ExportLine::Anchor(anchor).to_line()
    }

    /// Encodes and counts the line of a head.
    ///
    /// # Errors
    ///
    /// [`EvidenceError::Unreadable`] if the line cannot be encoded as JSON.
    pub fn head(&mut self, head: ChainHead) -> Result<String, EvidenceError> {
        self.lines += 1;
        ExportLine::Head(head).to_line()
    }

    /// Encodes the last line, with the number of lines before it.
    ///
    /// # Errors
    ///
    /// [`EvidenceError::Unreadable`] if the line cannot be encoded as JSON.
    pub fn end(self, time: WallTime) -> Result<String, EvidenceError> {
        let end = ExportEnd {
            lines: self.lines,
            time,
        };
        ExportLine::End(end).to_line()
    }
}
