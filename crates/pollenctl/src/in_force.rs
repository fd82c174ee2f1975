//! `in-force`: prints the revision in force at each daemon, or the configuration in force at a
//! past time.

use std::fmt::Write;

use pollendrift_coordination::configuration::{DaemonRevision, InForceView};

use crate::client::OperatorClient;
use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::text::with_revision;
use crate::wall_clock::{format_time, parse_time};

/// Prints the revision at each daemon or, with `at`, the configuration in force at that time.
///
/// # Errors
/// No daemon answers, `at` is invalid, or it is before the retained history.
pub(crate) async fn in_force(
    client: &OperatorClient,
    at: Option<&str>,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let Some(at) = at else {
        let view: InForceView = client.get("/operator/v1/in-force").await?;
        let lines: String = view.daemons.iter().map(format_daemon).collect();
        return output.print(&lines);
    };
    let time = parse_time(at)?;
    let view: InForceView = client
        .get(&format!("/operator/v1/in-force?at={}", time.0))
        .await?;
    let Some(answer) = view.at else {
        let reason = format!("{} is before the retained history", format_time(time));
        return Err(ToolFailure::Failed { reason });
    };
    let change = &answer.change;
    output.note(&format!(
        "revision {}, change {} by {} at {}",
        change.revision,
        change.change_id,
        change.operator,
        format_time(change.time)
    ));
    if answer.clocks_disagree {
        output.note("warning: clocks went backwards around that time; see `history`");
    }
    output.print(&with_revision(change.revision.0, &answer.text))
}

fn format_daemon(daemon: &DaemonRevision) -> String {
    let mut line = format!("{} ", daemon.host);
    let _ = match daemon.revision {
        Some(revision) => write!(line, "revision {revision}"),
        None => write!(line, "not heard of"),
    };
    if let Some(ms) = daemon.heard_ms_ago {
        let _ = write!(line, ", heard of {ms} ms ago");
    }
    line.push('\n');
    line
}
