//! Errors that stop a store; each text tells the operator how to recover.

use std::io;
use std::sync::Arc;

use derive_more::{Display, Error};
use pollendrift_coordination::agreement::LogIndex;
use pollendrift_coordination::base::HostName;

/// An error that stops the keeper.
#[derive(Clone, Debug, Display, Error)]
pub enum StoreError {
    /// The disk is full.
    #[display("{path}: disk full while {action}: free space on this disk, then restart the keeper")]
    DiskFull {
        /// Operation that failed.
        action: &'static str,
        /// Path of the file or folder.
        path: String,
    },
    /// The disk or file system failed.
    #[display(
        "{path}: {source} while {action}: check the disk; restart the keeper if it is sound, \
         replace the disk and empty the data folder if not"
    )]
    Disk {
        /// Operation that failed.
        action: &'static str,
        /// Path of the file or folder.
        path: String,
        /// Error of the operating system.
        source: Arc<io::Error>,
    },
    /// Synced bytes read back differently.
    #[display(
        "{path}: damaged at byte {offset}: {reason}: check the disk, then empty the data folder: \
         the keeper joins again as a learner"
    )]
    Damaged {
        /// Path of the file.
        path: String,
        /// Offset of the damage in bytes.
        offset: u64,
        /// Check that failed.
        reason: String,
    },
    /// A file to which another file refers does not exist.
    #[display(
        "{path}: missing, though {needed_by} refers to it: put it back, or empty the data folder: \
         the keeper joins again as a learner"
    )]
    Missing {
        /// Path of the missing file.
        path: String,
        /// File that refers to it.
        needed_by: String,
    },
    /// The file was written by another version of the program.
    #[display(
        "{path}: format {found} is not known (known: {known}): run the version that wrote it"
    )]
    UnknownFormat {
        /// Path of the file.
        path: String,
        /// Format number in the file.
        found: u32,
        /// Format number that this program supports.
        known: u32,
    },
    /// Another process holds the lock of the folder.
    #[display("{folder}: in use by another process: stop it, or name another data folder")]
    Locked {
        /// Path of the data folder.
        folder: String,
    },
    /// The folder was formatted for another host.
    #[display(
        "{folder}: belongs to host {found}, not {expected}: name this host's own data folder, or \
         empty it: the keeper joins as a learner"
    )]
    OtherHost {
        /// Path of the data folder.
        folder: String,
        /// Host in the identity file.
        found: HostName,
        /// Host in the settings.
        expected: HostName,
    },
    /// The files in the folder are copies of those that the keeper wrote.
    #[display(
        "{folder}: is a copy of a keeper's folder: {reason}: empty the folder: the keeper joins \
         again as a learner"
    )]
    Copied {
        /// Path of the data folder.
        folder: String,
        /// Differences that show the copy.
        reason: String,
    },
    /// An append or snapshot leaves a gap in the log.
    #[display("log goes on at {expected}, not at {found}")]
    Gap {
        /// Next index that continues the log.
        expected: LogIndex,
        /// Index in the request.
        found: LogIndex,
    },
    /// A frame is larger than the limit of a reader.
    #[display("frame of {bytes} bytes is over the bound of {bound}")]
    TooLarge {
        /// Size in bytes.
        bytes: u64,
        /// Limit in bytes.
        bound: u64,
    },
    /// A record can't be encoded.
    #[display("record can't be encoded: {reason}")]
    Encode {
        /// Error text of the encoder.
        reason: String,
    },
    /// An earlier error stopped the store.
    #[display("store stopped after an earlier fault: {first}")]
    Stopped {
        /// Text of the error that stopped the store.
        first: Arc<str>,
    },
}

impl StoreError {
    /// Classifies an error of the operating system as a full disk or another disk error.
    pub(crate) fn disk(action: &'static str, path: &str, source: io::Error) -> Self {
        let path = path.to_owned();
        let full = matches!(
            source.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        );
        if full {
            return Self::DiskFull { action, path };
        }
        Self::Disk {
            action,
            path,
            source: Arc::new(source),
        }
    }

    pub(crate) fn damaged(path: &str, offset: u64, reason: impl Into<String>) -> Self {
        Self::Damaged {
            path: path.to_owned(),
            offset,
            reason: reason.into(),
        }
    }
}
