//! Why a request to the keepers was not done, or a keeper can't go on.

use derive_more::{Display, Error, From};
use pollendrift_coordination::agreement::{LogIndex, StateMachineError};
use pollendrift_store::StoreError;

/// What a caller may conclude of a command that was not answered.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SubmitError {
    /// The command did not run and never will.
    #[display("not run: {reason}")]
    NotRun {
        /// Why.
        reason: String,
    },
    /// The command may have run, or may still.
    #[display("unknown: {reason}")]
    Unknown {
        /// Why.
        reason: String,
    },
}

impl SubmitError {
    pub(super) fn not_run<R>(reason: R) -> Self
    where
        R: ToString,
    {
        Self::NotRun {
            reason: reason.to_string(),
        }
    }

    pub(super) fn unknown<R>(reason: R) -> Self
    where
        R: ToString,
    {
        Self::Unknown {
            reason: reason.to_string(),
        }
    }
}

/// Why a keeper can't start or go on.
#[derive(Debug, Display, Error, From)]
pub enum KeeperError {
    /// The data folder.
    #[display("{_0}")]
    Store(StoreError),
    /// The snapshot can't be read by the state machine of this program.
    #[display("{_0}")]
    Machine(StateMachineError),
    /// The operating system has no thread for the store.
    #[display("can't start the store's thread: {_0}")]
    Thread(std::io::Error),
    /// The store takes nothing more.
    #[display("store takes nothing more: {reason}")]
    #[from(skip)]
    Refused {
        /// Why.
        reason: String,
    },
    /// The disk is older than what it acknowledged before.
    #[display(
        "disk is older than what this keeper acknowledged (entry {index}): empty the data folder, \
         the keeper joins again as a learner"
    )]
    #[from(skip)]
    OldDisk {
        /// Entry that was acknowledged.
        index: LogIndex,
    },
}

impl KeeperError {
    /// Whether the disk has no room for what the keeper writes: it can go on once there is some.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Self::Store(StoreError::DiskFull { .. }))
    }
}
