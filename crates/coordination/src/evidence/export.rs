//! The export: JSON lines that an inspector can verify without the system.

use serde::{Deserialize, Serialize};

use super::chain::{ChainAnchor, ChainHead, EvidenceError};
use crate::base::WallTime;

/// A line of an export that is no record.
///
/// Records come first, each chain in order; then the head of each chain; then the end. An anchor
/// stands before the first record of its chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExportLine {
    /// Older records of a chain were dropped by retention.
    Anchor(ChainAnchor),
    /// Last record of a chain, as keepers know it.
    Head(ChainHead),
    /// Last line of the export.
    End(ExportEnd),
}

/// Last line of an export.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportEnd {
    /// Lines before this one.
    pub lines: u64,
    /// When the export was made.
    pub time: WallTime,
}

impl ExportLine {
    /// The line as text, without a line end.
    ///
    /// # Errors
    ///
    /// If it can't be written as JSON.
    pub fn to_line(&self) -> Result<String, EvidenceError> {
        Ok(serde_json::to_string(self)?)
    }

    /// Reads a line.
    ///
    /// # Errors
    ///
    /// If it can't be read or is not in canonical form.
    pub fn parse(line: &str) -> Result<Self, EvidenceError> {
        let parsed: Self = serde_json::from_str(line)?;
        if parsed.to_line()? != line {
            return Err(EvidenceError::NotCanonical);
        }
        Ok(parsed)
    }
}

/// Writer of an export: counts lines, so that the last one can say how many there were.
#[derive(Clone, Debug, Default)]
pub struct EvidenceExport {
    lines: u64,
}

impl EvidenceExport {
    /// Counts a record's line, which is exported as it is stored.
    pub fn count_record(&mut self) {
        self.lines += 1;
    }

    /// The line of an anchor.
    ///
    /// # Errors
    ///
    /// If it can't be written as JSON.
    pub fn anchor(&mut self, anchor: ChainAnchor) -> Result<String, EvidenceError> {
        self.lines += 1;
        ExportLine::Anchor(anchor).to_line()
    }

    /// The line of a head.
    ///
    /// # Errors
    ///
    /// If it can't be written as JSON.
    pub fn head(&mut self, head: ChainHead) -> Result<String, EvidenceError> {
        self.lines += 1;
        ExportLine::Head(head).to_line()
    }

    /// The last line.
    ///
    /// # Errors
    ///
    /// If it can't be written as JSON.
    pub fn end(self, time: WallTime) -> Result<String, EvidenceError> {
        let end = ExportEnd {
            lines: self.lines,
            time,
        };
        ExportLine::End(end).to_line()
    }
}
