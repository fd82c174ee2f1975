//! Files in a folder on disk, with injected sync errors and full disks.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use pollendrift_store::{DiskFiles, FileFingerprint, FileSystem, FolderLock, StoreFile};

/// Folder whose syncs fail and folder whose disk is full; shared by all hosts of a cluster.
#[derive(Clone, Default)]
pub(crate) struct DiskFaults {
    folder: Arc<Mutex<Option<PathBuf>>>,
    full: Arc<Mutex<Option<PathBuf>>>,
}

impl DiskFaults {
    pub(crate) fn fail(&self, folder: &Path) {
        *self.folder.lock().expect("no test panics with it") = Some(folder.to_owned());
    }

    /// Makes writes to `folder` fail with a full disk; `None` ends this for any folder.
    pub(crate) fn fill_disk(&self, folder: Option<&Path>) {
        *self.full.lock().expect("no test panics with it") = folder.map(Path::to_owned);
    }

    fn is_full(&self, folder: &Path) -> bool {
        let full = self.full.lock().expect("no test panics with it");
        full.as_deref() == Some(folder)
    }

    fn check(&self, folder: &Path) -> io::Result<()> {
        let failing = self.folder.lock().expect("no test panics with it");
        if failing.as_deref() == Some(folder) {
            return Err(io::Error::other("medium error"));
        }
        Ok(())
    }
}

pub(crate) struct FailingFiles {
    folder: PathBuf,
    files: DiskFiles,
    faults: DiskFaults,
}

impl FailingFiles {
    pub(crate) fn new(folder: &Path, faults: DiskFaults) -> Self {
        Self {
            folder: folder.to_owned(),
            files: DiskFiles::new(folder),
            faults,
        }
    }

    fn wrap(&self, file: Box<dyn StoreFile>) -> Box<dyn StoreFile> {
        Box::new(FailingFile {
            folder: self.folder.clone(),
            file,
            faults: self.faults.clone(),
        })
    }
}

struct FailingFile {
    folder: PathBuf,
    file: Box<dyn StoreFile>,
    faults: DiskFaults,
}

impl StoreFile for FailingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.faults.is_full(&self.folder) {
            // The disk becomes full in the middle of the write.
            self.file.append(&bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.faults.check(&self.folder)?;
        self.file.sync()
    }
}

impl FileSystem for FailingFiles {
    fn folder(&self) -> String {
        "data".to_owned()
    }

    fn lock(&self, name: &str) -> io::Result<Option<Box<dyn FolderLock>>> {
        self.files.lock(name)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.files.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files.read(name)
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn StoreFile>> {
        self.files.create(name).map(|file| self.wrap(file))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn StoreFile>> {
        self.files.open(name).map(|file| self.wrap(file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.files.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.files.remove(name)
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.files.sync_folder()
    }

    fn fingerprint(&self, name: &str) -> io::Result<FileFingerprint> {
        self.files.fingerprint(name)
    }
}
