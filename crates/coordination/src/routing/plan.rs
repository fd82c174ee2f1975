//! Route queries, route plans, and the reasons for having no route.

use std::fmt;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::Serialize;

use super::fleet::{EngineKey, EngineRecord};
use super::prefix::PromptPrefix;
use crate::base::{
    AdapterName, DataCentreName, LayerRange, ModelName, MonotonicTime, ServerName, VersionName,
};
use crate::ledger::ChainLink;

/// Decides which engines a request may use: the result of a selector, which the caller caches by
/// configuration revision.
pub trait EngineFilter {
    /// Returns whether the request may use `engine`.
    fn permits(&self, engine: &EngineRecord) -> bool;
}

/// Permits every engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct PermitAll;

impl EngineFilter for PermitAll {
    fn permits(&self, _engine: &EngineRecord) -> bool {
        true
    }
}

impl<F> EngineFilter for F
where
    F: Fn(&EngineRecord) -> bool,
{
    fn permits(&self, engine: &EngineRecord) -> bool {
        self(engine)
    }
}

/// Priority of a request when KV memory is scarce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutePriority {
    /// Leaves the reserved part of the KV cache to urgent requests.
    #[default]
    Normal,
    /// May use the reserved part of the KV cache.
    Urgent,
}

/// Parameters of a route choice.
#[derive(Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Requested model.
    pub model: &'a ModelName,
    /// Required version; `None` until a first attempt has chosen one.
    pub version: Option<&'a VersionName>,
    /// Adapter that every engine must support, if any.
    pub adapter: Option<&'a AdapterName>,
    /// Data centre that must contain every stage; `None` if the route may span several.
    pub within: Option<&'a DataCentreName>,
    /// Engines that the request may use.
    pub allowed: &'a dyn EngineFilter,
    /// Engines that failed in earlier attempts.
    pub excluded: &'a [ServerName],
    /// Number of prompt tokens, including replayed tokens.
    pub prompt_tokens: u32,
    /// Number of tokens that remain to be generated, as expected.
    pub expected_tokens: u32,
    /// Prefixes of the prompt, in order of increasing length.
    pub prefixes: &'a [PromptPrefix],
    /// Time by which the answer must be complete, if any.
    pub deadline: Option<MonotonicTime>,
    /// Priority when KV memory is scarce.
    pub priority: RoutePriority,
    /// Share of this host in the demand of all hosts, from 0 to 1. It limits the KV memory of each
    /// engine that this host may add between two reports of the engine. `None` sets no limit.
    pub share: Option<f64>,
    /// Whether the request continues an answer of which the caller has received a part. The time to
    /// its first event is then not compared with the prediction.
    pub continues_answer: bool,
    /// Engines to which this host has an idle connection, the most recently used first. Ignored
    /// unless `RoutingSettings::connected_advantage` is set.
    pub connected: &'a [ServerName],
}

/// A stage of a route: an engine and the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteStage {
    /// Key of the engine in the fleet table.
    #[serde(skip)]
    pub engine: EngineKey,
    /// Name of the engine.
    pub server: ServerName,
    /// Layers that the stage runs, a part of the layers that the engine holds. A planned stage runs
    /// to the end of the engine's range, a repaired one may end earlier.
    pub layers: LayerRange,
    /// Prompt tokens that the stage skips because it and all later stages cache them.
    pub cached_tokens: u32,
}

/// A pipeline that runs every layer once, in order, with one version of the weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RoutePlan {
    /// Model that the pipeline runs.
    pub model: ModelName,
    /// Version of the weights, the same on all stages.
    pub version: VersionName,
    /// Adapter that all stages apply, if any.
    pub adapter: Option<AdapterName>,
    /// Number of layers of the model.
    pub model_layers: u32,
    /// Stages that generate the tokens, in order.
    pub stages: Vec<RouteStage>,
    /// Stages that process the prompt and hand over their KV cache; empty if `stages` process the
    /// prompt themselves.
    pub prefill: Vec<RouteStage>,
    /// Prompt tokens cached by all stages that process the prompt; later stages may cache more.
    pub cached_tokens: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of tokens that the plan expects the request to generate.
    pub expected_tokens: u32,
    /// Whether the plan continues an answer, by its query or by a repair.
    pub continues_answer: bool,
    /// Predicted time from the start to the first token.
    pub first_token: Duration,
    /// Predicted time from the start to the last token.
    pub finish: Duration,
}

