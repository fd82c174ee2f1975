//! Operators' command line of pollendrift.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use pollenctl::{RetrySettings, command_line, run};

/// Column at which help text is wrapped.
const HELP_COLUMNS: usize = 100;
/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let line = match command_line().run_inner(Args::current_args()) {
        Ok(line) => line,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            let is_requested = matches!(failure, ParseFailure::Stdout(..));
            return ExitCode::from(if is_requested { 0 } else { USAGE_EXIT_CODE });
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
