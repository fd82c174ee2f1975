//! One step: run this stage's layers, hand the activations on, and bring the token back.

use pollendrift_border::{
    ChainLink, LayerSpan, RouteStage, StepRefusal, StepRefusalReason, StepReply, StepRequest,
};
use pollendrift_http::ClientError;

use super::EngineContext;
use super::cache::SequenceState;
use crate::token::StandInWeights;

/// Path that stages take steps on.
pub(crate) const STEP_PATH: &str = "/engine/v1/steps";
/// Resends to a downstream stage that lacks KV before the step is given up.
const MAX_KV_RESENDS: u32 = 3;

/// Runs a step that came from the stage before.
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

/// What one stage has to do in a step.
pub(crate) struct StageWork<'step> {
    pub(crate) step: &'step StepRequest,
    pub(crate) stage: &'step RouteStage,
    pub(crate) inputs: &'step [u64],
}

/// Runs the layers for `work.inputs` and the stages after this one.
pub(crate) async fn advance(
    context: &EngineContext,
    state: &mut SequenceState,
    work: &StageWork<'_>,
) -> Result<StepReply, StepRefusal> {
    let layers = work.stage.layers.end - work.stage.layers.first;
    let slower = context.faults.slower_percent();
    context.pace.work(layers, work.inputs.len(), slower).await;
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

/// Makes the held state fit the attempt, or says why it can't.
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
    if !state.span.serves(weights, span.first, span.end) {
        state.span = crate::token::SpanCache::new(weights.clone(), span.first, span.end);
        state.downstream_have = 0;
    }
    state.attempt = attempt;
    Ok(())
}

/// Layers that really run for a stage: all that are asked for, less one if that fault is on.
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
    let held = &context.settings.offer.layers;
    route
        .first()
        .filter(|stage| stage.server == context.settings.server)
        .filter(|stage| held.first <= stage.layers.first && stage.layers.end <= held.end)
        .filter(|stage| stage.layers.first < stage.layers.end)
        .ok_or_else(|| refusal(context, StepRefusalReason::WrongLayers, 0))
}

pub(crate) fn stage_weights(
    context: &EngineContext,
    version: &str,
    adapter: Option<&str>,
) -> Result<StandInWeights, StepRefusal> {
    let offer = &context.settings.offer;
    let holds_adapter =
        adapter.is_none_or(|adapter| offer.adapters.iter().any(|held| held == adapter));
    if offer.version != version || !holds_adapter || context.faults.refuses_work() {
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
        server: context.settings.server.clone(),
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
        server: context.settings.server.clone(),
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
        match send_on(context, state, step, next).await {
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

async fn send_on(
    context: &EngineContext,
    state: &SequenceState,
    step: &StepRequest,
    next: &RouteStage,
) -> Result<StepReply, StepRefusal> {
    let onward = StepRequest {
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
        .post(&next.address, STEP_PATH, &onward)
        .await
        .map_err(unreachable)?;
    let taken = response.status().is_success();
    let body = context.client.read(response).await.map_err(unreachable)?;
    if taken {
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
