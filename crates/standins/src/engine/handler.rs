//! HTTP interface of a stand-in engine.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use pollendrift_border::{OrderRequest, SequenceRequest, StepRequest};
use pollendrift_http::{
    HandlerFuture, HttpHandler, ResponseBody, channel_body, json_response, read_json, text_response,
};

use super::order::{ORDER_PATH, handle_order};
use super::sequence::{SEQUENCE_PATH, run_sequence};
use super::step::{STEP_PATH, run_step};
use super::{EngineContext, MAX_BODY_BYTES};

const EVENT_CAPACITY: usize = 64;

/// Routes the requests of one engine.
#[derive(Debug)]
pub(crate) struct EngineHandler {
    context: Arc<EngineContext>,
}

impl EngineHandler {
    pub(crate) fn new(context: Arc<EngineContext>) -> Self {
        Self { context }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        if request.method() != Method::POST {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "only POST is served\n");
        }
        if path == STEP_PATH {
            return self.step(request).await;
        }
        if path == SEQUENCE_PATH {
            return self.sequence(request).await;
        }
        if path == ORDER_PATH {
            return self.order(request).await;
        }
        if let Some(sequence) = released_sequence(&path) {
            return self.release(sequence, request).await;
        }
        text_response(StatusCode::NOT_FOUND, "no such path\n")
    }

    async fn step(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let step: StepRequest = match read_json(request.into_body(), MAX_BODY_BYTES).await {
            Ok(step) => step,
            Err(failure) => return text_response(StatusCode::BAD_REQUEST, failure.to_string()),
        };
        match run_step(&self.context, &step).await {
            Ok(reply) => json_response(StatusCode::OK, &reply),
            Err(refusal) => json_response(StatusCode::CONFLICT, &refusal),
        }
    }

    async fn order(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let order: OrderRequest = match read_json(request.into_body(), MAX_BODY_BYTES).await {
            Ok(order) => order,
            Err(failure) => return text_response(StatusCode::BAD_REQUEST, failure.to_string()),
        };
        let reply = handle_order(&self.context, order);
        let status = if reply.accepted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        json_response(status, &reply)
    }

    async fn release(&self, sequence: &str, request: Request<Incoming>) -> Response<ResponseBody> {
        let attempt: u32 = match read_json(request.into_body(), MAX_BODY_BYTES).await {
            Ok(attempt) => attempt,
            Err(failure) => return text_response(StatusCode::BAD_REQUEST, failure.to_string()),
        };
        self.context.sequences.release(sequence, attempt);
        text_response(StatusCode::OK, "released\n")
    }

    async fn sequence(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let sequence: SequenceRequest = match read_json(request.into_body(), MAX_BODY_BYTES).await {
            Ok(sequence) => sequence,
            Err(failure) => return text_response(StatusCode::BAD_REQUEST, failure.to_string()),
        };
        let (sender, body) = channel_body(EVENT_CAPACITY);
        tokio::spawn(run_sequence(Arc::clone(&self.context), sequence, sender));
        Response::new(body)
    }
}

impl HttpHandler for EngineHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}

fn released_sequence(path: &str) -> Option<&str> {
    path.strip_prefix(SEQUENCE_PATH)?
        .strip_prefix('/')?
        .strip_suffix("/release")
}
