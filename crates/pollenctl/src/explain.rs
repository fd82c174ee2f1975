//! `explain`: shows which selector would serve a request, and why the others would not.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

use pollendrift_coordination::configuration::{ExplainBody, ExplainView};

use crate::client::OperatorClient;
use crate::command::ToolCommand;
use crate::failure::ToolFailure;
use crate::run::ToolOutput;

/// Prints one selector per line in matching order, with `*` before the serving one, then the
/// backend servers.
pub(crate) async fn explain(
    client: &OperatorClient,
    command: &ToolCommand,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let body = request_body(command)?;
    let view: ExplainView = client.post_query("/operator/v1/explain", &body).await?;
    output.print(&format_explanation(&view))
}

fn request_body(command: &ToolCommand) -> Result<ExplainBody, ToolFailure> {
    let ToolCommand::Explain {
        customer,
        model,
        adapter,
        service,
        path,
        attribute,
    } = command
    else {
        return Err(ToolFailure::refused(
            "internal error: expected an explain command",
        ));
    };
    let mut attributes = BTreeMap::new();
    for text in attribute {
        let Some((key, value)) = text.split_once('=') else {
            let reason = format!("invalid attribute {text}: expected KEY=VALUE");
            return Err(ToolFailure::Refused { reason });
        };
        attributes.insert(Arc::from(key), Arc::from(value));
    }
    let body = ExplainBody {
        customer: customer.clone(),
        model: model.clone(),
        adapter: adapter.clone(),
        service: service.clone(),
        path: path.clone(),
        attributes,
    };
    if body.facts().is_none() {
        return Err(ToolFailure::refused("give one of --model and --service"));
    }
    Ok(body)
}

fn format_explanation(view: &ExplainView) -> String {
    let mut text = String::new();
    let _ = match &view.serves {
        Some(selector) => writeln!(text, "revision {}: {selector} serves it", view.revision),
        None => writeln!(text, "revision {}: no selector serves it", view.revision),
    };
    for entry in &view.selectors {
        let serves = view.serves.as_ref() == Some(&entry.selector);
        let mark = if serves { '*' } else { ' ' };
        let reason = entry.reason.as_deref().unwrap_or("matches");
        let _ = writeln!(text, "{mark} {} {}: {reason}", entry.order, entry.selector);
    }
    for entry in &view.servers {
        let reason = entry.reason.as_deref().unwrap_or("allowed");
        let _ = writeln!(text, "  backend server {}: {reason}", entry.server);
    }
    text
}
