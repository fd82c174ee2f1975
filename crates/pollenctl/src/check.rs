//! `check`: checks a file without any daemon.

use std::path::Path;

use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::text::read_checked;

/// Reports all findings of a file.
pub(crate) fn check(file: &Path, output: &mut ToolOutput<'_>) -> Result<(), ToolFailure> {
    let parsed = read_checked(file)?.parsed;
    output.note(&parsed.warnings.to_string());
    output.print(&format!(
        "good: {} selectors, {} label rules",
        parsed.selectors().count(),
        parsed.rules().count()
    ))
}
