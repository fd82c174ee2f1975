//! Stand-ins for the cases of the second review: platform, operator, clients and plain engines.
//!
//! `standins-2 engine ...` is one engine of a plain service, as a process of its own.
//! `standins-2 CASE FOLDER` plays a case and exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run. The environment variable `TROUBLE=0` leaves out the disruption.

mod cases;
mod cluster;
mod engine;
mod http;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let verdict = match words.as_slice() {
        ["engine", rest @ ..] => {
            engine::run(rest);
            return ExitCode::SUCCESS;
        }
        ["old-service", folder] => cases::old_service(folder),
        ["founder-restart", folder] => cases::founder_restart(folder),
        _ => Err("usage: standins-2 engine ... | old-service FOLDER | founder-restart FOLDER".to_owned()),
    };
    match verdict {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
