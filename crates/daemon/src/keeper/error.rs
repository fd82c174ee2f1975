//! Errors of requests to the keepers, and errors that stop a keeper.

use derive_more::{Display, Error, From};
use pollendrift_coordination::agreement::{LogIndex, StateMachineError};
use pollendrift_store::StoreError;

/// Outcome of a command without an answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SubmitError {
    /// The command did not run and never will.
    #[display("not run: {reason}")]
    NotRun {
        /// Reason of the refusal.
        reason: String,
    },
    /// The command may have run or may still run.
    #[display("unknown: {reason}")]
    Unknown {
        /// Reason why the outcome is unknown.
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

/// Error that keeps a keeper from starting or stops it.
#[derive(Debug, Display, Error, From)]
pub enum KeeperError {
    /// Error of the store in the data folder.
    #[display("{_0}")]
    Store(StoreError),
    /// The state machine can't encode a snapshot, or can't restore one, for example of another
    /// program version.
    #[display("{_0}")]
    Machine(StateMachineError),
    /// The operating system can't start a thread for the store.
    #[display("can't start the store's thread: {_0}")]
    Thread(std::io::Error),
    /// The store's thread refuses further writes, or the keeper's task ended early.
    #[display("store refuses further writes: {reason}")]
    #[from(skip)]
    Refused {
        /// Reason given by the store or the task.
        reason: String,
    },
    /// The disk lacks entries that this keeper acknowledged, for example after a restore from an
    /// old image.
    #[display(
        "disk is older than what this keeper acknowledged (entry {index}): empty the data folder, \
         the keeper joins again as a learner"
    )]
    #[from(skip)]
    OldDisk {
        /// Index of the acknowledged entry.
        index: LogIndex,
    },
}

impl KeeperError {
    /// Whether the disk is full; the keeper can start again once space is free.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Self::Store(StoreError::DiskFull { .. }))
    }
}
