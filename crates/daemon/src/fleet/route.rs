//! Chooses the pipeline of a draft among the engines that its selector allows.

use std::sync::Arc;

use pollendrift_coordination::base::{
    AdapterName, LayerRange, ModelName, MonotonicTime, ServerName, VersionName,
};
use pollendrift_coordination::configuration::{Configuration, Selector};
use pollendrift_coordination::routing::{
    EngineRecord, FlightKey, NoRoute, RoutePlan, RoutePriority, RouteQuery,
};

use super::BackendFleet;

/// Input for the choice of a draft's pipeline.
#[derive(Clone, Copy, Debug)]
pub struct DraftQuery<'query> {
    /// Configuration that the request is served by.
    pub configuration: &'query Configuration,
    /// Selector that the request matched.
    pub selector: &'query Selector,
    /// Model to run.
    pub model: &'query ModelName,
    /// Model version that every stage must have loaded; `None` before the first attempt of a
    /// request.
    pub version: Option<&'query VersionName>,
    /// Adapter that every stage must have loaded.
    pub adapter: Option<&'query AdapterName>,
    /// Servers that failed in earlier attempts.
    pub excluded: &'query [ServerName],
    /// Tokens to process first: the prompt and the tokens already sent to the caller.
    pub prompt_tokens: u32,
    /// Expected number of tokens to generate.
    pub expected_tokens: u32,
    /// Time by which the answer must be complete.
    pub deadline: Option<MonotonicTime>,
    /// Priority of the request.
    pub priority: RoutePriority,
}

/// One stage of a chosen pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStage {
    /// Name of the engine.
    pub server: ServerName,
    /// `ip:port` of the engine.
    pub address: Arc<str>,
    /// Layers that the stage runs.
    pub layers: LayerRange,
}

/// A chosen pipeline. The planner counts it as running until [`BackendFleet::finished`] or
/// [`BackendFleet::failed`].
#[derive(Clone, Debug)]
pub struct DraftRoute {
    /// Choice and predictions of the planner.
    pub plan: RoutePlan,
    /// Stages in the order of their layers, from layer 0.
    pub stages: Vec<PlannedStage>,
    /// Key of this attempt in the planner.
    pub flight: FlightKey,
}

impl BackendFleet {
    /// Chooses a pipeline and counts it as running.
    ///
    /// # Errors
    /// No pipeline is available; the error contains all reasons.
    pub fn route(&self, now: MonotonicTime, query: &DraftQuery<'_>) -> Result<DraftRoute, NoRoute> {
        let mut guard = self.lock();
        let state = &mut *guard;
        let (leases, views) = (&state.leases, &state.views);
        let allowed = |record: &EngineRecord| {
            let server = &record.announcement.server;
            // The planner updates expired leases only at ticks, so the lease is checked here.
            leases.may_take_work(now, server)
                && views.get(server).is_some_and(|view| {
                    query
                        .configuration
                        .allows(query.selector, &view.facts)
                        .is_ok()
                })
        };
        let plan = state.planner.choose(
            now,
            &RouteQuery {
                model: query.model,
                version: query.version,
                adapter: query.adapter,
                within: None,
                allowed: &allowed,
                excluded: query.excluded,
                prompt_tokens: query.prompt_tokens,
                expected_tokens: query.expected_tokens,
                prefixes: &[],
                deadline: query.deadline,
                priority: query.priority,
                share: None,
                continues_answer: false,
                connected: &[],
            },
        )?;
        let stages = plan.stages.iter().filter_map(|stage| {
            Some(PlannedStage {
                server: stage.server.clone(),
                address: Arc::clone(&views.get(&stage.server)?.address),
                layers: stage.layers,
            })
        });
        let stages = stages.collect();
        let flight = state.planner.started(now, &plan);
        Ok(DraftRoute {
            plan,
            stages,
            flight,
        })
    }

    /// Records in the planner that the first token of a running attempt has arrived.
    pub fn first_token(&self, now: MonotonicTime, flight: FlightKey) {
        self.lock().planner.first_token(now, flight);
    }

    /// Records in the planner that an attempt succeeded or its caller disconnected.
    pub fn finished(&self, now: MonotonicTime, flight: FlightKey) {
        self.lock().planner.finished(now, flight);
    }

    /// Records in the planner that an attempt failed; `culprit` is the server that caused the
    /// failure, if known.
    pub fn failed(&self, now: MonotonicTime, flight: FlightKey, culprit: Option<&ServerName>) {
        self.lock().planner.failed(now, flight, culprit);
    }
}
