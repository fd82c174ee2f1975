//! Configuration files and the line that says which revision they were made from.

use std::path::Path;

use pollendrift_coordination::configuration::{MAX_TEXT_BYTES, ParsedConfiguration};

use crate::failure::ToolFailure;

/// Start of the first line of a file that `get` wrote.
const REVISION_MARK: &str = "# revision: ";

/// A configuration file that was found good.
pub(crate) struct CheckedFile {
    pub(crate) text: String,
    pub(crate) parsed: ParsedConfiguration,
}

/// Reads a file and checks it whole.
pub(crate) fn read_checked(path: &Path) -> Result<CheckedFile, ToolFailure> {
    let name = path.display().to_string();
    let refused = |reason: String| ToolFailure::Refused {
        reason: format!("{name}: {reason}"),
    };
    let size = std::fs::metadata(path).map_err(|error| refused(error.to_string()))?;
    if size.len() > u64::try_from(MAX_TEXT_BYTES).unwrap_or(u64::MAX) {
        return Err(refused(format!("over {MAX_TEXT_BYTES} bytes")));
    }
    let text = std::fs::read_to_string(path).map_err(|error| refused(error.to_string()))?;
    let parsed = ParsedConfiguration::parse(&name, &text)
        .map_err(|findings| ToolFailure::Findings { findings })?;
    Ok(CheckedFile { text, parsed })
}

/// The text with its revision in the first line.
pub(crate) fn with_revision(revision: u64, text: &str) -> String {
    let rest = match text.split_once('\n') {
        Some((first, rest)) if first.starts_with(REVISION_MARK) => rest,
        _ => text,
    };
    format!("{REVISION_MARK}{revision}\n{rest}")
}

/// The revision that the first line of a text names.
pub(crate) fn revision_of(text: &str) -> Option<u64> {
    let first = text.lines().next()?;
    first.strip_prefix(REVISION_MARK)?.trim().parse().ok()
}
