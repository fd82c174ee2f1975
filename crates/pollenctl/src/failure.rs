//! Why a command failed, and its exit code.

use derive_more::{Display, Error};
use pollendrift_coordination::base::FindingList;

/// Why a command did not do what it was asked.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ToolFailure {
    /// Nothing was changed: no daemon could be asked, or the daemon said so.
    #[display("{reason}")]
    Failed {
        /// Why, one try a line.
        reason: String,
    },
    /// The input is refused.
    #[display("{reason}")]
    Refused {
        /// Why, and what would be accepted.
        reason: String,
    },
    /// The input is refused with findings.
    #[display("{findings}")]
    Findings {
        /// All of them.
        findings: FindingList,
    },
    /// Another change went first.
    #[display("{reason}")]
    Conflict {
        /// Which, and how this one differs.
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
        /// What happened to each try.
        reason: String,
    },
    /// What was compared is not equal, or evidence is not whole.
    #[display("{reason}")]
    Differs {
        /// In which way.
        reason: String,
    },
}

impl ToolFailure {
    /// Exit code; the page on pollenctl lists them.
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
