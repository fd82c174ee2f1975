//! Answers of a daemon that break the rules of HTTP.

#![allow(clippy::expect_used, reason = "a helper that fails is a failed test")]

use std::time::Duration;

use pollenctl::{RetrySettings, command_line, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A file of evidence, as far as the tool reads it.
const EXPORT: &str = "first\nsecond\n";

/// Heads of answers with the body [`EXPORT`] that do not say where it ends, or where it does not end.
const BROKEN_HEADS: [&str; 8] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n",
    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 6\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunke\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-a: b\n\ncontent-length: 13\r\n\r\n",
    "HTTP/1.1 204 No Content\r\ncontent-length: 13\r\n\r\n",
    "HTTP/1.1 205 Reset Content\r\ncontent-length: 13\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\ncontent-length: 13\r\n\r\n",
];

/// Exit code of an export from a daemon that sends `answer`, and the text of the file.
async fn export(answer: String) -> (u8, Option<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let daemon = async {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(stream.read_u8().await.expect("a request"));
            }
            stream.write_all(answer.as_bytes()).await.expect("open");
        }
    };
    let file = std::env::temp_dir().join(format!("pollenctl-broken-{}", std::process::id()));
    let path = file.to_str().expect("a path in Unicode");
    let words = ["--servers", &address, "evidence", "export", path];
    let line = command_line().run_inner(&words[..]);
    let retry = RetrySettings {
        rounds: 1,
        base_backoff: Duration::ZERO,
    };
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let exit = tokio::select! {
        exit = run(line.expect("is understood"), &retry, &mut out, &mut notes) => exit,
        () = daemon => unreachable!("the daemon never ends"),
    };
    let text = std::fs::read_to_string(&file).ok();
    // The file is missing after a failed export.
    let _ = std::fs::remove_file(&file);
    (exit, text)
}

// Guards against a file of evidence that is cut, or has other bytes in it, and counts as exported.
#[tokio::test]
async fn a_broken_answer_is_no_export() {
    let sound = format!("HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{EXPORT}");
    assert_eq!(export(sound).await, (0, Some(EXPORT.to_owned())));
    for head in BROKEN_HEADS {
        let exported = export(head.to_owned() + EXPORT).await;
        assert_eq!(exported, (1, None), "{head:?}");
    }
}
