//! Help of the operators' command line: subcommands, flags and variables of the environment.

#![allow(clippy::expect_used, reason = "a helper that fails is a failed test")]

use std::fmt::Write as _;
use std::process::Command;

const COMMANDS: [&[&str]; 18] = [
    &[],
    &["admission"],
    &["apply"],
    &["check"],
    &["diff"],
    &["dump"],
    &["evidence"],
    &["evidence", "find"],
    &["evidence", "show"],
    &["evidence", "export"],
    &["evidence", "verify"],
    &["explain"],
    &["get"],
    &["history"],
    &["in-force"],
    &["refusal"],
    &["report"],
    &["status"],
];

// A renamed field or variant would rename a subcommand or flag that operators' scripts call.
#[test]
fn subcommands_and_flags_keep_their_names() {
    let mut text = String::new();
    for command in COMMANDS {
        let output = Command::new(env!("CARGO_BIN_EXE_pollenctl"))
            .args(command)
            .arg("--help")
            .env_remove("POLLENCTL_SERVERS")
            .env_remove("POLLENCTL_TOKEN_FILE")
            .env_remove("POLLENCTL_CA_FILE")
            .output()
            .expect("the program");
        let help = String::from_utf8_lossy(&output.stdout);
        let _ = writeln!(
            text,
            "== {} exit {:?}",
            command.join(" "),
            output.status.code()
        );
        text.push_str(&help);
    }
    insta::assert_snapshot!(text);
}
