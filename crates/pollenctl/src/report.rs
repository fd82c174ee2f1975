//! `report`: renders an exported file as one HTML page, without contacting a daemon.

use std::io::Write as _;
use std::path::Path;

use pollendrift_coordination::evidence::report_page;

use crate::failure::ToolFailure;
use crate::run::ToolOutput;

/// Writes the page for `export` to `file`, which must not exist.
pub(crate) fn report(
    export: &Path,
    file: &Path,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let refused = |path: &Path, reason: String| ToolFailure::Refused {
        reason: format!("{}: {reason}", path.display()),
    };
    let text =
        std::fs::read_to_string(export).map_err(|error| refused(export, error.to_string()))?;
    let page = report_page(&export.display().to_string(), text.lines())
        .map_err(|error| refused(export, error.to_string()))?;
    std::fs::File::create_new(file)
        .and_then(|mut target| {
            target.write_all(page.as_bytes())?;
            target.sync_all()
        })
        .map_err(|error| refused(file, error.to_string()))?;
    output.print(&format!("{} bytes in {}", page.len(), file.display()))
}
