//! Failures of commands and their exit codes.

use derive_more::{Display, Error};
use pollendrift_coordination::base::FindingList;

/// Failure of a command.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ToolFailure {
    /// The command failed and changed nothing: no daemon was reachable, or the daemon reported it.
    #[display("{reason}")]
    Failed {
        /// Cause, one attempt per line.
        reason: String,
    },
    /// The input is refused.
    #[display("{reason}")]
    Refused {
        /// Cause and the accepted form.
        reason: String,
    },
    /// The input is refused with findings.
    #[display("{findings}")]
    Findings {
        /// All findings.
        findings: FindingList,
    },
    /// Another change took effect first.
    #[display("{reason}")]
    Conflict {
        /// The other change and the difference from it.
        reason: String,
    },
    /// The change may be in force.
    #[display(
        "the outcome of change {change_id} is unknown:\n{reason}\nit may be in force; resend it \
         with --change-id {change_id} --based-on {based_on}, which is safe at any time"
    )]
    Unknown {
        /// Identity of the change.
        change_id: String,
        /// Revision that it is based on.
        based_on: u64,
        /// Result of each attempt.
        reason: String,
    },
    /// The compared configurations differ, or evidence is incomplete.
    #[display("{reason}")]
    Differs {
        /// The difference.
        reason: String,
    },
}

impl ToolFailure {
    /// Exit code of the process; `docs/operators/pollenctl.md` lists all codes.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed { .. } => 1,
            Self::Refused { .. } | Self::Findings { .. } => 2,
            Self::Conflict { .. } => 3,
            Self::Unknown { .. } => 4,
            Self::Differs { .. } => 5,
        }
    }

    pub(crate) fn failed<E>(error: E) -> Self
    where
        E: std::fmt::Display,
    {
        Self::Failed {
            reason: error.to_string(),
        }
    }

    pub(crate) fn refused<E>(error: E) -> Self
    where
        E: std::fmt::Display,
    {
        Self::Refused {
            reason: error.to_string(),
        }
    }
}
