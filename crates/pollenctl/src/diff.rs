//! `diff`: compares a file with the configuration in force.

use std::fmt::Write;
use std::path::Path;

use pollendrift_coordination::configuration::{
    CanonicalText, ConfigurationView, ParsedConfiguration,
};

use crate::client::OperatorClient;
use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::text::read_and_check;

/// Prints the differences between the file and the configuration in force.
///
/// Canonical documents are compared by key, so document order and formatting make no difference.
///
/// # Errors
/// [`ToolFailure::Differs`] if they differ; other failures if either can't be read.
pub(crate) async fn diff(
    client: &OperatorClient,
    file: &Path,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let checked = read_and_check(file)?;
    let view: ConfigurationView = client.get("/operator/v1/configuration").await?;
    let in_force = ParsedConfiguration::parse("in force", &view.text)
        .map_err(|findings| ToolFailure::Findings { findings })?;
    let text = format_difference(in_force.canonical(), checked.parsed.canonical());
    if text.is_empty() {
        return output.print(&format!("no difference from revision {}", view.revision));
    }
    output.print(&text)?;
    let reason = format!("the file differs from revision {}", view.revision);
    Err(ToolFailure::Differs { reason })
}

fn format_difference(earlier: &CanonicalText, later: &CanonicalText) -> String {
    let mut text = String::new();
    for change in earlier.changes_to(later) {
        let old = earlier
            .documents()
            .get(&change.key)
            .map_or("", AsRef::as_ref);
        let new = change.text.as_deref().unwrap_or("");
        let mark = match (old.is_empty(), new.is_empty()) {
            (true, _) => '+',
            (_, true) => '-',
            _ => '~',
        };
        let _ = writeln!(text, "{mark} {}", change.key);
        for line in old
            .lines()
            .filter(|line| !new.lines().any(|other| other == *line))
        {
            let _ = writeln!(text, "    - {line}");
        }
        for line in new
            .lines()
            .filter(|line| !old.lines().any(|other| other == *line))
        {
            let _ = writeln!(text, "    + {line}");
        }
    }
    text
}
