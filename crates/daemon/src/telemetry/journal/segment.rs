//! One file of the evidence: lines in the agreed order.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

use pollendrift_coordination::base::WallTime;
use pollendrift_coordination::evidence::{ChainHead, ChainWriter, SealedRecord};
use pollendrift_coordination::replicated::EvidencePosition;

use super::JournalError;

const SUFFIX: &str = ".jsonl";

/// Longest line that is read; what is longer was damaged and is cut.
const MAX_LINE_BYTES: u64 = 2 << 20;

/// What retention needs of a segment.
#[derive(Clone, Debug, Default)]
pub(super) struct SegmentSummary {
    /// Time of the newest record.
    pub(super) newest: WallTime,
    /// Last record of each chain.
    pub(super) heads: BTreeMap<ChainWriter, ChainHead>,
}

/// One file.
#[derive(Debug)]
pub(super) struct Segment {
    path: PathBuf,
    /// Read once; a segment that is no longer written does not change.
    summary: Option<SegmentSummary>,
}

/// The open end of the last file.
#[derive(Debug)]
pub(super) struct SegmentWriter {
    path: PathBuf,
    file: BufWriter<File>,
    bytes: u64,
}

/// The segments of `folder` by their first positions.
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

/// Makes names that were created or removed in `folder` last.
pub(super) fn sync_folder(folder: &Path) -> Result<(), JournalError> {
    File::open(folder)
        .and_then(|file| file.sync_all())
        .map_err(|error| JournalError::file(folder, error))
}

impl Segment {
    /// The segment of `folder` that starts with `first`.
    pub(super) fn new(folder: &Path, first: EvidencePosition) -> Self {
        Self {
            path: folder.join(format!("{:020}{SUFFIX}", first.0)),
            summary: None,
        }
    }

    /// Bytes on the disk.
    pub(super) fn bytes(&self) -> Result<u64, JournalError> {
        let metadata = fs::metadata(&self.path);
        Ok(metadata.map_err(|error| self.error(error))?.len())
    }

    /// Cuts off a last line without its end, and gives the number of lines.
    pub(super) fn repair(&self) -> Result<u64, JournalError> {
        let mut reader = BufReader::new(self.open()?);
        let (mut lines, mut whole) = (0, 0);
        let mut line = Vec::new();
        loop {
            line.clear();
            let read = reader.read_until(b'\n', &mut line);
            let bytes = read.map_err(|error| self.error(error))?;
            if line.last() != Some(&b'\n') {
                break;
            }
            lines += 1;
            whole += u64::try_from(bytes).unwrap_or(u64::MAX);
        }
        if whole < self.bytes()? {
            let file = OpenOptions::new().write(true).open(&self.path);
            file.and_then(|file| {
                file.set_len(whole)?;
                file.sync_all()
            })
            .map_err(|error| self.error(error))?;
        }
        Ok(lines)
    }

    /// The lines that hold something.
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

    /// What retention needs; reads the file at the first call.
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

    /// Opens the end of the file, which is made if it is new.
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

    /// Removes the file.
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
    /// Bytes of the file with what is written.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Writes one line. A record with a line end in it is no line of ours, whoever sent it: its
    /// place stays empty, so that positions can be counted, and verification names the gap.
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

    /// Syncs what is written.
    pub(super) fn sync(&mut self) -> Result<(), JournalError> {
        let synced = self
            .file
            .flush()
            .and_then(|()| self.file.get_ref().sync_data());
        synced.map_err(|error| JournalError::file(&self.path, error))
    }
}
