//! File access behind traits, so that tests can make any write or sync fail.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

use serde::{Deserialize, Serialize};

/// Properties that distinguish a file from a copy of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileFingerprint {
    /// Inode number of the file; 0 if the platform has none.
    pub inode: u64,
    /// Creation time in nanoseconds since the Unix epoch; 0 if the file system stores none.
    pub created: u64,
}

/// An open file that is only appended to.
pub trait StoreFile: Send {
    /// Appends all of `bytes`.
    ///
    /// # Errors
    /// Returns the error of the operating system; a part of `bytes` may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Returns after content and length have reached the disk.
    ///
    /// # Errors
    /// Returns the error of the operating system; data written since the last sync may be lost.
    fn sync(&mut self) -> io::Result<()>;
}

/// Exclusive lock on a folder, released on drop.
pub trait FolderLock: Send {}

/// The files of one data folder; file names contain no folder path.
pub trait FileSystem: Send {
    /// Path of the folder, for messages.
    fn folder(&self) -> String;

    /// Creates the folder if it does not exist and locks the file `name`; returns `None` if another
    /// process holds the lock.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn lock(&self, name: &str) -> io::Result<Option<Box<dyn FolderLock>>>;

    /// Lists the names of all files, sorted.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads the complete content of a file.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn create(&self, name: &str) -> io::Result<Box<dyn StoreFile>>;

    /// Opens an existing file for appending.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn open(&self, name: &str) -> io::Result<Box<dyn StoreFile>>;

    /// Renames a file, replacing an existing file of the new name.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Returns after creations, renames and removals have reached the disk.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn sync_folder(&self) -> io::Result<()>;

    /// Reads the fingerprint that distinguishes the file from a copy.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn fingerprint(&self, name: &str) -> io::Result<FileFingerprint>;
}

/// Files of a data folder on a local disk.
#[derive(Clone, Debug)]
pub struct DiskFiles {
    folder: PathBuf,
}

impl DiskFiles {
    /// Refers to the files of `folder`; [`FileSystem::lock`] creates the folder.
    pub fn new<P>(folder: P) -> Self
    where
        P: AsRef<Path>,
    {
        Self {
            folder: folder.as_ref().to_owned(),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

impl FileSystem for DiskFiles {
    fn folder(&self) -> String {
        self.folder.display().to_string()
    }

    fn lock(&self, name: &str) -> io::Result<Option<Box<dyn FolderLock>>> {
        fs::create_dir_all(&self.folder)?;
        let file = File::create(self.path(name))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Box::new(DiskLock { _file: file }))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.push(entry.file_name().to_string_lossy().into_owned());
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path(name))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn StoreFile>> {
        let file = File::create(self.path(name))?;
        Ok(Box::new(DiskFile { file }))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn StoreFile>> {
        let file = OpenOptions::new().append(true).open(self.path(name))?;
        Ok(Box::new(DiskFile { file }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn fingerprint(&self, name: &str) -> io::Result<FileFingerprint> {
        let metadata = fs::metadata(self.path(name))?;
        let created = metadata
            .created()
            .ok()
            .and_then(|time| time.duration_since(UNIX_EPOCH).ok())
            .and_then(|age| u64::try_from(age.as_nanos()).ok())
            .unwrap_or(0);
        Ok(FileFingerprint {
            inode: inode(&metadata),
            created,
        })
    }
}

#[cfg(unix)]
fn inode(metadata: &fs::Metadata) -> u64 {
    std::os::unix::fs::MetadataExt::ino(metadata)
}

#[cfg(not(unix))]
fn inode(_metadata: &fs::Metadata) -> u64 {
    0
}

struct DiskFile {
    file: File,
}

impl StoreFile for DiskFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}

/// The operating system releases the lock when the last handle is closed, also after a killed
/// process.
struct DiskLock {
    _file: File,
}

impl FolderLock for DiskLock {}
