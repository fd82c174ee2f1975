//! Help of the daemon's command line: subcommands and flags, which are derived from names in code.

#![allow(clippy::expect_used, reason = "a helper that fails is a failed test")]

use std::fmt::Write as _;
use std::process::Command;

// Guards against a renamed field or variant that also renames a subcommand or flag that service
// managers use to start the daemon.
#[test]
fn subcommands_and_flags_keep_their_names() {
    let mut text = String::new();
    for command in [&[][..], &["run"], &["check"], &["keys"]] {
        let output = Command::new(env!("CARGO_BIN_EXE_pollendrift"))
            .args(command)
            .arg("--help")
            .output()
            .expect("the daemon's program");
        let help = String::from_utf8_lossy(&output.stdout);
        let _ = writeln!(
            text,
            "== {} exit {:?}",
            command.concat(),
            output.status.code()
        );
        text.push_str(&help);
    }
    insta::assert_snapshot!(text);
}
