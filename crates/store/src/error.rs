//! Why a store can't go on, and what the operator does about it.

use std::io;
use std::sync::Arc;

use derive_more::{Display, Error};
use pollendrift_coordination::agreement::LogIndex;
use pollendrift_coordination::base::HostName;

/// A fault that stops the keeper.
#[derive(Clone, Debug, Display, Error)]
pub enum StoreError {
    /// The disk has no room.
    #[display("{path}: disk full while {action}: free space on this disk, then restart the keeper")]
    DiskFull {
        /// What was being done.
        action: &'static str,
        /// File or folder.
        path: String,
    },
    /// The disk or file system failed.
    #[display(
        "{path}: {source} while {action}: check the disk; restart the keeper if it is sound, \
         replace the disk and empty the data folder if not"
    )]
    Disk {
        /// What was being done.
        action: &'static str,
        /// File or folder.
        path: String,
        /// What the operating system said.
        source: Arc<io::Error>,
    },
    /// Bytes that were synced once read back differently.
    #[display(
        "{path}: damaged at byte {offset}: {reason}: check the disk, then empty the data folder: \
         the keeper joins again as a learner"
    )]
    Damaged {
        /// File.
        path: String,
        /// Offset of the damage in bytes.
        offset: u64,
        /// What doesn't fit.
        reason: String,
    },
    /// A file that the others refer to isn't there.
    #[display(
        "{path}: missing, though {needed_by} refers to it: put it back, or empty the data folder: \
         the keeper joins again as a learner"
    )]
    Missing {
        /// File that should exist.
        path: String,
        /// File that refers to it.
        needed_by: String,
    },
    /// The file was written by another version of the program.
    #[display(
        "{path}: format {found} is not known (known: {known}): run the version that wrote it"
    )]
    UnknownFormat {
        /// File.
        path: String,
        /// Format in the file.
        found: u32,
        /// Format of this program.
        known: u32,
    },
    /// Another process has the folder open.
    #[display("{folder}: in use by another process: stop it, or name another data folder")]
    Locked {
        /// Data folder.
        folder: String,
    },
    /// The folder was formatted for another host.
    #[display(
        "{folder}: belongs to host {found}, not {expected}: name this host's own data folder, or \
         empty it: the keeper joins as a learner"
    )]
    OtherHost {
        /// Data folder.
        folder: String,
        /// Host in the identity file.
        found: HostName,
        /// Host of the settings.
        expected: HostName,
    },
    /// The folder's files aren't the ones that this keeper wrote.
    #[display(
        "{folder}: is a copy of a keeper's folder: {reason}: empty the folder: the keeper joins \
         again as a learner"
    )]
    Copied {
        /// Data folder.
        folder: String,
        /// What gave the copy away.
        reason: String,
    },
    /// An append or snapshot doesn't join the log.
    #[display("log goes on at {expected}, not at {found}")]
    Gap {
        /// Index that would join.
        expected: LogIndex,
        /// Index that was given.
        found: LogIndex,
    },
    /// A frame is larger than a reader would accept.
    #[display("frame of {bytes} bytes is over the bound of {bound}")]
    TooLarge {
        /// Size in bytes.
        bytes: u64,
        /// Bound in bytes.
        bound: u64,
    },
    /// A record can't be encoded.
    #[display("record can't be encoded: {reason}")]
    Encode {
        /// The encoder's words.
        reason: String,
    },
    /// An earlier fault stopped the store.
    #[display("store stopped after an earlier fault: {first}")]
    Stopped {
        /// The fault that stopped it.
        first: Arc<str>,
    },
}

impl StoreError {
    /// Sorts an error of the operating system.
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
