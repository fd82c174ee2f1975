//! One step: runs the layers of this stage, sends the activations to the next stage and returns
//! the token.

use pollendrift_border::{
    ChainLink, LayerSpan, RouteStage, StepRefusal, StepRefusalReason, StepReply, StepRequest,
};
use pollendrift_http::ClientError;

use super::EngineContext;
use super::cache::SequenceState;
use crate::token::StandInWeights;

/// Path of steps at a stage.
pub(crate) const STEP_PATH: &str = "/engine/v1/steps";
/// Maximum sends to a downstream stage that reports missing KV before the step fails.
const MAX_KV_RESENDS: u32 = 3;

/// Runs a step received from the previous stage.
pub(crate) async fn run_step(
    context: &EngineContext,
    step: &StepRequest,
) -> Result<StepReply, StepRefusal> {
    let stage = own_stage(context, &step.route)?;
    let weights = stage_weights(context, &step.version, step.adapter.as_deref())?;
    let first_position = usize::try_from(step.first_position).unwrap_or(usize::MAX);
    let sequence = context.sequences.open(
        &step.request,
        step.attempt,
        &weights,
        run_span(context, stage),
    );
    let mut state = sequence.lock().await;
    prepare(context, &mut state, step.attempt, &weights, stage)?;
    if first_position > state.span.len() {
        return Err(missing_kv(context, state.span.len()));
    }
    state.span.truncate(first_position);
    state.downstream_have = state.downstream_have.min(first_position);
    let work = StageWork {
        step,
        stage,
        inputs: &step.activations,
    };
    advance(context, &mut state, &work).await
}

/// Work of one stage in a step.
pub(crate) struct StageWork<'step> {
    pub(crate) step: &'step StepRequest,
    pub(crate) stage: &'step RouteStage,
    pub(crate) inputs: &'step [u64],
}

/// Runs the layers of this stage for `work.inputs`, then the following stages.
pub(crate) async fn advance(
    context: &EngineContext,
    state: &mut SequenceState,
    work: &StageWork<'_>,
) -> Result<StepReply, StepRefusal> {
    let layers = work.stage.layers.end - work.stage.layers.first;
    let percent = context.faults.slower_percent();
    context
        .capacity
        .compute(layers, work.inputs.len(), percent)
        .await;
    for input in work.inputs {
        state.span.extend(*input);
    }
    let mut reply = match work.step.route.get(1) {
        None => last_token(state),
        Some(next) => forward(context, state, work.step, next).await?,
    };
    reply.chain.insert(0, own_link(context, work));
    Ok(reply)
}

/// Adapts the sequence state to the attempt; the cache is reset if span or weights differ.
///
/// # Errors
/// A newer attempt already uses the sequence.
pub(crate) fn prepare(
    context: &EngineContext,
    state: &mut SequenceState,
    attempt: u32,
    weights: &StandInWeights,
    stage: &RouteStage,
) -> Result<(), StepRefusal> {
    let span = run_span(context, stage);
    if attempt < state.attempt {
        return Err(refusal(context, StepRefusalReason::OldAttempt, 0));
    }
    if !state.span.matches(weights, span.first, span.end) {
        state.span = crate::token::SpanCache::new(weights.clone(), span.first, span.end);
        state.downstream_have = 0;
    }
    state.attempt = attempt;
    Ok(())
}

/// Layers that run for a stage: all requested ones, without the first if that fault is injected.
pub(crate) fn run_span(context: &EngineContext, stage: &RouteStage) -> LayerSpan {
    let skipped = u32::from(context.faults.skips_layer());
    LayerSpan {
        first: stage.layers.first + skipped,
        end: stage.layers.end,
    }
}

pub(crate) fn own_stage<'route>(
    context: &EngineContext,
    route: &'route [RouteStage],
) -> Result<&'route RouteStage, StepRefusal> {
    let offer = context.current_offer();
    let served = &offer.layers;
    route
        .first()
        .filter(|stage| stage.server == context.server)
        .filter(|stage| served.first <= stage.layers.first && stage.layers.end <= served.end)
        .filter(|stage| stage.layers.first < stage.layers.end)
        .ok_or_else(|| refusal(context, StepRefusalReason::WrongLayers, 0))
}