impl RoutePlan {
    /// Returns the chain of stages that every token of the attempt must carry.
    pub fn chain(&self) -> Vec<ChainLink> {
        let link = |stage: &RouteStage| ChainLink {
            server: stage.server.clone(),
            layers: stage.layers,
            version: self.version.clone(),
        };
        self.stages.iter().map(link).collect()
    }
}

/// Returns whether `ranges`, in their order, cover each of the layers `0..layers` exactly once.
///
/// Empty ranges and a model without layers are not complete.
pub fn is_complete_chain(ranges: &[LayerRange], layers: u32) -> bool {
    let mut next = 0;
    for range in ranges {
        if range.first != next || range.is_empty() {
            return false;
        }
        next = range.end;
    }
    next == layers && layers > 0
}

/// Reason for which an engine was rejected for a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RejectReason {
    /// The engine's role does not match the phase.
    Role,
    /// The selector or the data centre restriction does not permit the engine.
    NotPermitted,
    /// The engine failed in an earlier attempt.
    Excluded,
    /// The engine is ejected because of failures, or declined a request moments ago.
    Ejected,
    /// The engine's KV cache has too little free memory.
    KvFull,
    /// This host has used up its share of the memory that the engine's last report shows as free.
    ShareUsed,
}

/// Number of engines rejected for a stage, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectCounts {
    /// Engines of a role that does not match.
    pub role: u32,
    /// Engines that the selector or the data centre restriction does not permit.
    pub not_permitted: u32,
    /// Engines that failed in an earlier attempt.
    pub excluded: u32,
    /// Engines that are ejected, or that declined a request moments ago.
    pub ejected: u32,
    /// Engines with too little free KV memory.
    pub kv_full: u32,
    /// Engines of whose free KV memory this host has used up its share.
    pub share_used: u32,
}

impl fmt::Display for RejectCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = [
            (self.role, "of another role"),
            (self.not_permitted, "not permitted"),
            (self.excluded, "failed before"),
            (self.ejected, "ejected"),
            (self.kv_full, "without room"),
            (self.share_used, "beyond this host's share"),
        ];
        let mut separator = "";
        for (count, text) in parts.iter().filter(|(count, _)| *count > 0) {
            write!(formatter, "{separator}{count} {text}")?;
            separator = ", ";
        }
        Ok(())
    }
}

impl RejectCounts {
    pub(crate) fn add(&mut self, reason: RejectReason) {
        let count = match reason {
            RejectReason::Role => &mut self.role,
            RejectReason::NotPermitted => &mut self.not_permitted,
            RejectReason::Excluded => &mut self.excluded,
            RejectReason::Ejected => &mut self.ejected,
            RejectReason::KvFull => &mut self.kv_full,
            RejectReason::ShareUsed => &mut self.share_used,
        };
        *count = count.saturating_add(1);
    }
}

/// Reason for having no route.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoRouteReason {
    /// No engine serves the model with the adapter in the version.
    #[display("no engine serves the model with the adapter in the version")]
    NotServed,
    /// No engine of a version holds a layer.
    #[display("no engine holds layer {layer} of version {version}")]
    LayerMissing {
        /// Version of the weights.
        version: VersionName,
        /// First missing layer.
        layer: u32,
    },
    /// Engines hold a layer, but all of them were rejected.
    #[display("no engine for layer {layer} of version {version} could be taken: {counts}")]
    Rejected {
        /// Version of the weights.
        version: VersionName,
        /// Layer at which the stage would begin.
        layer: u32,
        /// Rejected engines by reason.
        counts: RejectCounts,
    },
    /// The best route would finish after the deadline.
    #[display("the best route takes {} ms, after the deadline", predicted.as_millis())]
    DeadlineMissed {
        /// Predicted time from the start to the last token.
        predicted: Duration,
    },
}

/// Error of a route choice that found no route.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize)]
#[display("no route: {}", reasons.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
pub struct NoRoute {
    /// All reasons found; at least one.
    pub reasons: Vec<NoRouteReason>,
}

impl NoRoute {
    /// Returns whether a route may exist once running requests end: whether an engine was rejected
    /// for lack of free KV memory, or because this host has used up its share of it.
    pub fn is_transient(&self) -> bool {
        self.reasons.iter().any(|reason| match reason {
            NoRouteReason::Rejected { counts, .. } => counts.kv_full > 0 || counts.share_used > 0,
            NoRouteReason::NotServed
            | NoRouteReason::LayerMissing { .. }
            | NoRouteReason::DeadlineMissed { .. } => false,
        })
    }
}
