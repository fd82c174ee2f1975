//! Access to files, as a border so that tests can fail every write and every sync.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

use serde::{Deserialize, Serialize};

/// What tells a file from a copy of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileFingerprint {
    /// Number of the file in its file system; 0 where the platform has none.
    pub inode: u64,
    /// Creation in nanoseconds since the Unix epoch; 0 where the file system keeps none.
    pub created: u64,
}

/// An open file that only grows.
pub trait StoreFile: Send {
    /// Writes all of `bytes` at the end.
    ///
    /// # Errors
    /// The operating system's; a part may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Returns once content and length are on disk.
    ///
    /// # Errors
    /// The operating system's; what was written since the last sync may be lost.
    fn sync(&mut self) -> io::Result<()>;
}

/// Exclusive use of a folder, given back on drop.
pub trait FolderLock: Send {}

/// The files of one data folder; names have no folder part.
pub trait FileSystem: Send {
    /// The folder, for messages.
    fn folder(&self) -> String;

    /// Creates the folder if needed and takes the lock file `name`; `None` if another has it.
    ///
    /// # Errors
    /// The operating system's.
    fn lock(&self, name: &str) -> io::Result<Option<Box<dyn FolderLock>>>;

    /// Names of all files, sorted.
    ///
    /// # Errors
    /// The operating system's.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Whole content of a file.
    ///
    /// # Errors
    /// The operating system's.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or empties the one that has the name.
    ///
    /// # Errors
    /// The operating system's.
    fn create(&self, name: &str) -> io::Result<Box<dyn StoreFile>>;

    /// Opens an existing file to append to it.
    ///
    /// # Errors
    /// The operating system's.
    fn open(&self, name: &str) -> io::Result<Box<dyn StoreFile>>;

    /// Renames a file over another.
    ///
    /// # Errors
    /// The operating system's.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The operating system's.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Returns once creations, renames and removals are on disk.
    ///
    /// # Errors
    /// The operating system's.
    fn sync_folder(&self) -> io::Result<()>;

    /// What tells the file from a copy of it.
    ///
    /// # Errors
    /// The operating system's.
    fn fingerprint(&self, name: &str) -> io::Result<FileFingerprint>;
}

/// Files of a folder on disk.
#[derive(Clone, Debug)]
pub struct DiskFiles {
    folder: PathBuf,
}

impl DiskFiles {
    /// Files of `folder`, which is created when it is locked.
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

/// The operating system lets go of the lock with the last handle, also when the process is killed.
struct DiskLock {
    _file: File,
}

impl FolderLock for DiskLock {}
