//! HTTP client of the operator interface that tries the daemons in turn.

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

/// Client of all daemons listed on the command line.
pub(crate) struct OperatorClient {
    transport: Transport,
    servers: Vec<ServerAddress>,
    token: Option<String>,
    retry: RetrySettings,
}

/// Result of one attempt at one daemon.
enum AttemptOutcome {
    /// The daemon answered.
    Answered(DaemonAnswer),
    /// The request did not run, so another daemon may be tried; the reason.
    NotRun(String),
    /// The request may have run; the reason.
    Unknown(String),
}

/// Answer of a daemon, with the result of the attempts before it.
pub(crate) struct ReceivedAnswer {
    pub(crate) daemon: DaemonAnswer,
    /// Whether the request may have run in an earlier attempt.
    pub(crate) may_have_run: bool,
}

/// Failure of all attempts.
pub(crate) struct NoAnswer {
    /// Whether the request may have run in any attempt.
    pub(crate) may_have_run: bool,
    /// Result of each attempt, one per line.
    pub(crate) attempts: String,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ProblemBody {
    title: String,
    detail: String,
    outcome: String,
}

impl OperatorClient {
    /// Creates a client and reads the token file.
    ///
    /// # Errors
    /// No daemon is given, or the token file or the CA file can't be read.
    pub(crate) fn open(
        options: &ConnectionOptions,
        retry: &RetrySettings,
    ) -> Result<Self, ToolFailure> {
        if options.servers.is_empty() {
            return Err(ToolFailure::refused(
                "no daemon address is given: use --servers HOST:PORT,... or set POLLENCTL_SERVERS",
            ));
        }
        let token = match &options.token_file {
            None => None,
            Some(path) => {
                let text = std::fs::read_to_string(path);
                let token = text.map_err(|error| ToolFailure::Refused {
                    reason: format!("{}: {error}", path.display()),
                })?;
                Some(token.trim().to_owned())
            }
        };
        let timeout = Duration::from_secs(options.timeout);
        Ok(Self {
            transport: Transport::new(options.ca_file.as_deref(), timeout)?,
            servers: options.servers.clone(),
            token,
            retry: retry.clone(),
        })
    }

    /// Sends a GET request and decodes the JSON body.
    pub(crate) async fn get<T>(&self, path: &str) -> Result<T, ToolFailure>
    where
        T: DeserializeOwned,
    {
        let body = self.get_bytes(path).await?;
        serde_json::from_slice(&body).map_err(decode_failure)
    }

    /// Sends a GET request and returns the body undecoded.
    pub(crate) async fn get_bytes(&self, path: &str) -> Result<Bytes, ToolFailure> {
        let result = self.send_request(&Method::GET, path, Bytes::new()).await;
        self.require_success(result)
    }

    /// Sends a read-only query as a POST request and decodes the JSON body.
    pub(crate) async fn post_query<B, T>(&self, path: &str, body: &B) -> Result<T, ToolFailure>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(ToolFailure::failed)?;
        let result = self.send_request(&Method::POST, path, body.into()).await;
        serde_json::from_slice(&self.require_success(result)?).map_err(decode_failure)
    }

    /// Sends a request to one daemon after another, in rounds, until one answers.
    ///
    /// Every attempt sends the same bytes, so the request must be safe to resend.
    pub(crate) async fn send_request(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<ReceivedAnswer, NoAnswer> {
        let mut failure = NoAnswer {
            may_have_run: false,
            attempts: String::new(),
        };
        for round in 0..self.retry.rounds {
            tokio::time::sleep(self.retry.backoff_before(round)).await;
            for address in &self.servers {
                let reason = match self.attempt(address, method, path, body.clone()).await {
                    AttemptOutcome::Answered(daemon) => {
                        let may_have_run = failure.may_have_run;
                        return Ok(ReceivedAnswer {
                            daemon,
                            may_have_run,
                        });
                    }
                    AttemptOutcome::NotRun(reason) => reason,
                    AttemptOutcome::Unknown(reason) => {
                        failure.may_have_run = true;
                        reason
                    }
                };
                let _ = writeln!(failure.attempts, "  {address}: {reason}");
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
    ) -> AttemptOutcome {
        let request = match self.build_request(address, method, path, body) {
            Ok(request) => request,
            Err(error) => return AttemptOutcome::NotRun(error.to_string()),
        };
        let answer = match self.transport.send(address, request).await {
            Ok(answer) => answer,
            Err(failure @ SendFailure::NotSent(_)) => {
                return AttemptOutcome::NotRun(failure.to_string());
            }
            Err(failure @ SendFailure::NoAnswer(_)) => {
                return AttemptOutcome::Unknown(failure.to_string());
            }
        };
        if answer.status.is_server_error() {
            return classify_server_error(&answer);
        }
        AttemptOutcome::Answered(answer)
    }

    fn build_request(
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

    fn require_success(
        &self,
        result: Result<ReceivedAnswer, NoAnswer>,
    ) -> Result<Bytes, ToolFailure> {
        let answer = result.map_err(|failure| ToolFailure::Failed {
            reason: format!("no daemon answered:\n{}", failure.attempts.trim_end()),
        })?;
        let answer = answer.daemon;
        if answer.status.is_success() {
            return Ok(answer.body);
        }
        Err(problem_failure(&answer))
    }
}

/// Classifies a 5xx answer. The request is known not to have run only if the daemon's problem
/// report says so; a proxy in between may answer without such a report.
fn classify_server_error(answer: &DaemonAnswer) -> AttemptOutcome {
    let problem: ProblemBody = serde_json::from_slice(&answer.body).unwrap_or_default();
    let reason = describe(answer, &problem);
    match problem.outcome.as_str() {
        "not-run" => AttemptOutcome::NotRun(reason),
        _ => AttemptOutcome::Unknown(reason),
    }
}

/// Converts the problem report of an answer to a failure.
pub(crate) fn problem_failure(answer: &DaemonAnswer) -> ToolFailure {
    let problem: ProblemBody = serde_json::from_slice(&answer.body).unwrap_or_default();
    let reason = describe(answer, &problem);
    match answer.status {
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => ToolFailure::Refused { reason },
        _ => ToolFailure::Failed { reason },
    }
}

fn describe(answer: &DaemonAnswer, problem: &ProblemBody) -> String {
    let parts = [problem.title.as_str(), problem.detail.as_str()];
    let texts: Vec<&str> = parts.into_iter().filter(|part| !part.is_empty()).collect();
    format!("{} {}", answer.status, texts.join(": "))
        .trim_end()
        .to_owned()
}

fn decode_failure(error: serde_json::Error) -> ToolFailure {
    ToolFailure::Failed {
        reason: format!("the daemon's answer is not valid JSON of the expected form: {error}"),
    }
}
