//! Command line of the daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use pollendrift::settings;

mod keys;
mod run;

/// Router daemon for pipelines over mixed accelerators
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum DaemonCommand {
    /// Run this host's daemon until SIGTERM or SIGINT asks for a planned stop; SIGHUP reads tokens,
    /// keys and log levels again
    #[bpaf(command)]
    Run {
        /// Settings file (YAML)
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Check a settings file: all findings with their places; exit 2 if any is an error
    #[bpaf(command)]
    Check {
        /// Settings file (YAML)
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Make a development authority and certificates for hosts and operators
    #[bpaf(command)]
    Keys {
        #[bpaf(external(keys::key_options))]
        options: keys::KeyOptions,
    },
}

fn main() -> ExitCode {
    match daemon_command().run() {
        DaemonCommand::Run { settings } => run::run(&settings),
        DaemonCommand::Check { settings } => check(&settings),
        DaemonCommand::Keys { options } => keys::make(&options),
    }
}

fn check(path: &std::path::Path) -> ExitCode {
    let report = settings::check(path);
    print!("{}", report.findings);
    ExitCode::from(report.exit_code())
}
