//! The entry: HTTP handlers for drafts and for calls of plain services.
//!
//! [`EntryHandler`] dispatches every request of a caller to the module that handles its path. All
//! modules share one [`EntryContext`].

mod completions;
mod context;
mod draft;
mod ends;
mod record;
mod refusal;
mod selection;
mod services;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response};
use hyper::body::Incoming;
use pollendrift_http::{HandlerFuture, HttpHandler, ResponseBody};

pub use context::EntryContext;
pub use draft::DraftSettings;

use record::{RequestArrival, record_refusal};
use refusal::Refusal;

const SERVICE_PREFIX: &str = "/services/";

/// Handles callers' HTTP requests and records a refusal for each request that it rejects.
#[derive(Debug)]
pub struct EntryHandler {
    context: Arc<EntryContext>,
}

impl EntryHandler {
    /// Creates a handler that serves requests with the services in `context`.
    pub fn new(context: Arc<EntryContext>) -> Self {
        Self { context }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let context = &self.context;
        let mut arrival = RequestArrival {
            id: context.request_id(request.headers()),
            customer: None,
            operation: format!("{} {}", request.method(), request.uri().path()).into(),
            arrived: context.clock.now(),
        };
        let result = match context.admit_caller(request.headers()) {
            Ok(customer) => {
                arrival.customer = Some(customer);
                dispatch(context, &arrival, request).await
            }
            Err(refusal) => Err(refusal),
        };
        match result {
            Ok(response) => response,
            Err(refusal) => {
                record_refusal(context, &arrival, &refusal).await;
                refusal.response(&arrival.id)
            }
        }
    }
}

async fn dispatch(
    context: &Arc<EntryContext>,
    arrival: &RequestArrival,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, completions::COMPLETIONS_PATH) => {
            completions::complete(context, arrival, request).await
        }
        (&Method::POST, completions::CHAT_PATH) => {
            completions::chat(context, arrival, request).await
        }
        (_, completions::COMPLETIONS_PATH | completions::CHAT_PATH) => {
            Err(Refusal::method_not_allowed("POST"))
        }
        (_, path) if path.starts_with(SERVICE_PREFIX) => {
            services::call(context, arrival, request).await
        }
        (_, path) => Err(Refusal::no_such_path(path)),
    }
}

impl HttpHandler for EntryHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}
