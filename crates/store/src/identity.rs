//! Identity of a data folder: its host, its incarnation and its group.

use derive_more::Display;
use pollendrift_coordination::agreement::Membership;
use pollendrift_coordination::base::{HostName, Incarnation, WallTime};
use serde::{Deserialize, Serialize};

use crate::error::StoreError;
use crate::files::{FileFingerprint, FileSystem};
use crate::segment::{FileKind, FileStart, TEMPORARY_SUFFIX, encode_start, read_start};

const IDENTITY_NAME: &str = "identity";

/// Identity of an agreement group; keepers reject messages from other groups.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u64);

/// The group that a keeper belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinedGroup {
    /// Identity of the group.
    pub id: GroupId,
    /// Initial membership, which every initial voter writes as the first log entry.
    pub founding: Membership,
}

/// Identity of a data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreIdentity {
    /// Host that the folder was formatted for.
    pub host: HostName,
    /// Incarnation of the folder; an emptied folder gets a new one.
    pub incarnation: Incarnation,
    /// Group whose log the folder contains; `None` until the keeper has joined one.
    pub group: Option<JoinedGroup>,
    /// Number of times that the folder was opened; written before the keeper sends any reply.
    pub opens: u64,
    /// Fingerprint of the identity file; a copied or restored file has another one.
    fingerprint: FileFingerprint,
}

/// Identity of an opened folder.
pub(crate) struct OpenedIdentity {
    pub(crate) identity: StoreIdentity,
    /// Whether the log must be formatted because the folder contains none.
    pub(crate) fresh: bool,
}

/// Reads or creates the identity and increments its number of opens.
///
/// An emptied folder has lost the incarnation under which it voted, so the wall clock in
/// milliseconds gives the new incarnation. If a folder lost only its log, the new incarnation is
/// also higher than the stored one.
pub(crate) fn open_identity(
    files: &dyn FileSystem,
    host: &HostName,
    wall: WallTime,
    has_log: bool,
) -> Result<OpenedIdentity, StoreError> {
    let stored = read_identity(files, host)?;
    let fresh = !has_log;
    let identity = match stored {
        Some(mut identity) if has_log => {
            identity.opens = identity.opens.saturating_add(1);
            identity
        }
        Some(identity) => new_identity(host, wall, identity.incarnation),
        None if has_log => {
            return Err(StoreError::Missing {
                path: path_of(files, IDENTITY_NAME),
                needed_by: "the log".to_owned(),
            });
        }
        None => new_identity(host, wall, Incarnation(0)),
    };
    let identity = write_identity(files, identity)?;
    Ok(OpenedIdentity { identity, fresh })
}

fn new_identity(host: &HostName, wall: WallTime, last: Incarnation) -> StoreIdentity {
    StoreIdentity {
        host: host.clone(),
        incarnation: Incarnation(wall.0).max(last.next()),
        group: None,
        opens: 1,
        fingerprint: FileFingerprint {
            inode: 0,
            created: 0,
        },
    }
}

fn read_identity(
    files: &dyn FileSystem,
    host: &HostName,
) -> Result<Option<StoreIdentity>, StoreError> {
    let path = path_of(files, IDENTITY_NAME);
    let names = files
        .list()
        .map_err(|error| StoreError::disk("listing the folder", &files.folder(), error))?;
    if !names.iter().any(|name| name == IDENTITY_NAME) {
        return Ok(None);
    }
    let bytes = files
        .read(IDENTITY_NAME)
        .map_err(|error| StoreError::disk("reading the identity", &path, error))?;
    let identity: StoreIdentity = match read_start(FileKind::Identity, &path, &bytes)? {
        FileStart::Complete(identity, _) => identity,
        FileStart::Torn => {
            return Err(StoreError::damaged(&path, 0, "identity file is incomplete"));
        }
    };
    if identity.host != *host {
        return Err(StoreError::OtherHost {
            folder: files.folder(),
            found: identity.host,
            expected: host.clone(),
        });
    }
    let found = fingerprint_of(files, IDENTITY_NAME)?;
    if is_copied(identity.fingerprint, found) {
        return Err(StoreError::Copied {
            folder: files.folder(),
            reason: format!(
                "identity was written as inode {} created at {} ns, and is inode {} created at {} ns",
                identity.fingerprint.inode,
                identity.fingerprint.created,
                found.inode,
                found.created
            ),
        });
    }
    Ok(Some(identity))
}

/// Whether the fingerprints show that the file is a copy.
///
/// Some file systems store no creation time and renumber their files at every start of a process.
/// There every restart would look like a copy, and the keeper would refuse its own disk for ever,
/// so this check is skipped. On these file systems only the other keepers detect an old image of a
/// disk: they store the position that this keeper acknowledged, and refuse a start with a lower
/// one.
fn is_copied(written: FileFingerprint, found: FileFingerprint) -> bool {
    let has_creation_time = written.created != 0 || found.created != 0;
    has_creation_time && written != found
}

/// Replaces the identity file and stores the fingerprint of the new file, which a rename preserves.
pub(crate) fn write_identity(
    files: &dyn FileSystem,
    mut identity: StoreIdentity,
) -> Result<StoreIdentity, StoreError> {
    let temporary = format!("{IDENTITY_NAME}{TEMPORARY_SUFFIX}");
    let path = path_of(files, &temporary);
    let failed = |error| StoreError::disk("writing the identity", &path, error);
    let mut file = files.create(&temporary).map_err(failed)?;
    identity.fingerprint = fingerprint_of(files, &temporary)?;
    let bytes = encode_start(FileKind::Identity, &identity)?;
    file.append(&bytes).map_err(failed)?;
    file.sync().map_err(failed)?;
    files.rename(&temporary, IDENTITY_NAME).map_err(failed)?;
    files.sync_folder().map_err(failed)?;
    Ok(identity)
}

fn fingerprint_of(files: &dyn FileSystem, name: &str) -> Result<FileFingerprint, StoreError> {
    files.fingerprint(name).map_err(|error| {
        StoreError::disk(
            "reading the file's inode and creation time",
            &path_of(files, name),
            error,
        )
    })
}

/// Path of the file `name`, for messages.
pub(crate) fn path_of(files: &dyn FileSystem, name: &str) -> String {
    format!("{}/{name}", files.folder())
}