pub(crate) fn stage_weights(
    context: &EngineContext,
    version: &str,
    adapter: Option<&str>,
) -> Result<StandInWeights, StepRefusal> {
    let offer = context.current_offer();
    let has_adapter =
        adapter.is_none_or(|adapter| offer.adapters.iter().any(|name| name == adapter));
    if offer.version != version || !has_adapter || context.faults.refuses_work() {
        return Err(refusal(context, StepRefusalReason::WrongVersion, 0));
    }
    Ok(StandInWeights::new(
        &offer.model,
        &offer.version,
        adapter,
        offer.model_layers,
    ))
}

pub(crate) fn refusal(
    context: &EngineContext,
    reason: StepRefusalReason,
    have_positions: u32,
) -> StepRefusal {
    StepRefusal {
        server: context.server.clone(),
        reason,
        have_positions,
    }
}

fn missing_kv(context: &EngineContext, have: usize) -> StepRefusal {
    refusal(
        context,
        StepRefusalReason::MissingKv,
        u32::try_from(have).unwrap_or(u32::MAX),
    )
}

fn last_token(state: &SequenceState) -> StepReply {
    let token = state
        .span
        .outputs_from(state.span.len().saturating_sub(1))
        .first()
        .copied();
    StepReply {
        token: token.unwrap_or(0),
        chain: Vec::new(),
    }
}

fn own_link(context: &EngineContext, work: &StageWork<'_>) -> ChainLink {
    ChainLink {
        server: context.server.clone(),
        version: work.step.version.clone(),
        layers: run_span(context, work.stage),
    }
}

async fn forward(
    context: &EngineContext,
    state: &mut SequenceState,
    step: &StepRequest,
    next: &RouteStage,
) -> Result<StepReply, StepRefusal> {
    if state.downstream != next.server {
        state.downstream = next.server.clone();
        state.downstream_have = 0;
    }
    let mut refused = refusal(context, StepRefusalReason::MissingKv, 0);
    for _ in 0..MAX_KV_RESENDS {
        match send_step(context, state, step, next).await {
            Ok(reply) => {
                state.downstream_have = state.span.len();
                return Ok(reply);
            }
            Err(refusal)
                if refusal.reason == StepRefusalReason::MissingKv
                    && refusal.server == next.server =>
            {
                let have = usize::try_from(refusal.have_positions).unwrap_or(0);
                state.downstream_have = have.min(state.span.len());
                refused = refusal;
            }
            Err(refusal) => return Err(refusal),
        }
    }
    Err(refused)
}

async fn send_step(
    context: &EngineContext,
    state: &SequenceState,
    step: &StepRequest,
    next: &RouteStage,
) -> Result<StepReply, StepRefusal> {
    let forwarded = StepRequest {
        request: step.request.clone(),
        attempt: step.attempt,
        version: step.version.clone(),
        adapter: step.adapter.clone(),
        first_position: u32::try_from(state.downstream_have).unwrap_or(u32::MAX),
        activations: state.span.outputs_from(state.downstream_have).to_vec(),
        route: step.route.get(1..).unwrap_or(&[]).to_vec(),
    };
    let unreachable = |_: ClientError| StepRefusal {
        server: next.server.clone(),
        reason: StepRefusalReason::Unreachable,
        have_positions: 0,
    };
    let response = context
        .client
        .post(&next.address, STEP_PATH, &forwarded)
        .await
        .map_err(unreachable)?;
    let accepted = response.status().is_success();
    let body = context.client.read(response).await.map_err(unreachable)?;
    if accepted {
        return serde_json::from_slice(&body).map_err(|error| {
            unreachable(ClientError::BadAnswer {
                reason: error.to_string(),
            })
        });
    }
    Err(serde_json::from_slice(&body).unwrap_or_else(|error| {
        unreachable(ClientError::BadAnswer {
            reason: error.to_string(),
        })
    }))
}
