//! Platform face: liveness, readiness, metrics and the dump of this process's state.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use pollendrift_http::{HandlerFuture, HttpHandler, ResponseBody, json_response, text_response};

use crate::entry::EntryContext;
use crate::relay::RelayContext;

/// Source of one part of the dump; no part may contain a secret.
pub trait DumpSource: Send + Sync {
    /// Name of the part.
    fn name(&self) -> &'static str;
    /// Current state of the part.
    fn dump(&self) -> serde_json::Value;
}

/// Answers requests to the platform face.
pub struct PlatformHandler {
    /// Entry, for its readiness.
    pub entry: Arc<EntryContext>,
    /// Relay, for its readiness; `None` if the relay is disabled.
    pub(crate) relay: Option<Arc<RelayContext>>,
    /// Parts of the dump, in alphabetical order of their names.
    pub sources: Vec<Arc<dyn DumpSource>>,
    /// Source of the metrics text.
    pub metrics: Arc<dyn MetricSource>,
}

/// Source of the metrics of this process.
pub trait MetricSource: Send + Sync {
    /// Returns the metrics in the Prometheus text format.
    fn metrics_text(&self) -> String;
}

impl std::fmt::Debug for PlatformHandler {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("PlatformHandler")
            .finish_non_exhaustive()
    }
}

impl PlatformHandler {
    fn answer(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        if request.method() != Method::GET {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is served\n");
        }
        let path = request.uri().path();
        if let Some(relay) = &self.relay
            && path == relay.dialect().callers.readiness_path()
        {
            return readiness(relay.unready_reason());
        }
        match path {
            "/healthz" => text_response(StatusCode::OK, "alive\n"),
            "/readyz" => readiness(self.entry.unready_reason()),
            "/metrics" => text_response(StatusCode::OK, self.metrics.metrics_text()),
            "/dump" => json_response(StatusCode::OK, &self.dump()),
            _ => text_response(
                StatusCode::NOT_FOUND,
                "/healthz, /readyz, /metrics and /dump are served\n",
            ),
        }
    }

    fn dump(&self) -> serde_json::Map<String, serde_json::Value> {
        self.sources
            .iter()
            .map(|source| (source.name().to_owned(), source.dump()))
            .collect()
    }
}

fn readiness(unready_reason: Option<String>) -> Response<ResponseBody> {
    match unready_reason {
        None => text_response(StatusCode::OK, "ready\n"),
        Some(reason) => text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("not ready: {reason}\n"),
        ),
    }
}

impl HttpHandler for PlatformHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(&request) })
    }
}
