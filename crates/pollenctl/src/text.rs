//! Configuration files and their first line, which contains the base revision.

use std::fmt::Write as _;
use std::path::Path;

use pollendrift_coordination::configuration::{MAX_TEXT_BYTES, ParsedConfiguration};
use pollendrift_coordination::limits::RequestPriority;

use crate::failure::ToolFailure;

/// Prefix of the first line of a file written by `get`.
const REVISION_PREFIX: &str = "# revision: ";

/// Text of a valid configuration file and its parsed form.
pub(crate) struct CheckedFile {
    pub(crate) text: String,
    pub(crate) parsed: ParsedConfiguration,
}

/// Reads and checks a complete file.
///
/// # Errors
/// The file is unreadable, is over [`MAX_TEXT_BYTES`], or has findings that are errors.
pub(crate) fn read_and_check(path: &Path) -> Result<CheckedFile, ToolFailure> {
    let name = path.display().to_string();
    let refused = |reason: String| ToolFailure::Refused {
        reason: format!("{name}: {reason}"),
    };
    let metadata = std::fs::metadata(path).map_err(|error| refused(error.to_string()))?;
    if metadata.len() > u64::try_from(MAX_TEXT_BYTES).unwrap_or(u64::MAX) {
        return Err(refused(format!("the file is over {MAX_TEXT_BYTES} bytes")));
    }
    let text = std::fs::read_to_string(path).map_err(|error| refused(error.to_string()))?;
    let parsed = ParsedConfiguration::parse(&name, &text)
        .map_err(|findings| ToolFailure::Findings { findings })?;
    Ok(CheckedFile { text, parsed })
}

/// Puts the revision in the first line, in place of an existing revision line.
pub(crate) fn with_revision(revision: u64, text: &str) -> String {
    let rest = match text.split_once('\n') {
        Some((first, rest)) if first.starts_with(REVISION_PREFIX) => rest,
        _ => text,
    };
    format!("{REVISION_PREFIX}{revision}\n{rest}")
}

/// Revision in the first line of a text, if that is a revision line.
pub(crate) fn base_revision(text: &str) -> Option<u64> {
    let first = text.lines().next()?;
    first.strip_prefix(REVISION_PREFIX)?.trim().parse().ok()
}

/// Percent-encodes every byte that is not unreserved in a URI (RFC 3986).
pub(crate) fn percent_encode(text: &str) -> String {
    text.bytes().fold(String::new(), |mut escaped, byte| {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            escaped.push(char::from(byte));
        } else {
            let _ = write!(escaped, "%{byte:02X}");
        }
        escaped
    })
}

/// Name of a priority, as in the metrics.
pub(crate) fn priority_name(priority: RequestPriority) -> &'static str {
    match priority {
        RequestPriority::Urgent => "urgent",
        RequestPriority::Normal => "normal",
        RequestPriority::Batch => "batch",
    }
}

/// Formats rows as indented lines: the first column to the left, the others to the right.
pub(crate) fn align_columns<const COLUMNS: usize>(rows: &[[String; COLUMNS]]) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let mut text = String::new();
    for row in rows {
        text.push(' ');
        for (column, cell) in row.iter().enumerate() {
            let width = width(column).unwrap_or(0);
            let _ = match column {
                0 => write!(text, " {cell:<width$}"),
                _ => write!(text, "  {cell:>width$}"),
            };
        }
        text.push('\n');
    }
    text
}
