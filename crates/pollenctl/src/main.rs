//! Operators' command line of pollendrift.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use pollenctl::{RetrySettings, command_line, run};

/// Width that help is wrapped to.
const HELP_COLUMNS: usize = 100;
/// Exit code of a command line that is not understood.
const USAGE_EXIT: u8 = 2;

fn main() -> ExitCode {
    let line = match command_line().run_inner(Args::current_args()) {
        Ok(line) => line,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            let asked_for = matches!(failure, ParseFailure::Stdout(..));
            return ExitCode::from(if asked_for { 0 } else { USAGE_EXIT });
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("pollenctl: {error}");
            return ExitCode::FAILURE;
        }
    };
    let retry = RetrySettings::default();
    let (mut out, mut notes) = (std::io::stdout(), std::io::stderr());
    let exit = runtime.block_on(run(line, &retry, &mut out, &mut notes));
    ExitCode::from(exit)
}
