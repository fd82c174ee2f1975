//! `check`: checks a configuration file without contacting a daemon.

use std::path::Path;

use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::text::read_and_check;

/// Prints the warnings and object counts of a valid file.
///
/// # Errors
/// The file can't be read, or all its findings if one is an error.
pub(crate) fn check(file: &Path, output: &mut ToolOutput<'_>) -> Result<(), ToolFailure> {
    let parsed = read_and_check(file)?.parsed;
    output.note(&parsed.warnings.to_string());
    output.print(&format!(
        "good: {} selectors, {} label rules",
        parsed.selectors().count(),
        parsed.rules().count()
    ))
}
