//! `get`, `status` and `dump`: print the configuration or the state of a daemon.

use pollendrift_coordination::configuration::ConfigurationView;

use crate::client::OperatorClient;
use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::text::with_revision;

/// Prints a configuration with its revision in the first line, from which `apply` reads the base
/// revision of an edited copy.
pub(crate) async fn get(
    client: &OperatorClient,
    revision: Option<u64>,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let query = revision.map_or_else(String::new, |revision| format!("?revision={revision}"));
    let path = format!("/operator/v1/configuration{query}");
    let view: ConfigurationView = client.get(&path).await?;
    output.print(&with_revision(view.revision.0, &view.text))
}

/// Prints a JSON answer with indentation.
pub(crate) async fn show(
    client: &OperatorClient,
    path: &str,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let value: serde_json::Value = client.get(path).await?;
    let text = serde_json::to_string_pretty(&value).map_err(ToolFailure::failed)?;
    output.print(&text)
}
