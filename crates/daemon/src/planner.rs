//! The border between request handling and the choice of pipelines.

use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::{Display, Error};
use pollendrift_border::ServerOffer;
use pollendrift_coordination::base::{
    AdapterName, LayerRange, ModelName, MonotonicTime, ServerName, VersionName,
};

use crate::fleet::ServerView;

/// What a pipeline is asked for.
#[derive(Clone, Debug)]
pub struct PlanQuery {
    /// Model to serve.
    pub model: ModelName,
    /// Version that every stage must hold; `None` before the first attempt of a request.
    pub version: Option<VersionName>,
    /// Adapter that every stage must hold.
    pub adapter: Option<AdapterName>,
    /// Servers that failed in earlier attempts.
    pub excluded: BTreeSet<ServerName>,
}

/// One stage of a planned pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStage {
    /// Server of the stage.
    pub server: ServerName,
    /// Its `ip:port`.
    pub address: Arc<str>,
    /// Layers that it runs.
    pub layers: LayerRange,
}

/// A pipeline that covers every layer once, in order, in one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PipelinePlan {
    /// Stages from layer 0 on.
    pub stages: Vec<PlannedStage>,
    /// Version of every stage.
    pub version: VersionName,
    /// Layers of the model.
    pub model_layers: u32,
}

/// Why no pipeline was found.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("no whole pipeline: {reason}")]
pub struct NoPipeline {
    /// What is missing.
    pub reason: String,
}

/// Chooses pipelines.
pub trait PipelinePlanner: Send + Sync {
    /// A pipeline over `servers`, all of which may take work at `now` and are allowed.
    ///
    /// # Errors
    /// No whole pipeline stands.
    fn plan(
        &self,
        now: MonotonicTime,
        query: &PlanQuery,
        servers: &[Arc<ServerView>],
    ) -> Result<PipelinePlan, NoPipeline>;
}

/// Takes the least loaded server at each layer boundary.
#[derive(Debug, Default)]
pub struct LeastLoadedPlanner;

impl PipelinePlanner for LeastLoadedPlanner {
    fn plan(
        &self,
        _now: MonotonicTime,
        query: &PlanQuery,
        servers: &[Arc<ServerView>],
    ) -> Result<PipelinePlan, NoPipeline> {
        let mut versions: BTreeSet<&str> = BTreeSet::new();
        for server in servers {
            if let ServerOffer::Engine(offer) = &server.offer {
                versions.insert(offer.version.as_str());
            }
        }
        let mut reason = format!("no engine offers model {}", query.model);
        for version in versions.into_iter().rev() {
            if query
                .version
                .as_ref()
                .is_some_and(|pinned| pinned.as_str() != version)
            {
                continue;
            }
            match cover(query, servers, version) {
                Ok(plan) => return Ok(plan),
                Err(missing) => reason = missing.reason,
            }
        }
        Err(NoPipeline { reason })
    }
}

fn cover(
    query: &PlanQuery,
    servers: &[Arc<ServerView>],
    version: &str,
) -> Result<PipelinePlan, NoPipeline> {
    let mut stages = Vec::new();
    let mut layer = 0;
    let mut model_layers = u32::MAX;
    while layer < model_layers {
        let Some((server, held, layers)) = best_at(query, servers, version, layer) else {
            let reason = format!("no engine holds layer {layer} of {} {version}", query.model);
            return Err(NoPipeline { reason });
        };
        model_layers = layers;
        stages.push(PlannedStage {
            server: server.facts.name.clone(),
            address: Arc::clone(&server.address),
            layers: LayerRange {
                first: layer,
                end: held.end,
            },
        });
        layer = held.end;
    }
    Ok(PipelinePlan {
        stages,
        version: version.into(),
        model_layers,
    })
}

fn best_at<'servers>(
    query: &PlanQuery,
    servers: &'servers [Arc<ServerView>],
    version: &str,
    layer: u32,
) -> Option<(&'servers ServerView, LayerRange, u32)> {
    let mut best: Option<(u32, &ServerView, LayerRange, u32)> = None;
    for server in servers {
        let ServerOffer::Engine(offer) = &server.offer else {
            continue;
        };
        let held = LayerRange {
            first: offer.layers.first,
            end: offer.layers.end,
        };
        let holds_layer = held.first <= layer && layer < held.end;
        let fits = offer.model == query.model.as_str() && offer.version == version && holds_layer;
        let adapter = query.adapter.as_ref().map(AdapterName::as_str);
        let adapted =
            adapter.is_none_or(|adapter| offer.adapters.iter().any(|held| held == adapter));
        if !fits || !adapted || query.excluded.contains(&server.facts.name) {
            continue;
        }
        let load = server.load.running.saturating_add(server.load.queued);
        if best.as_ref().is_none_or(|(least, ..)| load < *least) {
            best = Some((load, server.as_ref(), held, offer.model_layers));
        }
    }
    best.map(|(_, server, held, layers)| (server, held, layers))
}
