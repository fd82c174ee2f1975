//! In-memory files that fail or lose power at a given step.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};

use pollendrift_store::{FileFingerprint, FileSystem, FolderLock, StoreFile};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECTOR_BYTES: usize = 512;

/// Fault at the given step.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The step fails with this error, once; later steps work.
    Error(io::ErrorKind),
    /// Power is lost: this step and all later ones fail.
    PowerLoss,
}

#[derive(Clone, Default)]
struct FileData {
    content: Vec<u8>,
    synced: Vec<u8>,
    /// Ranges that a failed sync dropped. They stay readable until power is lost, but no later sync
    /// writes them, because their pages count as clean.
    dropped: Vec<Range<usize>>,
}

impl FileData {
    fn sync(&mut self) {
        self.synced.clone_from(&self.content);
        for range in &self.dropped {
            if let Some(bytes) = self.synced.get_mut(range.clone()) {
                bytes.fill(0);
            }
        }
    }
}

#[derive(Default)]
struct Disk {
    names: BTreeMap<String, u64>,
    synced_names: BTreeMap<String, u64>,
    files: BTreeMap<u64, FileData>,
    next_inode: u64,
    steps: u64,
    fault: Option<(u64, Fault)>,
    off: bool,
    locked: bool,
}

/// An in-memory folder; clones share it.
#[derive(Clone, Default)]
pub(crate) struct FaultFiles {
    disk: Arc<Mutex<Disk>>,
}

impl FaultFiles {
    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk
            .lock()
            .expect("no test panics while it locks the disk")
    }

    /// Sets the fault for the step after `after` further steps.
    pub(crate) fn fail_after(&self, after: u64, fault: Fault) {
        let mut disk = self.disk();
        disk.fault = Some((disk.steps + after, fault));
    }

    /// Removes the fault.
    pub(crate) fn clear_fault(&self) {
        self.disk().fault = None;
    }

    /// Whether power has been lost.
    pub(crate) fn is_off(&self) -> bool {
        self.disk().off
    }

    /// Restores power. Each unsynced name is the old or the new one, and a random part of unsynced
    /// content remains.
    pub(crate) fn restore_power(&self, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut disk = self.disk();
        let names: BTreeSet<String> = disk
            .names
            .keys()
            .chain(disk.synced_names.keys())
            .cloned()
            .collect();
        let mut kept = BTreeMap::new();
        for name in names {
            let source = if random.random() {
                &disk.names
            } else {
                &disk.synced_names
            };
            if let Some(inode) = source.get(&name) {
                kept.insert(name, *inode);
            }
        }
        for file in disk.files.values_mut() {
            let bytes = surviving_bytes(file, &mut random);
            file.content.clone_from(&bytes);
            file.synced = bytes;
        }
        disk.names.clone_from(&kept);
        disk.synced_names = kept;
        disk.fault = None;
        disk.off = false;
    }

    /// Names of all files.
    pub(crate) fn names(&self) -> Vec<String> {
        self.disk().names.keys().cloned().collect()
    }

    /// Changes the bytes of a file without the store.
    pub(crate) fn edit<F>(&self, name: &str, change: F)
    where
        F: FnOnce(&mut Vec<u8>),
    {
        let mut disk = self.disk();
        let inode = disk.names[name];
        let file = disk.files.get_mut(&inode).expect("named files exist");
        change(&mut file.content);
    }

    /// Returns the same bytes in new files, like a copy or a restored backup.
    pub(crate) fn copy(&self) -> Self {
        let copied = Self::default();
        let source = self.disk();
        let mut target = copied.disk();
        target.next_inode = source.next_inode + 1;
        for (name, inode) in &source.names {
            target.next_inode += 1;
            let fresh = target.next_inode;
            target.names.insert(name.clone(), fresh);
            target.files.insert(fresh, source.files[inode].clone());
        }
        drop(target);
        copied
    }

    /// Returns the same files with the same inodes, like a disk image.
    pub(crate) fn image(&self) -> Self {
        let image = Self::default();
        let source = self.disk();
        let mut target = image.disk();
        target.next_inode = source.next_inode;
        target.names.clone_from(&source.names);
        target.synced_names.clone_from(&source.synced_names);
        target.files.clone_from(&source.files);
        drop(target);
        image
    }

    fn step(&self) -> io::Result<MutexGuard<'_, Disk>> {
        let mut disk = self.disk();
        let step = disk.steps;
        disk.steps += 1;
        if disk.off {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        match disk.fault {
            Some((at, Fault::Error(kind))) if at == step => {
                disk.fault = None;
                Err(kind.into())
            }
            Some((at, Fault::PowerLoss)) if at == step => {
                disk.fault = None;
                disk.off = true;
                Err(io::ErrorKind::BrokenPipe.into())
            }
            _ => Ok(disk),
        }
    }
}

