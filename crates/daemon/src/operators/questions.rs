//! Operators' questions: those that only keepers answer, and those that every host answers.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use pollendrift_coordination::base::{HostName, RequestId, Revision, WallTime};
use pollendrift_coordination::configuration::{
    ConfigurationView, DaemonRevision, ExplainBody, ExplainView, ExplainedServer, HistoryView,
    InForceView,
};
use pollendrift_coordination::evidence::{EvidenceFilter, EvidenceRecord};
use pollendrift_coordination::limits::RefusalAnswer;
use pollendrift_http::{ResponseBody, full_body, json_response, read_json_request};
use serde::{Deserialize, Serialize};

use super::OperatorContext;
use super::problem::OperatorProblem;
use super::query::QueryPairs;
use crate::agreed::AgreedState;
use crate::clock::TimeSource;
use crate::evidence::EvidenceFiles;
use crate::keeper::{KeeperClient, KeeperList};
use crate::peers::{PeerAnswer, PeerHub, PeerQuestion};
use crate::refusals::RefusalStore;
use crate::state::SharedState;

/// Maximum size of the body of an explain request in bytes.
const MAX_EXPLAIN_BYTES: usize = 256 * 1024;
/// Number of changes in an answer if the question sets no limit.
const DEFAULT_HISTORY: usize = 100;
/// Number of evidence records in an answer if the question sets no limit.
const DEFAULT_RECORDS: usize = 100;
/// Maximum number of evidence records in an answer.
const MAX_RECORDS: usize = 1_000;
/// Timeout of a question to one keeper.
const KEEPER_TIMEOUT: Duration = Duration::from_secs(3);
/// Path of the refusals of a request, before its id.
const REFUSALS_PREFIX: &str = "refusals/";
const JSON: &str = "application/json";
const JSON_LINES: &str = "application/jsonl";

/// A question that one host asks another one for an operator; most are for keepers only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperQuestion {
    /// A revision of the configuration.
    Configuration {
        /// The revision; `None` for the one in force.
        revision: Option<Revision>,
    },
    /// Accepted changes, newest first.
    History {
        /// Exclusive upper limit of the revisions; `None` starts at the newest.
        before: Option<Revision>,
        /// Maximum number of changes.
        limit: usize,
    },
    /// The configuration that was in force at a time.
    InForceAt {
        /// Wall-clock time.
        time: WallTime,
    },
    /// Evidence records that match a filter.
    Evidence {
        /// Filter of the records.
        filter: Box<EvidenceFilter>,
        /// Maximum number of records.
        limit: usize,
    },
    /// All evidence of one keeper.
    EvidenceExport,
    /// Refusals of a request for lack of capacity at all hosts that the asked one knows.
    Refusals {
        /// Identity of the request.
        request: RequestId,
    },
    /// The same at the asked host only, which needs no keeper.
    OwnRefusals {
        /// Identity of the request.
        request: RequestId,
    },
}

/// HTTP response of a keeper, which the requesting host forwards to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header; `text/plain` marks a refusal, since results are
    /// JSON; the requesting host converts a refusal to a problem document.
    pub content_type: String,
    /// Response body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Body of an answer with evidence records.
#[derive(Serialize)]
struct RecordList {
    records: Vec<EvidenceRecord>,
}

impl KeeperQuestion {
    /// Parses the question in a path below `/operator/v1/` and a query string.
    pub(super) fn of(path: &str, query: &QueryPairs) -> Result<Self, OperatorProblem> {
        let revision = |key: &str| Ok(query.number::<u64>(key)?.map(Revision));
        match path {
            "configuration" => Ok(Self::Configuration {
                revision: revision("revision")?,
            }),
            "history" => Ok(Self::History {
                before: revision("before")?,
                limit: query.number("limit")?.unwrap_or(DEFAULT_HISTORY),
            }),
            "in-force" => match query.number("at")? {
                Some(time) => Ok(Self::InForceAt {
                    time: WallTime(time),
                }),
                None => Err(OperatorProblem::bad_query("`at` is expected".to_owned())),
            },
            "evidence" => Self::evidence(query),
            "evidence/export" => Ok(Self::EvidenceExport),
            path if path.starts_with(REFUSALS_PREFIX) => Ok(Self::Refusals {
                request: percent_decode(&path[REFUSALS_PREFIX.len()..])
                    .as_str()
                    .into(),
            }),
            path => match path.strip_prefix("evidence/requests/") {
                Some(id) => Ok(Self::Evidence {
                    filter: Box::new(EvidenceFilter {
                        request: Some(percent_decode(id).as_str().into()),
                        ..EvidenceFilter::default()
                    }),
                    limit: MAX_RECORDS,
                }),
                None => Err(OperatorProblem::no_such_path(path)),
            },
        }
    }

