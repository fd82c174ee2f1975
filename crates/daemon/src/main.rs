//! The daemon's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use pollendrift::settings;

/// Router daemon for pipelines over mixed accelerators
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum DaemonCommand {
    /// Check a settings file: all findings with their places; exit 2 if any is an error
    #[bpaf(command)]
    Check {
        /// Settings file (YAML)
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}

fn main() -> ExitCode {
    match daemon_command().run() {
        DaemonCommand::Check { settings } => check(&settings),
    }
}

fn check(path: &std::path::Path) -> ExitCode {
    let report = settings::check(path);
    print!("{}", report.findings);
    ExitCode::from(report.exit_code())
}
