//! `refusal`: shows why a draft was refused for lack of capacity, from the records of all hosts.

use std::fmt::Write;

use pollendrift_coordination::base::HostName;
use pollendrift_coordination::limits::{RefusalAnswer, RefusalView};

use crate::client::OperatorClient;
use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::text::{percent_encode, priority_name};

/// Prints the refusals of a request at each host, and notes the hosts that can't be reached.
///
/// # Errors
/// No daemon answers, or no host knows a refusal of the request.
pub(crate) async fn refusal(
    client: &OperatorClient,
    request: &str,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let path = format!("/operator/v1/refusals/{}", percent_encode(request));
    let answer: RefusalAnswer = client.get(&path).await?;
    let mut text = String::new();
    for host in &answer.hosts {
        if let Some(reason) = &host.failure {
            output.note(&format!("warning: {} is not reached: {reason}", host.host));
        }
        for refusal in &host.refusals {
            write_refusal(&mut text, &host.host, refusal);
        }
    }
    if !answer.is_complete {
        output.note("warning: no keeper is reached; there are hosts that were not asked");
    }
    if text.is_empty() {
        let reached = answer.hosts.iter().filter(|host| host.failure.is_none());
        let reason = format!(
            "none of the {} hosts that answered knows a refusal of {request}",
            reached.count()
        );
        return Err(ToolFailure::Failed { reason });
    }
    output.print(&text)
}

fn write_refusal(text: &mut String, host: &HostName, refusal: &RefusalView) {
    let customer = refusal.customer.as_ref();
    let customer = customer.map_or_else(|| "unknown".to_owned(), ToString::to_string);
    let caller = match refusal.is_return {
        Some(true) => ", a returning caller",
        Some(false) => ", a new caller",
        None => "",
    };
    let capacity = refusal.capacity_tokens.map_or_else(
        || "without a limit".to_owned(),
        |tokens| format!("of {tokens}"),
    );
    let _ = writeln!(
        text,
        "{host}: refused {} ms ago: {}\n  service {}, customer {customer}, priority {}, {} \
         tokens{caller}\n  refused {} ms after its arrival, told to come back after {} ms\n  admitted \
         drafts of the host held {} tokens {capacity}",
        refusal.refused_ms_ago,
        refusal.reason,
        refusal.service,
        priority_name(refusal.priority),
        refusal.tokens,
        refusal.waited_ms,
        refusal.retry_after_ms,
        refusal.held_tokens,
    );
    let _ = match &refusal.inputs {
        Some(inputs) => writeln!(
            text,
            "  engines: {} of {} tokens free, share of the host {:.4}, reports {} ms old",
            inputs.free_tokens, inputs.total_tokens, inputs.share, inputs.age_ms
        ),
        None => writeln!(text, "  engines: no report yet"),
    };
}
