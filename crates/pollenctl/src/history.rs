//! `history`: lists accepted changes.

use std::fmt::Write;

use pollendrift_coordination::configuration::HistoryView;

use crate::client::OperatorClient;
use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::wall_clock::format_time;

/// Prints one accepted change per line, newest first.
pub(crate) async fn history(
    client: &OperatorClient,
    before: Option<u64>,
    limit: usize,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let before = before.map_or_else(String::new, |revision| format!("&before={revision}"));
    let path = format!("/operator/v1/history?limit={limit}{before}");
    let view: HistoryView = client.get(&path).await?;
    let mut text = String::new();
    for change in &view.changes {
        let _ = writeln!(
            text,
            "{} {} {} change {}: {}",
            change.revision,
            format_time(change.time),
            change.operator,
            change.change_id,
            change.difference,
        );
    }
    output.print(&text)
}
