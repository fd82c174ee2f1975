//! Callers' face: drafts and calls of plain services.
//!
//! [`EntryHandler`] acts on every request of a caller. Each path has a module of its own; all of
//! them share one [`EntryContext`].

mod completions;
mod context;
mod draft;
mod refusal;
mod selection;
mod services;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response};
use hyper::body::Incoming;
use pollendrift_http::{HandlerFuture, HttpHandler, ResponseBody};

pub use context::{EntryContext, ReadyState};
pub use draft::DraftSettings;

use refusal::Refusal;

const SERVICE_PREFIX: &str = "/services/";

/// Answers callers.
#[derive(Debug)]
pub struct EntryHandler {
    context: Arc<EntryContext>,
}

impl EntryHandler {
    /// A handler over `context`.
    pub fn new(context: Arc<EntryContext>) -> Self {
        Self { context }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let context = &self.context;
        let id = context.request_id(request.headers());
        let customer = match context.admit_caller(request.headers()) {
            Ok(customer) => customer,
            Err(refusal) => return refusal.response(&id),
        };
        let path = request.uri().path();
        let result = match (request.method(), path) {
            (&Method::POST, completions::COMPLETIONS_PATH) => {
                completions::complete(context, customer, &id, request).await
            }
            (&Method::POST, completions::CHAT_PATH) => {
                completions::chat(context, customer, &id, request).await
            }
            (_, completions::COMPLETIONS_PATH | completions::CHAT_PATH) => {
                Err(Refusal::method_not_allowed("POST"))
            }
            (_, path) if path.starts_with(SERVICE_PREFIX) => {
                services::call(context, customer, &id, request).await
            }
            (_, path) => Err(Refusal::no_such_path(path)),
        };
        result.unwrap_or_else(|refusal| refusal.response(&id))
    }
}

impl HttpHandler for EntryHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}
