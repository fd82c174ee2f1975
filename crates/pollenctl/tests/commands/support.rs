//! A daemon that answers by a script, and a command run against it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use pollenctl::{RetrySettings, command_line, run};
use tokio::net::TcpListener;

/// What the daemon does with the next request.
#[derive(Clone, Debug)]
pub(crate) enum Scripted {
    /// It answers.
    Answer(u16, String),
    /// It reads the request and closes the connection.
    Lose,
}

/// A daemon on an ephemeral port.
pub(crate) struct ScriptedDaemon {
    pub(crate) address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
}

impl ScriptedDaemon {
    /// Starts a daemon that follows `script` and stays with its last step.
    pub(crate) async fn start(script: Vec<Scripted>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let shared = seen.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (seen, script) = (shared.clone(), script.clone());
                let service =
                    service_fn(move |request| answer(request, seen.clone(), script.clone()));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
        });
        Self { address, seen }
    }

    /// Requests so far: method, path and body.
    pub(crate) fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }
}

async fn answer(
    request: Request<Incoming>,
    seen: Arc<Mutex<Vec<String>>>,
    script: Vec<Scripted>,
) -> Result<Response<Full<Bytes>>, String> {
    let head = format!("{} {}", request.method(), request.uri());
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let number = {
        let mut seen = seen.lock().map_err(|error| error.to_string())?;
        seen.push(format!("{head} {body}"));
        seen.len()
    };
    match script.get(number - 1).or(script.last()) {
        Some(Scripted::Answer(status, body)) => Response::builder()
            .status(*status)
            .body(Full::new(Bytes::from(body.clone())))
            .map_err(|error| error.to_string()),
        Some(Scripted::Lose) | None => Err("closed by the script".to_owned()),
    }
}

/// Exit code, output and notes of a command.
pub(crate) struct Ran {
    pub(crate) exit: u8,
    pub(crate) out: String,
    pub(crate) notes: String,
}

/// Runs a command line.
pub(crate) async fn pollenctl(arguments: &[&str]) -> Ran {
    let line = command_line().run_inner(arguments).unwrap();
    let retry = RetrySettings {
        rounds: 2,
        first_pause: Duration::ZERO,
    };
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let exit = run(line, &retry, &mut out, &mut notes).await;
    Ran {
        exit,
        out: String::from_utf8(out).unwrap(),
        notes: String::from_utf8(notes).unwrap(),
    }
}

/// A file that goes away with its guard.
pub(crate) struct TestFile {
    pub(crate) path: String,
}

impl TestFile {
    pub(crate) fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("pollenctl-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self {
            path: path.to_str().unwrap().to_owned(),
        }
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