/// Returns the synced bytes and a random prefix of the unsynced ones, some of whose sectors are
/// zero.
fn surviving_bytes<R>(file: &FileData, random: &mut R) -> Vec<u8>
where
    R: Rng,
{
    let synced = file.synced.len();
    let mut bytes = file.content[..random.random_range(synced..=file.content.len())].to_vec();
    let mut start = synced;
    while start < bytes.len() {
        let end = ((start / SECTOR_BYTES + 1) * SECTOR_BYTES).min(bytes.len());
        if random.random_bool(0.3) {
            bytes[start..end].fill(0);
        }
        start = end;
    }
    bytes
}

struct FaultFile {
    files: FaultFiles,
    inode: u64,
}

impl FaultFile {
    fn data<F>(&self, disk: &mut Disk, change: F)
    where
        F: FnOnce(&mut FileData),
    {
        change(disk.files.entry(self.inode).or_default());
    }
}

impl StoreFile for FaultFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let half = &bytes[..bytes.len() / 2];
        match self.files.step() {
            Ok(mut disk) => {
                self.data(&mut disk, |file| file.content.extend_from_slice(bytes));
                Ok(())
            }
            Err(error) => {
                let mut disk = self.files.disk();
                self.data(&mut disk, |file| file.content.extend_from_slice(half));
                Err(error)
            }
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        match self.files.step() {
            Ok(mut disk) => {
                self.data(&mut disk, FileData::sync);
                Ok(())
            }
            Err(error) => {
                let mut disk = self.files.disk();
                self.data(&mut disk, |file| {
                    file.dropped.push(file.synced.len()..file.content.len());
                });
                Err(error)
            }
        }
    }
}

struct FaultLock {
    files: FaultFiles,
}

impl FolderLock for FaultLock {}

impl Drop for FaultLock {
    fn drop(&mut self) {
        self.files.disk().locked = false;
    }
}

impl FileSystem for FaultFiles {
    fn folder(&self) -> String {
        "data".to_owned()
    }

    fn lock(&self, _name: &str) -> io::Result<Option<Box<dyn FolderLock>>> {
        let mut disk = self.disk();
        if disk.locked {
            return Ok(None);
        }
        disk.locked = true;
        Ok(Some(Box::new(FaultLock {
            files: self.clone(),
        })))
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.disk();
        let inode = disk.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(disk.files[inode].content.clone())
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn StoreFile>> {
        let mut disk = self.step()?;
        disk.next_inode += 1;
        let inode = disk.next_inode;
        disk.names.insert(name.to_owned(), inode);
        disk.files.insert(inode, FileData::default());
        Ok(Box::new(FaultFile {
            files: self.clone(),
            inode,
        }))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn StoreFile>> {
        let inode = *self.disk().names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(Box::new(FaultFile {
            files: self.clone(),
            inode,
        }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.step()?;
        let inode = disk.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut disk = self.step()?;
        disk.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut disk = self.step()?;
        disk.synced_names = disk.names.clone();
        Ok(())
    }

    fn fingerprint(&self, name: &str) -> io::Result<FileFingerprint> {
        let inode = *self.disk().names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(FileFingerprint {
            inode,
            created: inode,
        })
    }
}
