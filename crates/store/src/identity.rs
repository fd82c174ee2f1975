//! Whose folder this is, and which life of its disk.

use derive_more::Display;
use pollendrift_coordination::agreement::Membership;
use pollendrift_coordination::base::{HostName, Incarnation, WallTime};
use serde::{Deserialize, Serialize};

use crate::error::StoreError;
use crate::files::{FileFingerprint, FileSystem};
use crate::segment::{FileKind, FileStart, TEMPORARY_ENDING, encode_start, read_start};

const IDENTITY_NAME: &str = "identity";

/// Identity of an agreement group; keepers of different groups never answer one another.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u64);

/// The group that a keeper belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinedGroup {
    /// The group.
    pub id: GroupId,
    /// Its first membership, which every first voter writes as its first entry.
    pub founding: Membership,
}

/// Identity of a data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreIdentity {
    /// Host that the folder was formatted for.
    pub host: HostName,
    /// Life of the disk; an emptied folder comes back under another.
    pub incarnation: Incarnation,
    /// Group whose log the folder holds; `None` until the keeper has joined one.
    pub group: Option<JoinedGroup>,
    /// Times the folder was opened; written before anything is answered.
    pub opens: u64,
    /// The identity file's own fingerprint: a copied or restored file has another.
    fingerprint: FileFingerprint,
}

/// How the identity came about.
pub(crate) struct OpenedIdentity {
    pub(crate) identity: StoreIdentity,
    /// The log must be formatted: the folder, or its log, was empty.
    pub(crate) fresh: bool,
}

/// Reads or makes the identity and counts this opening.
///
/// An emptied folder can't know under which incarnation it voted before, so the wall clock in
/// milliseconds gives the new one; a folder that lost only its log also outdoes its old one.
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
        FileStart::Torn => return Err(StoreError::damaged(&path, 0, "identity is cut off")),
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

/// Whether a file is another than the one that was written.
///
/// Some file systems keep no creation time, and number their files anew at every start of a
/// process; there every restart would look like a copy, and the keeper would refuse its own disk
/// for ever. On those an old image of a disk is told by the other keepers alone: they remember what
/// this one acknowledged, and refuse a start that holds less.
fn is_copied(written: FileFingerprint, found: FileFingerprint) -> bool {
    let has_creation_time = written.created != 0 || found.created != 0;
    has_creation_time && written != found
}

/// Replaces the identity file; the fingerprint is that of the new file and survives the rename.
pub(crate) fn write_identity(
    files: &dyn FileSystem,
    mut identity: StoreIdentity,
) -> Result<StoreIdentity, StoreError> {
    let temporary = format!("{IDENTITY_NAME}{TEMPORARY_ENDING}");
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
        StoreError::disk("reading the file's number", &path_of(files, name), error)
    })
}

/// Path of a file, for messages.
pub(crate) fn path_of(files: &dyn FileSystem, name: &str) -> String {
    format!("{}/{name}", files.folder())
}
