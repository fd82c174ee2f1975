//! `evidence`: finds, shows, exports and verifies evidence records.

use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;

use pollendrift_coordination::base::RequestId;
use pollendrift_coordination::evidence::{ChainHead, EvidenceRecord, request_timeline, verify};
use serde::Deserialize;

use crate::client::OperatorClient;
use crate::command::EvidenceCommand;
use crate::failure::ToolFailure;
use crate::run::ToolOutput;
use crate::text::percent_encode;
use crate::wall_clock::parse_time;

const EVIDENCE_PATH: &str = "/operator/v1/evidence";

#[derive(Deserialize)]
struct RecordList {
    records: Vec<EvidenceRecord>,
}

/// Runs an evidence command. `open` creates the client; `verify` does not call it.
pub(crate) async fn evidence<O>(
    open: O,
    command: &EvidenceCommand,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure>
where
    O: Fn() -> Result<OperatorClient, ToolFailure>,
{
    match command {
        EvidenceCommand::Find { .. } => find(&open()?, command, output).await,
        EvidenceCommand::Show { request } => show(&open()?, request, output).await,
        EvidenceCommand::Export { from, until, file } => {
            let mut query = QueryString::default();
            query.add_time("from", from.as_deref())?;
            query.add_time("until", until.as_deref())?;
            export(&open()?, &query, file, output).await
        }
        EvidenceCommand::Verify { heads, file } => verify_file(heads.as_deref(), file, output),
    }
}

async fn find(
    client: &OperatorClient,
    command: &EvidenceCommand,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let EvidenceCommand::Find {
        request,
        customer,
        outcome,
        selector,
        from,
        until,
        limit,
    } = command
    else {
        return Ok(());
    };
    let mut query = QueryString::default();
    query.add_text("request", request.as_deref());
    query.add_text("customer", customer.as_deref());
    query.add_text("outcome", outcome.as_deref());
    query.add_text("selector", selector.as_deref());
    query.add_time("from", from.as_deref())?;
    query.add_time("until", until.as_deref())?;
    query.add_text("limit", Some(&limit.to_string()));
    let path = format!("{EVIDENCE_PATH}{}", query.as_str());
    let list: RecordList = client.get(&path).await?;
    let mut lines = String::new();
    for record in &list.records {
        lines += &serde_json::to_string(record).map_err(ToolFailure::failed)?;
        lines.push('\n');
    }
    output.print(&lines)
}

async fn show(
    client: &OperatorClient,
    request: &str,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let path = format!("{EVIDENCE_PATH}/requests/{}", percent_encode(request));
    let list: RecordList = client.get(&path).await?;
    let lines = request_timeline(&RequestId::from(request), &list.records);
    output.print(&lines.join("\n"))
}

async fn export(
    client: &OperatorClient,
    query: &QueryString,
    file: &Path,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let file_error = |error: std::io::Error| ToolFailure::Refused {
        reason: format!("{}: {error}", file.display()),
    };
    let path = format!("{EVIDENCE_PATH}/export{}", query.as_str());
    let bytes = client.get_bytes(&path).await?;
    let mut target = std::fs::File::create_new(file).map_err(file_error)?;
    target.write_all(&bytes).map_err(file_error)?;
    target.sync_all().map_err(file_error)?;
    output.print(&format!("{} bytes in {}", bytes.len(), file.display()))
}

fn verify_file(
    heads: Option<&Path>,
    file: &Path,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let text = read_file(file)?;
    let known_heads = match heads {
        Some(path) => read_heads(path)?,
        None => Vec::new(),
    };
    let report = verify(&file.display().to_string(), text.lines(), &known_heads);
    let mut lines = String::new();
    for chain in &report.chains {
        let head = serde_json::to_string(&chain.head).map_err(ToolFailure::failed)?;
        let _ = writeln!(lines, "{head}");
    }
    output.print(&lines)?;
    output.note(&report.findings.to_string());
    if report.findings.has_errors() {
        let reason = format!("{} is not whole", file.display());
        return Err(ToolFailure::Differs { reason });
    }
    let records: u64 = report.chains.iter().map(|chain| chain.records).sum();
    output.note(&format!(
        "complete: {records} records; save the heads above for the next verification"
    ));
    Ok(())
}

fn read_heads(path: &Path) -> Result<Vec<ChainHead>, ToolFailure> {
    let text = read_file(path)?;
    let lines = text.lines().filter(|line| !line.trim().is_empty());
    let heads: Result<Vec<ChainHead>, _> = lines.map(serde_json::from_str).collect();
    heads.map_err(|error| ToolFailure::Refused {
        reason: format!("{}: {error}", path.display()),
    })
}

fn read_file(path: &Path) -> Result<String, ToolFailure> {
    std::fs::read_to_string(path).map_err(|error| ToolFailure::Refused {
        reason: format!("{}: {error}", path.display()),
    })
}

/// Query part of a URI, starting with `?` unless empty.
#[derive(Default)]
struct QueryString {
    text: String,
}

impl QueryString {
    fn add_text(&mut self, key: &str, value: Option<&str>) {
        let Some(value) = value else { return };
        let separator = if self.text.is_empty() { '?' } else { '&' };
        let _ = write!(self.text, "{separator}{key}={}", percent_encode(value));
    }

    fn add_time(&mut self, key: &str, value: Option<&str>) -> Result<(), ToolFailure> {
        if let Some(value) = value {
            let time = parse_time(value)?;
            self.add_text(key, Some(&time.0.to_string()));
        }
        Ok(())
    }

    fn as_str(&self) -> &str {
        &self.text
    }
}
