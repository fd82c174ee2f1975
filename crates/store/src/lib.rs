//! Durable log, snapshots and identity of a keeper.
//!
//! A data folder contains an identity file, numbered log segments and snapshots. A batch is on disk
//! when [`LogStore::persist`] returns. If a file can't be read completely, the keeper stops with an
//! error that names the file, the offset and the recovery steps; it never silently drops history.
//! `docs/design/store.md` compares the possible layouts.

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
