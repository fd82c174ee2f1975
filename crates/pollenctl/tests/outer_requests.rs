//! What pollenctl sends to daemons: paths, headers and bodies.

#![allow(clippy::expect_used, reason = "a helper that fails is a failed test")]

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use pollenctl::{RetrySettings, command_line, run};

const TOKEN: &str = "secret-token";

/// A file that goes away with its guard.
struct TestFile(PathBuf);

impl TestFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("pollenctl-outer-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path in Unicode")
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Reads one request whole and closes the connection after an answer without a body.
fn take_request(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let mut part = [0; 4_096];
    loop {
        let length = stream.read(&mut part).expect("a request");
        if length == 0 {
            return "nothing was sent".to_owned();
        }
        text.push_str(&String::from_utf8_lossy(&part[..length]));
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let declared = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let declared = declared.map_or(0, |length| length.parse().expect("a length"));
        if body.len() >= declared {
            break;
        }
    }
    let answer = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    stream.write_all(answer.as_bytes()).expect("an answer");
    text
}

/// The request that a command line sends first.
async fn sent(command: &[&str]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let daemon = std::thread::spawn(move || take_request(listener.accept().expect("a caller").0));
    let token = TestFile::new(&format!("token-{}", command.concat().len()), TOKEN);
    let options = ["--servers", &address, "--token-file", token.path()];
    let line = command_line().run_inner([&options[..], command].concat().as_slice());
    let retry = RetrySettings {
        rounds: 1,
        base_backoff: Duration::ZERO,
    };
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let runtime = run(line.expect("is understood"), &retry, &mut out, &mut notes);
    runtime.await;
    // Ends the wait for a request where none was sent.
    drop(TcpStream::connect(&address));
    let request = daemon.join().expect("a request");
    request.replace(&address, "DAEMON").replace("\r\n", "\n")
}

// A renamed path, parameter, header or field would be refused by daemons of the other version.
#[tokio::test]
async fn requests_keep_their_form() {
    let file = TestFile::new(
        "c.yaml",
        "# revision: 7\nkind: selector\nname: s\nmodel: m\n",
    );
    let export = std::env::temp_dir().join(format!("pollenctl-outer-{}", std::process::id()));
    let export = export.to_str().expect("a path in Unicode");
    let commands: [&[&str]; 14] = [
        &["admission"],
        &["apply", "--change-id", "c1", file.path()],
        &["diff", file.path()],
        &["dump"],
        &[
            "evidence",
            "find",
            "--request",
            "r1",
            "--customer",
            "c",
            "--outcome",
            "complete",
            "--selector",
            "s",
            "--from",
            "1",
            "--until",
            "2",
            "--limit",
            "3",
        ],
        &["evidence", "show", "r1"],
        &["evidence", "export", "--from", "1", "--until", "2", export],
        &[
            "explain",
            "--customer",
            "c",
            "--model",
            "m",
            "--adapter",
            "a",
            "--path",
            "/x",
            "--attribute",
            "header.x=1",
        ],
        &["explain", "--customer", "c", "--service", "s"],
        &["get", "--revision", "6"],
        &["history", "--before", "9", "--limit", "4"],
        &["in-force", "--at", "5"],
        &["refusal", "d/1"],
        &["status"],
    ];
    let mut text = String::new();
    for command in commands {
        let words = command.join(" ").replace(file.path(), "FILE");
        let words = words.replace(export, "EXPORT");
        text += &format!("== {words}\n{}\n", sent(command).await.trim_end());
    }
    insta::assert_snapshot!(text);
}
