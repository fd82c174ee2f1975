//! Runs commands and maps failures to exit codes.

use std::io::Write;

use crate::client::OperatorClient;
use crate::command::{CommandLine, ConnectionOptions, ToolCommand};
use crate::failure::ToolFailure;
use crate::retry::RetrySettings;
use crate::{
    admission, apply, check, diff, evidence, explain, get, history, in_force, refusal, report,
};

/// Output streams of a command.
pub(crate) struct ToolOutput<'a> {
    /// Result of the command (standard output).
    pub(crate) out: &'a mut dyn Write,
    /// Notes, warnings and errors (standard error).
    pub(crate) notes: &'a mut dyn Write,
}

impl ToolOutput<'_> {
    /// Writes the result and ends it with a newline.
    pub(crate) fn print(&mut self, text: &str) -> Result<(), ToolFailure> {
        let line_end = if text.is_empty() || text.ends_with('\n') {
            ""
        } else {
            "\n"
        };
        write!(self.out, "{text}{line_end}")
            .and_then(|()| self.out.flush())
            .map_err(ToolFailure::failed)
    }

    /// Writes a note; a write error does not change the outcome of the command.
    pub(crate) fn note(&mut self, text: &str) {
        if !text.is_empty() {
            let _ = writeln!(self.notes, "{}", text.trim_end());
        }
    }
}

/// Runs a command and returns its exit code; `docs/operators/pollenctl.md` lists the codes.
pub async fn run(
    line: CommandLine,
    retry: &RetrySettings,
    out: &mut dyn Write,
    notes: &mut dyn Write,
) -> u8 {
    let mut output = ToolOutput { out, notes };
    match dispatch(line, retry, &mut output).await {
        Ok(()) => 0,
        Err(failure) => {
            output.note(&format!("pollenctl: {failure}"));
            failure.exit_code()
        }
    }
}

async fn dispatch(
    line: CommandLine,
    retry: &RetrySettings,
    output: &mut ToolOutput<'_>,
) -> Result<(), ToolFailure> {
    let open = || OperatorClient::open(&line.connection_options, retry);
    match &line.tool_command {
        ToolCommand::Admission { platform: None } => {
            admission::admission(&open()?, "/operator/v1/dump", output).await
        }
        ToolCommand::Admission {
            platform: Some(address),
        } => {
            // The platform face takes no credentials, so it gets none.
            let options = ConnectionOptions {
                servers: vec![address.clone()],
                token_file: None,
                ..line.connection_options.clone()
            };
            let client = OperatorClient::open(&options, retry)?;
            admission::admission(&client, "/dump", output).await
        }
        ToolCommand::Apply {
            change_id,
            based_on,
            file,
        } => apply::apply(&open()?, change_id.clone(), *based_on, file, output).await,
        ToolCommand::Check { file } => check::check(file, output),
        ToolCommand::Diff { file } => diff::diff(&open()?, file, output).await,
        ToolCommand::Dump => get::show(&open()?, "/operator/v1/dump", output).await,
        ToolCommand::Evidence { evidence_command } => {
            evidence::evidence(open, evidence_command, output).await
        }
        ToolCommand::Explain { .. } => explain::explain(&open()?, &line.tool_command, output).await,
        ToolCommand::Get { revision } => get::get(&open()?, *revision, output).await,
        ToolCommand::History { before, limit } => {
            history::history(&open()?, *before, *limit, output).await
        }
        ToolCommand::InForce { at } => in_force::in_force(&open()?, at.as_deref(), output).await,
        ToolCommand::Refusal { request } => refusal::refusal(&open()?, request, output).await,
        ToolCommand::Report { export, file } => report::report(export, file, output),
        ToolCommand::Status => get::show(&open()?, "/operator/v1/status", output).await,
    }
}
