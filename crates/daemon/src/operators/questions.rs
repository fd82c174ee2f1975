//! Questions that keepers answer, and those that every host answers itself.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use pollendrift_coordination::base::{HostName, Revision, WallTime};
use pollendrift_coordination::configuration::{
    ConfigurationView, DaemonRevision, ExplainBody, ExplainView, ExplainedServer, HistoryView,
    InForceView,
};
use pollendrift_coordination::evidence::{EvidenceFilter, EvidenceRecord};
use pollendrift_http::{ResponseBody, full_body, json_response, read_json, read_within};
use serde::{Deserialize, Serialize};

use super::OperatorContext;
use super::problem::OperatorProblem;
use super::query::QueryPairs;
use crate::agreed::AgreedState;
use crate::clock::TimeSource;
use crate::evidence::EvidenceFiles;
use crate::keeper::{KeeperClient, KeeperList};
use crate::peers::{PeerAnswer, PeerHub, PeerQuestion};
use crate::state::SharedState;

const MAX_EXPLAIN_BYTES: usize = 256 * 1024;
const DEFAULT_HISTORY: usize = 100;
const DEFAULT_RECORDS: usize = 100;
const MAX_RECORDS: usize = 1_000;
/// Time that one keeper has for an answer.
const KEEPER_PATIENCE: Duration = Duration::from_secs(3);
const JSON: &str = "application/json";
const JSON_LINES: &str = "application/jsonl";

/// A question that only a keeper can answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperQuestion {
    /// A configuration; `None` asks for the one in force.
    Configuration {
        /// Its revision.
        revision: Option<Revision>,
    },
    /// Accepted changes, newest first.
    History {
        /// Only revisions below this one.
        before: Option<Revision>,
        /// At most so many.
        limit: usize,
    },
    /// What was in force at a time.
    InForceAt {
        /// The time.
        time: WallTime,
    },
    /// Evidence records.
    Evidence {
        /// Which ones.
        filter: Box<EvidenceFilter>,
        /// At most so many.
        limit: usize,
    },
    /// The whole evidence of one keeper.
    EvidenceExport,
}

/// A keeper's answer, ready to be sent on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

#[derive(Serialize)]
struct RecordList {
    records: Vec<EvidenceRecord>,
}

