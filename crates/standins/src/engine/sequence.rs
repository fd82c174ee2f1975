//! Generation of a sequence, driven by the first stage: one step per token, events to the entry.

use std::sync::Arc;

use bytes::Bytes;
use pollendrift_border::{
    CompleteEvent, FailedEvent, SequenceEvent, SequenceRequest, StepRefusal, StepRefusalReason,
    StepReply, StepRequest, TokenEvent,
};
use pollendrift_http::BodySender;

use super::EngineContext;
use super::step::{StageWork, advance, own_stage, prepare, run_span, stage_weights};
use crate::token::{is_stop, prompt_tokens, token_text};

/// Path of sequences at the first stage.
pub(crate) const SEQUENCE_PATH: &str = "/engine/v1/sequences";

/// Generates tokens until the answer is complete, a stage fails or the entry disconnects.
pub(crate) async fn run_sequence(
    context: Arc<EngineContext>,
    request: SequenceRequest,
    sender: BodySender,
) {
    let watch = sender.watch();
    let mut stream = EventStream {
        context: &context,
        sender,
        delayed: None,
        sent: 0,
    };
    let state = tokio::select! {
        state = generate(&context, &request, &mut stream) => state,
        // The entry disconnected and nothing reads the stream, so the slots are freed at once.
        () = watch.closed() => StreamState::Disconnected,
    };
    drop(watch);
    if state == StreamState::Finished {
        stream.finish().await;
    }
    release_all(&context, &request).await;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamState {
    Finished,
    Disconnected,
}

async fn generate(
    context: &EngineContext,
    request: &SequenceRequest,
    stream: &mut EventStream<'_>,
) -> StreamState {
    let mut inputs = prompt_tokens(&request.prompt);
    inputs.extend_from_slice(&request.confirmed);
    let mut count = u32::try_from(request.confirmed.len()).unwrap_or(u32::MAX);
    let mut last = request.confirmed.last().copied();
    while count < request.max_tokens && !last.is_some_and(is_stop) {
        let reply = match next_token(context, request, &inputs).await {
            Ok(reply) => reply,
            Err(refusal) => {
                return stream
                    .send(failed(
                        request,
                        &refusal,
                        has_started(context, &refusal, stream.sent),
                    ))
                    .await;
            }
        };
        if stream.inject_fault().await {
            return StreamState::Disconnected;
        }
        last = Some(reply.token);
        inputs.push(reply.token);
        if stream.send(token(request, count, reply)).await == StreamState::Disconnected {
            return StreamState::Disconnected;
        }
        count += 1;
    }
    let finish_reason = if last.is_some_and(is_stop) {
        "stop"
    } else {
        "length"
    };
    stream
        .send(SequenceEvent::Complete(CompleteEvent {
            request: request.request.clone(),
            attempt: request.attempt,
            count,
            finish_reason: finish_reason.to_owned(),
        }))
        .await
}

async fn next_token(
    context: &EngineContext,
    request: &SequenceRequest,
    inputs: &[u64],
) -> Result<StepReply, StepRefusal> {
    let stage = own_stage(context, &request.route)?;
    let weights = stage_weights(context, &request.version, request.adapter.as_deref())?;
    let span = run_span(context, stage);
    let sequence = context
        .sequences
        .open(&request.request, request.attempt, &weights, span);
    let mut state = sequence.lock().await;
    prepare(context, &mut state, request.attempt, &weights, stage)?;
    // The last input runs again even if its KV state is cached: its output is the next token.
    let have = state.span.len().min(inputs.len().saturating_sub(1));
    state.span.truncate(have);
    state.downstream_have = state.downstream_have.min(have);
    let step = StepRequest {
        request: request.request.clone(),
        attempt: request.attempt,
        version: request.version.clone(),
        adapter: request.adapter.clone(),
        first_position: 0,
        activations: Vec::new(),
        route: request.route.clone(),
    };
    let work = StageWork {
        step: &step,
        stage,
        inputs: inputs.get(have..).unwrap_or(&[]),
    };
    advance(context, &mut state, &work).await
}

fn token(request: &SequenceRequest, position: u32, reply: StepReply) -> SequenceEvent {
    SequenceEvent::Token(TokenEvent {
        request: request.request.clone(),
        attempt: request.attempt,
        position,
        token: reply.token,
        text: token_text(reply.token),
        chain: reply.chain,
    })
}

/// Whether any layer may have run. None ran if this engine refused the work before its first step.
fn has_started(context: &EngineContext, refusal: &StepRefusal, sent: u64) -> bool {
    let refused_here = refusal.server == context.server;
    let before_work = matches!(
        refusal.reason,
        StepRefusalReason::OldAttempt
            | StepRefusalReason::WrongLayers
            | StepRefusalReason::WrongVersion
    );
    sent > 0 || !(refused_here && before_work)
}

fn failed(request: &SequenceRequest, refusal: &StepRefusal, started: bool) -> SequenceEvent {
    SequenceEvent::Failed(FailedEvent {
        request: request.request.clone(),
        attempt: request.attempt,
        server: refusal.server.clone(),
        reason: refusal.reason.to_string(),
        started,
    })
}

/// Stream of event lines to the entry, with injected faults. `delayed` is a token event to be sent
/// after the next one.
struct EventStream<'context> {
    context: &'context EngineContext,
    sender: BodySender,
    delayed: Option<Bytes>,
    sent: u64,
}

impl EventStream<'_> {
    async fn send(&mut self, event: SequenceEvent) -> StreamState {
        let is_token = matches!(event, SequenceEvent::Token(_));
        let Ok(mut line) = serde_json::to_vec(&event) else {
            return StreamState::Disconnected;
        };
        line.push(b'\n');
        let line = Bytes::from(line);
        if is_token {
            self.sent += 1;
        }
        if is_token && self.context.faults.swaps() && self.delayed.is_none() {
            self.delayed = Some(line);
            return StreamState::Finished;
        }
        let mut alive = self.sender.send(line.clone()).await;
        if is_token && self.context.faults.duplicates() {
            alive = self.sender.send(line).await;
        }
        if let Some(delayed) = self.delayed.take() {
            alive = self.sender.send(delayed).await;
        }
        if alive {
            StreamState::Finished
        } else {
            StreamState::Disconnected
        }
    }

    /// Injects a disconnection or a stall if one is due; returns whether the stream is over.
    async fn inject_fault(&self) -> bool {
        if self.context.faults.disconnects_at(self.sent) {
            return true;
        }
        if self.context.faults.stalls_at(self.sent) {
            self.sender.closed().await;
            return true;
        }
        false
    }

    async fn finish(self) {
        self.sender.finish().await;
    }
}

async fn release_all(context: &EngineContext, request: &SequenceRequest) {
    context.sequences.release(&request.request, request.attempt);
    for stage in request.route.iter().skip(1) {
        let path = format!("{SEQUENCE_PATH}/{}/release", request.request);
        // An unreachable stage has lost its KV state, or replaces it at the next attempt.
        let _ = context
            .client
            .post(&stage.address, &path, &request.attempt)
            .await;
    }
}
