//! Choice of a draft's pipeline among the engines that its selector allows.

use std::sync::Arc;

use pollendrift_coordination::base::{
    AdapterName, LayerRange, ModelName, MonotonicTime, ServerName, VersionName,
};
use pollendrift_coordination::configuration::{Configuration, Selector};
use pollendrift_coordination::routing::{
    EngineRecord, FlightKey, NoRoute, RoutePlan, RoutePriority, RouteQuery,
};

use super::BackendFleet;

/// A draft that needs a pipeline.
#[derive(Clone, Copy, Debug)]
pub struct DraftQuery<'query> {
    /// Configuration that serves the request.
    pub configuration: &'query Configuration,
    /// Selector that serves it.
    pub selector: &'query Selector,
    /// Model to run.
    pub model: &'query ModelName,
    /// Version that every stage must hold; `None` before the first attempt of a request.
    pub version: Option<&'query VersionName>,
    /// Adapter that every stage must hold.
    pub adapter: Option<&'query AdapterName>,
    /// Servers that failed in earlier attempts.
    pub excluded: &'query [ServerName],
    /// Tokens to replay: the prompt and what the caller already holds.
    pub prompt_tokens: u32,
    /// Tokens still to generate.
    pub expected_tokens: u32,
    /// Time by which the answer must be whole.
    pub deadline: Option<MonotonicTime>,
    /// How much the request matters.
    pub priority: RoutePriority,
}

/// One stage of a chosen pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStage {
    /// Server of the stage.
    pub server: ServerName,
    /// Its `ip:port`.
    pub address: Arc<str>,
    /// Layers that it runs.
    pub layers: LayerRange,
}

/// A chosen pipeline, counted as running until [`BackendFleet::finished`] or
/// [`BackendFleet::failed`].
#[derive(Clone, Debug)]
pub struct DraftRoute {
    /// What the planner chose and predicted.
    pub plan: RoutePlan,
    /// Stages from layer 0 on.
    pub stages: Vec<PlannedStage>,
    /// The planner's key of this attempt.
    pub flight: FlightKey,
}

impl BackendFleet {
    /// Chooses a pipeline and counts it as running.
    ///
    /// # Errors
    /// All reasons why there is none.
    pub fn route(&self, now: MonotonicTime, query: &DraftQuery<'_>) -> Result<DraftRoute, NoRoute> {
        let mut guard = self.lock();
        let state = &mut *guard;
        let (leases, views) = (&state.leases, &state.views);
        let allowed = |record: &EngineRecord| {
            let server = &record.announcement.server;
            // The planner follows leases by ticks; between two ticks the lease itself decides.
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

    /// The first token of a running attempt came.
    pub fn first_token(&self, now: MonotonicTime, flight: FlightKey) {
        self.lock().planner.first_token(now, flight);
    }

    /// An attempt ended well, or its caller went away.
    pub fn finished(&self, now: MonotonicTime, flight: FlightKey) {
        self.lock().planner.finished(now, flight);
    }

    /// An attempt failed, by the fault of `culprit` where that is known.
    pub fn failed(&self, now: MonotonicTime, flight: FlightKey, culprit: Option<&ServerName>) {
        self.lock().planner.failed(now, flight, culprit);
    }
}