    fn evidence(query: &QueryPairs) -> Result<Self, OperatorProblem> {
        let outcome = query.text("outcome").map(|text| {
            serde_json::from_value(serde_json::Value::from(text)).map_err(|_| {
                let accepted = "caller-gone, complete, incomplete, not-run or unknown";
                OperatorProblem::bad_query(format!("`outcome`: `{text}` is none of {accepted}"))
            })
        });
        let filter = EvidenceFilter {
            request: query.text("request").map(Into::into),
            customer: query.text("customer").map(Into::into),
            from: query.number("from")?.map(WallTime),
            until: query.number("until")?.map(WallTime),
            outcome: outcome.transpose()?,
            selector: query.text("selector").map(Into::into),
        };
        let limit = query
            .number("limit")?
            .unwrap_or(DEFAULT_RECORDS)
            .min(MAX_RECORDS);
        Ok(Self::Evidence {
            filter: Box::new(filter),
            limit,
        })
    }
}

impl KeeperAnswer {
    fn json<T>(value: &T) -> Self
    where
        T: Serialize,
    {
        match serde_json::to_vec(value) {
            Ok(body) => Self {
                status: 200,
                content_type: JSON.to_owned(),
                body,
            },
            Err(error) => Self::problem(&OperatorProblem::unavailable(error.to_string())),
        }
    }

    fn problem(problem: &OperatorProblem) -> Self {
        Self {
            status: problem.status.as_u16(),
            content_type: "text/plain".to_owned(),
            body: problem.detail.clone().into_bytes(),
        }
    }

    pub(super) fn into_response(self) -> Response<ResponseBody> {
        if self.content_type == "text/plain" {
            let detail = String::from_utf8_lossy(&self.body).into_owned();
            let problem = match self.status {
                404 => OperatorProblem::not_found(detail),
                _ => OperatorProblem::unavailable(detail),
            };
            return problem.response();
        }
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        if let Ok(value) = HeaderValue::from_str(&self.content_type) {
            response.headers_mut().insert(header::CONTENT_TYPE, value);
        }
        response
    }
}

/// Timeout of the read barrier before evidence is read.
const BARRIER_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers [`KeeperQuestion`]s: on a host with a keeper itself, on other hosts by sending them to a
/// keeper.
pub struct KeeperQuestionHandler {
    pub(super) hub: PeerHub,
    keepers: KeeperList,
    client: KeeperClient,
    pub(super) shared: Option<SharedState>,
    files: Option<EvidenceFiles>,
    pub(super) refusals: Arc<RefusalStore>,
    pub(super) clock: Arc<dyn TimeSource>,
}

impl KeeperQuestionHandler {
    /// Creates a handler; `shared` and `files` are those of this host's keeper, if it has one.
    pub fn new(
        hub: PeerHub,
        keepers: KeeperList,
        client: KeeperClient,
        shared: Option<SharedState>,
        files: Option<EvidenceFiles>,
        refusals: Arc<RefusalStore>,
        clock: Arc<dyn TimeSource>,
    ) -> Self {
        Self {
            hub,
            keepers,
            client,
            shared,
            files,
            refusals,
            clock,
        }
    }

    /// Answers a question of an operator. Without a keeper on this host, tries all keepers in
    /// order.
    pub(super) async fn ask(
        &self,
        question: KeeperQuestion,
    ) -> Result<KeeperAnswer, OperatorProblem> {
        if let KeeperQuestion::Refusals { request } = &question {
            return Ok(KeeperAnswer::json(&self.find_refusals(request).await));
        }
        if self.shared.is_some() {
            return self
                .answer(question)
                .await
                .map_err(OperatorProblem::unavailable);
        }
        self.ask_keepers(&question).await
    }

