//! Durable log, snapshots and identity of a keeper.
//!
//! One data folder holds an identity file, numbered log segments and snapshots. Whatever
//! [`LogStore::persist`] returned for is on disk; whatever can't be read back whole stops the
//! keeper with the file, the offset and the way out, never with a silently shorter history.
//! `docs/design/store.md` weighs the layout.

mod commit;
mod error;
mod files;
mod frame;
mod identity;
mod log_store;
mod record;
mod recovery;
mod segment;
mod settings;
mod snapshot;
mod store;

pub use commit::{
    CommitRefusal, CommitReport, CommitRequest, CommitSettings, CommitThread, CommitTicket,
};
pub use error::StoreError;
pub use files::{DiskFiles, FileFingerprint, FileSystem, FolderLock, StoreFile};
pub use frame::{FrameScan, scan_frame};
pub use identity::{GroupId, JoinedGroup, StoreIdentity};
pub use log_store::{LogStore, PersistBatch, StoreSnapshot, StoreUsage, SyncMark};
pub use recovery::{RecoveredLog, RecoveryReport, TornTail};
pub use settings::StoreSettings;
pub use store::{OpenRequest, OpenedStore, SegmentStore};
