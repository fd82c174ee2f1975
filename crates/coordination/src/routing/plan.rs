//! What is asked of the planner, and what it answers.

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

/// Says which engines a request may use; a selector's verdict, which its owner caches by revision.
pub trait EngineFilter {
    /// Whether the request may use `engine`.
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

/// How much a request matters when memory is short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutePriority {
    /// May not use the reserve.
    #[default]
    Normal,
    /// May use the KV cache that is kept in reserve.
    Urgent,
}

/// A request for a route.
#[derive(Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Model that is asked for.
    pub model: &'a ModelName,
    /// Version that the route must have; none before the first attempt.
    pub version: Option<&'a VersionName>,
    /// Adapter that all engines must support.
    pub adapter: Option<&'a AdapterName>,
    /// Data centre in which the whole route must lie; none if it may lie in several.
    pub within: Option<&'a DataCentreName>,
    /// Engines that the request may use.
    pub allowed: &'a dyn EngineFilter,
    /// Engines that failed in earlier attempts.
    pub excluded: &'a [ServerName],
    /// Tokens of the prompt, replayed tokens included.
    pub prompt_tokens: u32,
    /// Tokens still expected.
    pub expected_tokens: u32,
    /// Prefixes of the prompt, by rising length.
    pub prefixes: &'a [PromptPrefix],
    /// Time by which the answer must be complete.
    pub deadline: Option<MonotonicTime>,
    /// How much the request matters.
    pub priority: RoutePriority,
}

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteStage {
    /// Engine.
    #[serde(skip)]
    pub engine: EngineKey,
    /// Its name.
    pub server: ServerName,
    /// Layers that it runs; the end of the range that it holds.
    pub layers: LayerRange,
    /// Tokens of the prompt that it need not work through: it and all stages after it hold them.
    pub cached_tokens: u32,
}

/// A pipeline that covers all layers once, in order, in one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RoutePlan {
    /// Model.
    pub model: ModelName,
    /// Version of the weights on all stages.
    pub version: VersionName,
    /// Adapter that all stages apply.
    pub adapter: Option<AdapterName>,
    /// Number of layers of the model.
    pub model_layers: u32,
    /// Stages that generate the tokens, in order.
    pub stages: Vec<RouteStage>,
    /// Stages that work through the prompt and hand over their KV cache; empty if `stages` do it.
    pub prefill: Vec<RouteStage>,
    /// Tokens of the prompt that all stages that work on it hold in their caches; later stages may
    /// hold more.
    pub cached_tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens expected.
    pub expected_tokens: u32,
    /// Predicted time to the first token.
    pub first_token: Duration,
    /// Predicted time to the last token.
    pub finish: Duration,
}

impl RoutePlan {
    /// The chain that every token of the attempt must carry.
    pub fn chain(&self) -> Vec<ChainLink> {
        let link = |stage: &RouteStage| ChainLink {
            server: stage.server.clone(),
            layers: stage.layers,
            version: self.version.clone(),
        };
        self.stages.iter().map(link).collect()
    }
}

/// Whether ranges, in their order, run each of so many layers once.
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

/// Why an engine was not taken for a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RejectReason {
    /// Its role does not fit.
    Role,
    /// The selector does not permit it.
    NotPermitted,
    /// It failed in an earlier attempt.
    Excluded,
    /// It is ejected for its failures.
    Ejected,
    /// Its KV cache has no room.
    KvFull,
}

/// Engines that were not taken for a stage, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectCounts {
    /// Of another role.
    pub role: u32,
    /// Not permitted by the selector.
    pub not_permitted: u32,
    /// Failed in an earlier attempt.
    pub excluded: u32,
    /// Ejected for their failures.
    pub ejected: u32,
    /// Without room in their KV cache.
    pub kv_full: u32,
}

impl fmt::Display for RejectCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = [
            (self.role, "of another role"),
            (self.not_permitted, "not permitted"),
            (self.excluded, "failed before"),
            (self.ejected, "ejected"),
            (self.kv_full, "without room"),
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
        };
        *count = count.saturating_add(1);
    }
}

/// Why there is no route.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoRouteReason {
    /// No engine serves the model with the adapter in the version.
    #[display("no engine serves the model with the adapter in the version")]
    NotServed,
    /// No engine holds a layer, in a version.
    #[display("no engine holds layer {layer} of version {version}")]
    LayerMissing {
        /// Version.
        version: VersionName,
        /// First such layer.
        layer: u32,
    },
    /// Engines hold a layer, but none could be taken.
    #[display("no engine for layer {layer} of version {version} could be taken: {counts}")]
    Rejected {
        /// Version.
        version: VersionName,
        /// Layer at which the stage would begin.
        layer: u32,
        /// Engines by reason.
        counts: RejectCounts,
    },
    /// The best route would finish after the deadline.
    #[display("the best route takes {} ms, after the deadline", predicted.as_millis())]
    DeadlineMissed {
        /// Predicted time to the last token.
        predicted: Duration,
    },
}

/// No route, with all reasons found.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize)]
#[display("no route: {}", reasons.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
pub struct NoRoute {
    /// At least one.
    pub reasons: Vec<NoRouteReason>,
}

impl NoRoute {
    /// Whether waiting for running requests to end can help: an engine had no room for now.
    pub fn is_transient(&self) -> bool {
        self.reasons.iter().any(|reason| match reason {
            NoRouteReason::Rejected { counts, .. } => counts.kv_full > 0,
            NoRouteReason::NotServed
            | NoRouteReason::LayerMissing { .. }
            | NoRouteReason::DeadlineMissed { .. } => false,
        })
    }
}
