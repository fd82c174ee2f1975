//! `admission`: shows the admission state of one host, from its dump.

use std::collections::BTreeMap;
use std::fmt::Write;

use pollendrift_coordination::base::ServiceName;
use pollendrift_coordination::limits::{AdmissionCounts, CustomerCounts, RequestPriority};
use serde::Deserialize;

use crate::client::OperatorClient;
use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::text::{align_columns, priority_name};

/// Parts of a dump that this command reads.
#[derive(Deserialize)]
struct DumpParts {
    /// `None` if the daemon does not relay.
    admission: Option<BTreeMap<ServiceName, ServiceAdmission>>,
    #[serde(default)]
    demand_shares: Vec<ServiceShare>,
}

#[derive(Deserialize)]
struct ServiceAdmission {
    capacity_tokens: Option<u64>,
    held_tokens: u64,
    inputs: Option<MeasuredMemory>,
    report_age_ms: Option<u64>,
    promised_returns: u32,
    counts: AdmissionCounts,
    most_refused: Vec<CustomerCounts>,
}

#[derive(Deserialize)]
struct MeasuredMemory {
    total: u64,
    free: i64,
}

#[derive(Deserialize)]
struct ServiceShare {
    service: ServiceName,
    share: f64,
    known_hosts: u32,
    hosts: u32,
}

/// Prints a table for each service that admits drafts by priority.
///
/// # Errors
/// No daemon answers, or the one that does has no admission by priority.
pub(crate) async fn admission(
    client: &OperatorClient,
    path: &str,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let parts: DumpParts = client.get(path).await?;
    let Some(services) = parts.admission else {
        return Err(ToolFailure::failed(
            "the dump has no part `admission`: the daemon does not relay",
        ));
    };
    if services.is_empty() {
        return output.print("no service has drafts of different priorities at this host");
    }
    let tables = services.iter().map(|(name, service)| {
        let mut shares = parts.demand_shares.iter();
        let share = shares.find(|share| share.service == *name);
        format_service(name, service, share)
    });
    output.print(&tables.collect::<Vec<_>>().join("\n"))
}

fn format_service(
    name: &ServiceName,
    service: &ServiceAdmission,
    share: Option<&ServiceShare>,
) -> String {
    let none = || "none".to_owned();
    let capacity = service.capacity_tokens;
    let capacity = capacity.map_or_else(|| "no limit".to_owned(), |t| format!("{t} tokens"));
    // A service without demand for 10 s has no share of its own.
    let share = share.map_or_else(none, |share| {
        let (known, hosts) = (share.known_hosts, share.hosts);
        format!("{:.4}, {known} of {hosts} hosts known", share.share)
    });
    let free = service.inputs.as_ref().map_or_else(none, |inputs| {
        format!("{} of {} tokens", inputs.free, inputs.total)
    });
    let age = service.report_age_ms;
    let age = age.map_or_else(none, |age| format!("{age} ms old"));
    let mut text = format!(
        "service {name}\n  capacity: {capacity}\n  held: {} tokens\n  share: {share}\n  free: \
         {free}\n  reports: {age}\n  promised returns: {}\n",
        service.held_tokens, service.promised_returns
    );
    let mut rows =
        vec![["priority", "admitted", "after wait", "waiting", "refused"].map(str::to_owned)];
    for priority in RequestPriority::DESCENDING {
        let counts = service.counts.of(priority);
        rows.push([
            priority_name(priority).to_owned(),
            counts.admitted.to_string(),
            counts.admitted_after_wait.to_string(),
            counts.waiting.to_string(),
            counts.refused.to_string(),
        ]);
    }
    let _ = write!(text, "{}", align_columns(&rows));
    if service.most_refused.is_empty() {
        return text;
    }
    let mut rows =
        vec![["customer", "admitted", "waiting", "running", "refused"].map(str::to_owned)];
    for counts in &service.most_refused {
        rows.push([
            name_of(counts),
            counts.admitted.to_string(),
            counts.waiting.to_string(),
            counts.in_flight.to_string(),
            counts.refused.to_string(),
        ]);
    }
    let _ = write!(text, "{}", align_columns(&rows));
    text
}

/// Name of a customer; requests without a key have none.
fn name_of(counts: &CustomerCounts) -> String {
    match counts.customer.as_str() {
        "" => "(without key)".to_owned(),
        name => name.to_owned(),
    }
}