    /// Sends a question to the keepers in order, until one answers.
    pub(super) async fn ask_keepers(
        &self,
        question: &KeeperQuestion,
    ) -> Result<KeeperAnswer, OperatorProblem> {
        let bytes = serde_json::to_vec(question)
            .map_err(|error| OperatorProblem::bad_query(error.to_string()))?;
        let mut reason = "no keeper is known".to_owned();
        for keeper in self.keepers.hosts() {
            let question = PeerQuestion::Operator(bytes.clone().into());
            match self.hub.call(&keeper, question, 0, KEEPER_TIMEOUT).await {
                Ok(PeerAnswer::Operator(answer)) => {
                    return serde_json::from_slice(&answer.0)
                        .map_err(|error| OperatorProblem::unavailable(error.to_string()));
                }
                Ok(
                    PeerAnswer::NotRun { reason: refusal }
                    | PeerAnswer::Unknown { reason: refusal },
                ) => reason = refusal,
                Ok(_) => reason = "keeper sent an answer of an unexpected type".to_owned(),
                Err(error) => reason = error.to_string(),
            }
        }
        Err(OperatorProblem::unavailable(reason))
    }

    /// Answers a question that another host sent, encoded as JSON.
    pub async fn serve(&self, question: &[u8]) -> PeerAnswer {
        let not_run = |reason: String| PeerAnswer::NotRun { reason };
        let question = match serde_json::from_slice(question) {
            Ok(question) => question,
            Err(error) => return not_run(error.to_string()),
        };
        match self.answer(question).await {
            Ok(answer) => match serde_json::to_vec(&answer) {
                Ok(bytes) => PeerAnswer::Operator(bytes.into()),
                Err(error) => not_run(error.to_string()),
            },
            Err(reason) => not_run(reason),
        }
    }

    /// Answers a question from the state and the files of the keeper on this host, or from the
    /// refusals of this host.
    async fn answer(&self, question: KeeperQuestion) -> Result<KeeperAnswer, String> {
        match &question {
            KeeperQuestion::Refusals { request } => {
                let hosts = self.ask_hosts(request).await;
                let is_complete = true;
                return Ok(KeeperAnswer::json(&RefusalAnswer { hosts, is_complete }));
            }
            KeeperQuestion::OwnRefusals { request } => {
                return Ok(KeeperAnswer::json(&self.own_refusals(request)));
            }
            _ => {}
        }
        let shared = self.shared.as_ref().ok_or("this host has no keeper")?;
        match question {
            KeeperQuestion::Evidence { filter, limit } => {
                let files = self.current_files(shared).await?;
                let found = blocking(move || files.find(&filter, limit)).await?;
                Ok(KeeperAnswer::json(&RecordList { records: found }))
            }
            KeeperQuestion::EvidenceExport => {
                let files = self.current_files(shared).await?;
                let now = self.clock.wall();
                let body = blocking(move || files.export(now)).await?;
                Ok(KeeperAnswer {
                    status: 200,
                    content_type: JSON_LINES.to_owned(),
                    body,
                })
            }
            question => {
                self.client
                    .read_barrier()
                    .await
                    .map_err(|error| error.to_string())?;
                Ok(read_state(shared, &question))
            }
        }
    }

    /// Returns the evidence files after copying all records into them that were replicated before
    /// the call.
    ///
    /// Records reach the files shortly after they are replicated, so without the copy the files can
    /// lack requests whose callers have their complete response. Without a quorum the files may
    /// lack the newest records; they are returned all the same, since auditors read them then too.
    async fn current_files(&self, shared: &SharedState) -> Result<EvidenceFiles, String> {
        let files = self
            .files
            .clone()
            .ok_or_else(|| "this host has no evidence files".to_owned())?;
        let barrier = tokio::time::timeout(BARRIER_TIMEOUT, self.client.read_barrier()).await;
        if !matches!(barrier, Ok(Ok(_))) {
            log::warn!("evidence may lack the newest records: the read barrier failed");
        }
        let (copied, state) = (files.clone(), shared.clone());
        if let Err(reason) = blocking(move || copied.copy_records(&state)).await {
            log::error!(reason:% = reason; "failed to copy the newest records to the evidence files");
        }
        Ok(files)
    }
}

