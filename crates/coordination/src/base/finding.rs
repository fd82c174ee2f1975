//! Findings about input: collected with their place and reported together.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Place in a text that a finding speaks of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// File or document name.
    pub file: Arc<str>,
    /// Line, from 1; 0 where the place is the whole file.
    pub line: u32,
    /// Column, from 1; 0 where the place is the whole line.
    pub column: u32,
}

impl fmt::Display for Place {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// How much a finding weighs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The input is accepted, but likely not what its author meant.
    Warning,
    /// The input is refused.
    Error,
}

/// One thing found wrong with an input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// How much it weighs.
    pub severity: Severity,
    /// Where it is.
    pub place: Place,
    /// What is wrong.
    pub message: String,
    /// What would be accepted instead; empty where nothing can be named.
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

/// All findings about one input, in the order in which they were found.
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

    /// Whether any finding refuses the input.
    pub fn has_errors(&self) -> bool {
        self.findings
            .iter()
            .any(|finding| finding.severity == Severity::Error)
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// The findings in order.
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
