//! A daemon with scripted replies, and helpers that run commands against it.

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

/// Reaction of the daemon to one request.
#[derive(Clone, Debug)]
pub(crate) enum ScriptedReply {
    /// Answers with this status and body.
    Answer(u16, String),
    /// Reads the request and closes the connection without an answer.
    CloseConnection,
}

/// Daemon with scripted replies on an ephemeral port.
pub(crate) struct ScriptedDaemon {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl ScriptedDaemon {
    /// Starts a daemon that follows `script` and repeats its last step.
    pub(crate) async fn start(script: Vec<ScriptedReply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let shared = requests.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (requests, script) = (shared.clone(), script.clone());
                let service =
                    service_fn(move |request| answer(request, requests.clone(), script.clone()));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
        });
        Self { address, requests }
    }

    /// Method, path and body of all received requests.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

async fn answer(
    request: Request<Incoming>,
    requests: Arc<Mutex<Vec<String>>>,
    script: Vec<ScriptedReply>,
) -> Result<Response<Full<Bytes>>, String> {
    let head = format!("{} {}", request.method(), request.uri());
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let number = {
        let mut requests = requests.lock().map_err(|error| error.to_string())?;
        requests.push(format!("{head} {body}"));
        requests.len()
    };
    match script.get(number - 1).or(script.last()) {
        Some(ScriptedReply::Answer(status, body)) => Response::builder()
            .status(*status)
            .body(Full::new(Bytes::from(body.clone())))
            .map_err(|error| error.to_string()),
        Some(ScriptedReply::CloseConnection) | None => Err("closed by the script".to_owned()),
    }
}

/// Exit code, standard output and standard error of a command.
pub(crate) struct CommandResult {
    pub(crate) exit: u8,
    pub(crate) out: String,
    pub(crate) notes: String,
}

/// Runs a command with two rounds and no back-off.
pub(crate) async fn pollenctl(arguments: &[&str]) -> CommandResult {
    let line = command_line().run_inner(arguments).unwrap();
    let retry = RetrySettings {
        rounds: 2,
        base_backoff: Duration::ZERO,
    };
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let exit = run(line, &retry, &mut out, &mut notes).await;
    CommandResult {
        exit,
        out: String::from_utf8(out).unwrap(),
        notes: String::from_utf8(notes).unwrap(),
    }
}

/// Temporary file, removed on drop.
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