/// Runs `work` on a thread for blocking tasks.
async fn blocking<F, T, E>(work: F) -> Result<T, String>
where
    F: FnOnce() -> Result<T, E> + Send + 'static,
    T: Send + 'static,
    E: ToString + Send + 'static,
{
    let result = tokio::task::spawn_blocking(work).await;
    result
        .map_err(|error| error.to_string())?
        .map_err(|error| error.to_string())
}

/// Answers a question from the replicated state.
fn read_state(shared: &SharedState, question: &KeeperQuestion) -> KeeperAnswer {
    shared.read(|state| {
        let changes = state.changes();
        match question {
            KeeperQuestion::Configuration { revision } => {
                match ConfigurationView::of(changes, *revision) {
                    Some(view) => KeeperAnswer::json(&view),
                    None => {
                        let detail =
                            format!("revision {} is not retained", revision.unwrap_or_default());
                        KeeperAnswer::problem(&OperatorProblem::not_found(detail))
                    }
                }
            }
            KeeperQuestion::History { before, limit } => {
                KeeperAnswer::json(&HistoryView::of(changes, *before, *limit))
            }
            KeeperQuestion::InForceAt { time } => {
                KeeperAnswer::json(&InForceView::at(changes, *time))
            }
            KeeperQuestion::Evidence { .. }
            | KeeperQuestion::EvidenceExport
            | KeeperQuestion::Refusals { .. }
            | KeeperQuestion::OwnRefusals { .. } => {
                let detail = "the replicated state does not have it".to_owned();
                KeeperAnswer::problem(&OperatorProblem::unavailable(detail))
            }
        }
    })
}

/// `POST /operator/v1/explain`, answered from the current configuration of this host.
pub(super) async fn explain(
    context: &Arc<OperatorContext>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, OperatorProblem> {
    let limits = context.entry.request_limits(MAX_EXPLAIN_BYTES);
    let (body, _reservation): (ExplainBody, _) = read_json_request(request, limits)
        .await
        .map_err(|failure| OperatorProblem::bad_body(&failure))?;
    let Some(facts) = body.facts() else {
        return Err(OperatorProblem::bad_query(
            "one of `model` and `service` is expected".to_owned(),
        ));
    };
    let configuration = context
        .node
        .configuration()
        .map_err(|stale| OperatorProblem::unavailable(stale.to_string()))?;
    let mut view = ExplainView::of(&configuration, &facts);
    let serving = view.serves.as_ref().and_then(|name| {
        configuration
            .selectors()
            .map(|(_, selector)| selector)
            .find(|selector| selector.name == *name)
    });
    if let Some(selector) = serving {
        let servers = context.entry.fleet.serving(context.entry.clock.now());
        view.servers = servers
            .iter()
            .map(|server| ExplainedServer {
                server: server.facts.name.clone(),
                reason: configuration
                    .allows(selector, &server.facts)
                    .err()
                    .map(|reason| reason.to_string()),
            })
            .collect();
    }
    Ok(json_response(StatusCode::OK, &view))
}

/// `GET /operator/v1/in-force` without a time: the revision that is in force on each daemon.
pub(super) fn in_force_now(context: &OperatorContext) -> Response<ResponseBody> {
    let now = context.entry.clock.now();
    let revisions = context.node.feed().in_force();
    let mut hosts: Vec<HostName> = context.node.hub().hosts();
    hosts.push(context.entry.host.clone());
    hosts.sort();
    let daemons = hosts.into_iter().map(|host| {
        let found = revisions.iter().find(|peer| peer.host == host);
        let age = found.map(|peer| now.since(peer.reported_at).as_millis());
        DaemonRevision {
            revision: found.map(|peer| peer.revision),
            heard_ms_ago: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
            host,
        }
    });
    json_response(
        StatusCode::OK,
        &InForceView {
            at: None,
            daemons: daemons.collect(),
        },
    )
}

/// Decodes the percent-encoding of a path segment.
fn percent_decode(text: &str) -> String {
    let pair = format!("id={}", text.replace('+', "%2B"));
    form_urlencoded::parse(pair.as_bytes())
        .map(|(_, value)| value.into_owned())
        .next()
        .unwrap_or_default()
}
