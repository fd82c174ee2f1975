//! One evidence file: records in replicated order, one per line.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

use pollendrift_coordination::base::WallTime;
use pollendrift_coordination::evidence::{ChainHead, ChainWriter, SealedRecord};
use pollendrift_coordination::replicated::EvidencePosition;

use super::JournalError;

const SUFFIX: &str = ".jsonl";

/// Maximum length of a line read, in bytes. A longer line is damaged and is split at this length.
const MAX_LINE_BYTES: u64 = 2 << 20;

/// Data of a segment that retention decides by.
#[derive(Clone, Debug, Default)]
pub(super) struct SegmentSummary {
    /// Time of the newest record.
    pub(super) newest: WallTime,
    /// Last record of each chain.
    pub(super) heads: BTreeMap<ChainWriter, ChainHead>,
}

/// One evidence file.
#[derive(Debug)]
pub(super) struct Segment {
    path: PathBuf,
    /// Cached after the first read: a segment doesn't change once it is no longer written.
    summary: Option<SegmentSummary>,
}

/// Appends lines to the last evidence file.
#[derive(Debug)]
pub(super) struct SegmentWriter {
    path: PathBuf,
    file: BufWriter<File>,
    bytes: u64,
}

/// Lists the segments of `folder` by their first positions.
pub(super) fn list(folder: &Path) -> Result<BTreeMap<EvidencePosition, Segment>, JournalError> {
    let entries = fs::read_dir(folder).map_err(|error| JournalError::file(folder, error))?;
    let mut segments = BTreeMap::new();
    for entry in entries {
        let entry = entry.map_err(|error| JournalError::file(folder, error))?;
        let name = entry.file_name();
        let first = name.to_str().and_then(|name| name.strip_suffix(SUFFIX));
        if let Some(first) = first.and_then(|first| first.parse().ok()) {
            let position = EvidencePosition(first);
            segments.insert(position, Segment::new(folder, position));
        }
    }
    Ok(segments)
}

/// Syncs `folder`, so that created and removed file names survive a crash.
pub(super) fn sync_folder(folder: &Path) -> Result<(), JournalError> {
    File::open(folder)
        .and_then(|file| file.sync_all())
        .map_err(|error| JournalError::file(folder, error))
}

impl Segment {
    /// Returns the segment of `folder` that starts at position `first`; creates no file.
    pub(super) fn new(folder: &Path, first: EvidencePosition) -> Self {
        Self {
            path: folder.join(format!("{:020}{SUFFIX}", first.0)),
            summary: None,
        }
    }

    /// Size of the file in bytes.
    pub(super) fn bytes(&self) -> Result<u64, JournalError> {
        let metadata = fs::metadata(&self.path);
        Ok(metadata.map_err(|error| self.error(error))?.len())
    }

    /// Truncates a last line that has no line break; returns the number of complete lines.
    pub(super) fn repair(&self) -> Result<u64, JournalError> {
        let mut reader = BufReader::new(self.open()?);
        let (mut lines, mut complete_bytes) = (0, 0);
        let mut line = Vec::new();
        loop {
            line.clear();
            let read = reader.read_until(b'\n', &mut line);
            let bytes = read.map_err(|error| self.error(error))?;
            if line.last() != Some(&b'\n') {
                break;
            }
            lines += 1;
            complete_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        }
        if complete_bytes < self.bytes()? {
            let file = OpenOptions::new().write(true).open(&self.path);
            file.and_then(|file| {
                file.set_len(complete_bytes)?;
                file.sync_all()
            })
            .map_err(|error| self.error(error))?;
        }
        Ok(lines)
    }

    /// Iterates over the non-empty lines.
    pub(super) fn lines(
        &self,
    ) -> Result<impl Iterator<Item = Result<String, JournalError>>, JournalError> {
        let mut reader = BufReader::new(self.open()?);
        let path = self.path.clone();
        Ok(std::iter::from_fn(move || {
            loop {
                let mut line = Vec::new();
                let mut bounded = reader.by_ref().take(MAX_LINE_BYTES);
                match bounded.read_until(b'\n', &mut line) {
                    Ok(0) => return None,
                    Ok(_) => {}
                    Err(error) => return Some(Err(JournalError::file(&path, error))),
                }
                let text = String::from_utf8_lossy(&line);
                let text = text.trim_end_matches('\n');
                if !text.is_empty() {
                    return Some(Ok(text.to_owned()));
                }
            }
        }))
    }

    /// Returns the summary for retention; reads the file at the first call.
    pub(super) fn summary(&mut self) -> Result<&SegmentSummary, JournalError> {
        if self.summary.is_none() {
            let mut summary = SegmentSummary::default();
            for line in self.lines()? {
                if let Ok(sealed) = SealedRecord::parse(&line?) {
                    summary.newest = summary.newest.max(sealed.record.time);
                    let writer = sealed.record.writer.clone();
                    summary.heads.insert(writer, sealed.head());
                }
            }
            self.summary = Some(summary);
        }
        Ok(self.summary.get_or_insert_default())
    }

    /// Opens the file for appending; creates it if it doesn't exist.
    pub(super) fn append(&self) -> Result<SegmentWriter, JournalError> {
        let mut options = OpenOptions::new();
        let file = options.create(true).append(true).open(&self.path);
        let file = file.map_err(|error| self.error(error))?;
        Ok(SegmentWriter {
            path: self.path.clone(),
            bytes: self.bytes()?,
            file: BufWriter::new(file),
        })
    }

    /// Deletes the file from the disk.
    pub(super) fn remove(&self) -> Result<(), JournalError> {
        fs::remove_file(&self.path).map_err(|error| self.error(error))
    }

    fn open(&self) -> Result<File, JournalError> {
        File::open(&self.path).map_err(|error| self.error(error))
    }

    fn error(&self, error: std::io::Error) -> JournalError {
        JournalError::file(&self.path, error)
    }
}

impl SegmentWriter {
    /// Size of the file in bytes, with buffered lines.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Writes one line. A record that contains a line break is invalid: writes an empty line for
    /// it, so that lines still match positions, and verification reports the gap.
    pub(super) fn line(&mut self, record: &[u8]) -> Result<(), JournalError> {
        let text = if record.contains(&b'\n') {
            &[][..]
        } else {
            record
        };
        let written = self
            .file
            .write_all(text)
            .and_then(|()| self.file.write_all(b"\n"));
        written.map_err(|error| JournalError::file(&self.path, error))?;
        let bytes = u64::try_from(text.len()).unwrap_or(u64::MAX);
        self.bytes = self.bytes.saturating_add(bytes).saturating_add(1);
        Ok(())
    }

    /// Flushes the buffer and syncs the file.
    pub(super) fn sync(&mut self) -> Result<(), JournalError> {
        let synced = self
            .file
            .flush()
            .and_then(|()| self.file.get_ref().sync_data());
        synced.map_err(|error| JournalError::file(&self.path, error))
    }
}