impl KeeperQuestion {
    /// The question behind a path under `/operator/v1/`.
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
            path => match path.strip_prefix("evidence/requests/") {
                Some(id) => Ok(Self::Evidence {
                    filter: Box::new(EvidenceFilter {
                        request: Some(unescaped(id).as_str().into()),
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

/// Longest wait for a quorum before evidence is read.
const BARRIER_PATIENCE: Duration = Duration::from_secs(1);

/// Answers keepers' questions on a host with a keeper; passes them to one elsewhere.
pub struct KeeperDesk {
    hub: PeerHub,
    keepers: KeeperList,
    client: KeeperClient,
    shared: Option<SharedState>,
    files: Option<EvidenceFiles>,
    clock: Arc<dyn TimeSource>,
}

impl KeeperDesk {
    /// A desk over this host's keeper, if it has one.
    pub fn new(
        hub: PeerHub,
        keepers: KeeperList,
        client: KeeperClient,
        shared: Option<SharedState>,
        files: Option<EvidenceFiles>,
        clock: Arc<dyn TimeSource>,
    ) -> Self {
        Self {
            hub,
            keepers,
            client,
            shared,
            files,
            clock,
        }
    }

    /// Answers a question here or at a keeper.
    pub(super) async fn ask(
        &self,
        question: KeeperQuestion,
    ) -> Result<KeeperAnswer, OperatorProblem> {
        if self.shared.is_some() {
            return self
                .answer(question)
                .await
                .map_err(OperatorProblem::unavailable);
        }
        let bytes = serde_json::to_vec(&question)
            .map_err(|error| OperatorProblem::bad_query(error.to_string()))?;
        let mut reason = "the settings name no keeper".to_owned();
        for keeper in self.keepers.hosts() {
            let ask = PeerQuestion::Operator(bytes.clone().into());
            match self.hub.call(&keeper, ask, 0, KEEPER_PATIENCE).await {
                Ok(PeerAnswer::Operator(answer)) => {
                    return serde_json::from_slice(&answer.0)
                        .map_err(|error| OperatorProblem::unavailable(error.to_string()));
                }
                Ok(PeerAnswer::NotRun { reason: why } | PeerAnswer::Unknown { reason: why }) => {
                    reason = why
                }
                Ok(_) => reason = "keeper answered another question".to_owned(),
                Err(error) => reason = error.to_string(),
            }
        }
        Err(OperatorProblem::unavailable(reason))
    }

    /// Answers another host's question.
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

    async fn answer(&self, question: KeeperQuestion) -> Result<KeeperAnswer, String> {
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

    /// The files, with everything that was agreed before now.
    ///
    /// Failure: records reach the files a moment after keepers agreed on them, so an answer of the
    /// files alone misses requests whose callers have their whole answer. Catching up first closes
    /// that gap. Without a quorum the files are given as they are: an inspector reads them then too.
    async fn current_files(&self, shared: &SharedState) -> Result<EvidenceFiles, String> {
        let files = self
            .files
            .clone()
            .ok_or_else(|| "this host has no evidence files".to_owned())?;
        let barrier = tokio::time::timeout(BARRIER_PATIENCE, self.client.read_barrier()).await;
        if !matches!(barrier, Ok(Ok(_))) {
            log::warn!("evidence is read without the newest records: no quorum answers");
        }
        let (copied, state) = (files.clone(), shared.clone());
        if let Err(reason) = blocking(move || copied.copy_records(&state)).await {
            log::error!(reason:% = reason; "evidence files lack the newest records");
        }
        Ok(files)
    }
}

async fn blocking<F, T, E>(work: F) -> Result<T, String>
where
    F: FnOnce() -> Result<T, E> + Send + 'static,
    T: Send + 'static,
    E: ToString + Send + 'static,
{
    let done = tokio::task::spawn_blocking(work).await;
    done.map_err(|error| error.to_string())?
        .map_err(|error| error.to_string())
}

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
            KeeperQuestion::Evidence { .. } | KeeperQuestion::EvidenceExport => {
                let detail = "evidence is read from files".to_owned();
                KeeperAnswer::problem(&OperatorProblem::unavailable(detail))
            }
        }
    })
}

/// `POST /operator/v1/explain`, by the configuration that this host serves.
pub(super) async fn explain(
    context: &Arc<OperatorContext>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, OperatorProblem> {
    let read = read_json(request.into_body(), MAX_EXPLAIN_BYTES);
    let body: ExplainBody = read_within(context.entry.body_timeout, read)
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
                    .map(|why| why.to_string()),
            })
            .collect();
    }
    Ok(json_response(StatusCode::OK, &view))
}

/// `GET /operator/v1/in-force` without a time: what each daemon serves now.
pub(super) fn in_force_now(context: &OperatorContext) -> Response<ResponseBody> {
    let now = context.entry.clock.now();
    let heard = context.node.feed().in_force();
    let mut hosts: Vec<HostName> = context.node.hub().hosts();
    hosts.push(context.entry.host.clone());
    hosts.sort();
    let daemons = hosts.into_iter().map(|host| {
        let found = heard.iter().find(|peer| peer.host == host);
        let age = found.map(|peer| now.since(peer.heard_at).as_millis());
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

fn unescaped(text: &str) -> String {
    let pair = format!("id={}", text.replace('+', "%2B"));
    form_urlencoded::parse(pair.as_bytes())
        .map(|(_, value)| value.into_owned())
        .next()
        .unwrap_or_default()
}
