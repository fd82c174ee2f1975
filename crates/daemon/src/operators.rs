//! Operators' face: changes of labels and selectors, and questions about the configuration, the
//! evidence and the state of the daemon. `docs/interfaces/operators.md` describes it.
//!
//! A question that only a keeper can answer is sent to one, which answers after a read barrier: a
//! quorum confirms that its state is current.

mod changes;
mod problem;
mod query;
mod questions;
mod refusals;
mod status;

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response};
use hyper::body::Incoming;
use pollendrift_http::{HandlerFuture, HttpHandler, ResponseBody};
use serde_json::Value;

pub use questions::{KeeperAnswer, KeeperQuestion, KeeperQuestionHandler};
pub(crate) use status::keeper_state;

use crate::access::{AccessControl, CertificateIdentity, OperatorIdentity};
use crate::entry::EntryContext;
use crate::node::ClusterNode;
use crate::platform::DumpSource;
use crate::settings::OperatorRole;
use problem::OperatorProblem;

/// Prefix of all paths of this face.
const PREFIX: &str = "/operator/v1/";

/// Shared state of the handlers of operators' requests.
pub struct OperatorContext {
    /// Shared state of the handlers of callers' requests.
    pub entry: Arc<EntryContext>,
    /// Access of this host to the replicated state.
    pub node: Arc<ClusterNode>,
    /// Authentication of operators.
    pub access: Arc<AccessControl>,
    /// Answers questions that need a keeper, or sends them to one.
    pub question_handler: Arc<KeeperQuestionHandler>,
    /// Sources of the dump, one for each part.
    pub dump: Vec<Arc<dyn DumpSource>>,
    /// Warnings about the settings, shown in the status.
    pub warnings: Vec<String>,
}

/// Handler of operators' requests.
pub struct OperatorHandler {
    context: Arc<OperatorContext>,
}

impl std::fmt::Debug for OperatorHandler {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("OperatorHandler")
            .finish_non_exhaustive()
    }
}

impl OperatorHandler {
    /// Creates a handler with the shared state `context`.
    pub fn new(context: Arc<OperatorContext>) -> Self {
        Self { context }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let result = match self.identify(&request) {
            Ok(operator) => self.dispatch(&operator, request).await,
            Err(problem) => Err(problem),
        };
        result.unwrap_or_else(|problem| problem.response())
    }

    fn identify(&self, request: &Request<Incoming>) -> Result<OperatorIdentity, OperatorProblem> {
        let certificate = request.extensions().get::<CertificateIdentity>();
        let operator = self.context.access.operator(request.headers(), certificate);
        operator.ok_or_else(OperatorProblem::unauthorized)
    }

    async fn dispatch(
        &self,
        operator: &OperatorIdentity,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, OperatorProblem> {
        let context = &self.context;
        let path = request
            .uri()
            .path()
            .strip_prefix(PREFIX)
            .unwrap_or("")
            .to_owned();
        let query = query::QueryPairs::of(request.uri().query().unwrap_or(""));
        match (request.method(), path.as_str()) {
            (&Method::POST, "changes") if operator.role == OperatorRole::Editor => {
                changes::change_configuration(context, operator, request).await
            }
            (&Method::POST, "changes") => Err(OperatorProblem::forbidden()),
            (&Method::POST, "explain") => questions::explain(context, request).await,
            (&Method::GET, "status") => Ok(status::status(context)),
            (&Method::GET, "dump") => Ok(status::dump(context)),
            (&Method::GET, "in-force") if !query.has("at") => Ok(questions::in_force_now(context)),
            (&Method::GET, path) => {
                let question = KeeperQuestion::of(path, &query)?;
                context
                    .question_handler
                    .ask(question)
                    .await
                    .map(KeeperAnswer::into_response)
            }
            _ => Err(OperatorProblem::no_such_path(&path)),
        }
    }
}

impl HttpHandler for OperatorHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}

/// Converts `value` to JSON; null if it can't be encoded.
fn value_of<T>(value: T) -> Value
where
    T: serde::Serialize,
{
    serde_json::to_value(value).unwrap_or_default()
}
