//! Findings about an input, which are collected with their positions and reported together.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Position in a text to which a finding refers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Name of the file or document.
    pub file: Arc<str>,
    /// Line, from 1; 0 if the finding refers to the whole file.
    pub line: u32,
    /// Column, from 1; 0 if the finding refers to the whole line.
    pub column: u32,
}

impl fmt::Display for Place {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The input is accepted, but is probably not what its author intended.
    Warning,
    /// The input is refused.
    Error,
}

/// One problem of an input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Whether the problem is a warning or an error.
    pub severity: Severity,
    /// Position of the problem.
    pub place: Place,
    /// Description of the problem.
    pub message: String,
    /// Accepted values or forms; empty if none can be listed.
    pub expected: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(formatter, "{}: {severity}: {}", self.place, self.message)?;
        if self.expected.is_empty() {
            return Ok(());
        }
        write!(formatter, " (accepted: {})", self.expected)
    }
}

/// All findings about one input, in the order of their detection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FindingList {
    findings: Vec<Finding>,
}

impl FindingList {
    /// Adds an error.
    pub fn error(&mut self, place: Place, message: impl Into<String>, expected: impl Into<String>) {
        self.push(Severity::Error, place, message.into(), expected.into());
    }

    /// Adds a warning.
    pub fn warning(
        &mut self,
        place: Place,
        message: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.push(Severity::Warning, place, message.into(), expected.into());
    }

    /// Whether any finding is an error, so that the input is refused.
    pub fn has_errors(&self) -> bool {
        self.findings
            .iter()
            .any(|finding| finding.severity == Severity::Error)
    }

    /// Whether the list contains neither errors nor warnings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Iterates over the findings in the order of their detection.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }

    /// Appends all findings of `other`.
    pub fn extend(&mut self, other: Self) {
        self.findings.extend(other.findings);
    }

    fn push(&mut self, severity: Severity, place: Place, message: String, expected: String) {
        self.findings.push(Finding {
            severity,
            place,
            message,
            expected,
        });
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(formatter, "{finding}")?;
        }
        Ok(())
    }
}
