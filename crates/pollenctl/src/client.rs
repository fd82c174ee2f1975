//! Asks daemons in turn.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::address::ServerAddress;
use crate::command::ConnectionOptions;
use crate::failure::ToolFailure;
use crate::retry::RetrySettings;
use crate::transport::{DaemonAnswer, SendFailure, Transport};

/// A client of all daemons that the command line names.
pub(crate) struct OperatorClient {
    transport: Transport,
    servers: Vec<ServerAddress>,
    token: Option<String>,
    retry: RetrySettings,
}

/// What a try says of the request.
enum TryOutcome {
    /// The daemon answered.
    Answered(DaemonAnswer),
    /// The request did not run; another daemon may do it.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
}

/// An answer, and what is known of the tries before it.
pub(crate) struct AskedAnswer {
    pub(crate) daemon: DaemonAnswer,
    /// Whether any earlier try may have run.
    pub(crate) may_have_run: bool,
}

/// Why no daemon answered.
pub(crate) struct NoAnswer {
    /// Whether any try may have run.
    pub(crate) may_have_run: bool,
    /// What happened to each try, one a line.
    pub(crate) tries: String,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ProblemBody {
    title: String,
    detail: String,
    outcome: String,
}

impl OperatorClient {
    /// A client by the options; reads the token file.
    pub(crate) fn open(
        options: &ConnectionOptions,
        retry: &RetrySettings,
    ) -> Result<Self, ToolFailure> {
        if options.servers.is_empty() {
            return Err(ToolFailure::refused(
                "no daemon is named: give --servers HOST:PORT,... or set POLLENCTL_SERVERS",
            ));
        }
        let token = match &options.token_file {
            None => None,
            Some(path) => {
                let read = std::fs::read_to_string(path);
                let token = read.map_err(|error| ToolFailure::Refused {
                    reason: format!("{}: {error}", path.display()),
                })?;
                Some(token.trim().to_owned())
            }
        };
        let limit = Duration::from_secs(options.timeout);
        Ok(Self {
            transport: Transport::new(options.ca_file.as_deref(), limit)?,
            servers: options.servers.clone(),
            token,
            retry: retry.clone(),
        })
    }

    /// Gets a JSON value.
    pub(crate) async fn get<T>(&self, path: &str) -> Result<T, ToolFailure>
    where
        T: DeserializeOwned,
    {
        let body = self.get_bytes(path).await?;
        serde_json::from_slice(&body).map_err(not_understood)
    }

    /// Gets a body as it is.
    pub(crate) async fn get_bytes(&self, path: &str) -> Result<Bytes, ToolFailure> {
        let asked = self.ask(&Method::GET, path, Bytes::new()).await;
        self.success(asked)
    }

    /// Posts a question, which changes nothing.
    pub(crate) async fn question<B, T>(&self, path: &str, body: &B) -> Result<T, ToolFailure>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(ToolFailure::failed)?;
        let asked = self.ask(&Method::POST, path, body.into()).await;
        serde_json::from_slice(&self.success(asked)?).map_err(not_understood)
    }

    /// Sends a request to one daemon after another, in rounds, until one answers.
    ///
    /// Each try carries the same bytes, so a request must be safe to resend.
    pub(crate) async fn ask(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<AskedAnswer, NoAnswer> {
        let mut failure = NoAnswer {
            may_have_run: false,
            tries: String::new(),
        };
        for round in 0..self.retry.rounds {
            tokio::time::sleep(self.retry.pause_before(round)).await;
            for address in &self.servers {
                let reason = match self.attempt(address, method, path, body.clone()).await {
                    TryOutcome::Answered(daemon) => {
                        let may_have_run = failure.may_have_run;
                        return Ok(AskedAnswer {
                            daemon,
                            may_have_run,
                        });
                    }
                    TryOutcome::NotRun(reason) => reason,
                    TryOutcome::Unknown(reason) => {
                        failure.may_have_run = true;
                        reason
                    }
                };
                let _ = writeln!(failure.tries, "  {address}: {reason}");
            }
        }
        Err(failure)
    }

    async fn attempt(
        &self,
        address: &ServerAddress,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> TryOutcome {
        let request = match self.request(address, method, path, body) {
            Ok(request) => request,
            Err(error) => return TryOutcome::NotRun(error.to_string()),
        };
        let answer = match self.transport.send(address, request).await {
            Ok(answer) => answer,
            Err(failure @ SendFailure::NotSent(_)) => {
                return TryOutcome::NotRun(failure.to_string());
            }
            Err(failure @ SendFailure::NoAnswer(_)) => {
                return TryOutcome::Unknown(failure.to_string());
            }
        };
        if answer.status.is_server_error() {
            return unavailable(&answer);
        }
        TryOutcome::Answered(answer)
    }

    fn request(
        &self,
        address: &ServerAddress,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, format!("{}:{}", address.host, address.port))
            .header(CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        request.body(Full::new(body))
    }

    fn success(&self, asked: Result<AskedAnswer, NoAnswer>) -> Result<Bytes, ToolFailure> {
        let answer = asked.map_err(|none| ToolFailure::Failed {
            reason: format!("no daemon answered:\n{}", none.tries.trim_end()),
        })?;
        let answer = answer.daemon;
        if answer.status.is_success() {
            return Ok(answer.body);
        }
        Err(problem_failure(&answer))
    }
}

/// A daemon that can't do it now; only its own word proves that the request did not run.
fn unavailable(answer: &DaemonAnswer) -> TryOutcome {
    let problem: ProblemBody = serde_json::from_slice(&answer.body).unwrap_or_default();
    let reason = described(answer, &problem);
    match problem.outcome.as_str() {
        "not-run" => TryOutcome::NotRun(reason),
        _ => TryOutcome::Unknown(reason),
    }
}

/// The failure that a problem report stands for.
pub(crate) fn problem_failure(answer: &DaemonAnswer) -> ToolFailure {
    let problem: ProblemBody = serde_json::from_slice(&answer.body).unwrap_or_default();
    let reason = described(answer, &problem);
    match answer.status {
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => ToolFailure::Refused { reason },
        _ => ToolFailure::Failed { reason },
    }
}

fn described(answer: &DaemonAnswer, problem: &ProblemBody) -> String {
    let parts = [problem.title.as_str(), problem.detail.as_str()];
    let words: Vec<&str> = parts.into_iter().filter(|part| !part.is_empty()).collect();
    format!("{} {}", answer.status, words.join(": "))
        .trim_end()
        .to_owned()
}

fn not_understood(error: serde_json::Error) -> ToolFailure {
    ToolFailure::Failed {
        reason: format!("the daemon's answer is not understood: {error}"),
    }
}
