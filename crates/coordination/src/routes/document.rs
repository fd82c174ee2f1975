//! What operators publish.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{CustomerName, ModelName, ServiceName, number_type};

number_type!(
    /// Version that operators give a document; the highest is in force.
    SourceVersion(u64)
);

/// What may be done with a request besides sending it once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// Its answer is a stream of events; it may run at most once unless it can be resumed.
    Stream {
        /// Whether another server can go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again when its first send may have run.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// A part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service that takes the part.
    pub service: ServiceName,
    /// Share relative to the other parts.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: Arc<str>,
    /// Beginning of their paths; of several that fit, the longest counts.
    pub prefix: Arc<str>,
    /// What may be done with them.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub target: Duration,
    /// Longest pause within a stream that is of full use.
    pub pause_target: Option<Duration>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services that share its requests. Invariant: the weights add up to more than 0.
    pub split: Vec<WeightedService>,
    /// Most servers that one attempt of a caller is sent to.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceleratorSpec {
    /// Name of the kind.
    pub name: Arc<str>,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Time of a step, relative to the reference accelerator; 2 is half as fast.
    pub step_pace: f64,
    /// Time for reading a prompt, relative to the reference accelerator.
    pub read_pace: f64,
}

/// Engines of a service that share a model by layers. Times are for all layers on the reference
/// accelerator and scale with the share of the layers that are run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that run at a time on the first engine of a pipeline.
    pub slots: u32,
    /// Layers of the model.
    pub layers: u32,
    /// Memory of one layer, in megabytes.
    pub layer_mb: f64,
    /// Request memory of one token over all layers, in bytes.
    pub kv_bytes: f64,
    /// Bytes per token between two stages.
    pub activation_bytes: f64,
    /// Rate of an engine's link, in megabits a second.
    pub link_mbps: f64,
    /// Rate of the pipe between two data centres, shared by all, in megabits a second.
    pub pipe_mbps: f64,
    /// One step.
    pub step: Duration,
    /// Added to a step for each request that writes.
    pub step_per_request: Duration,
    /// Added to a step for each 1,000 tokens of context of each request that writes.
    pub step_per_context: Duration,
    /// Prompt tokens read a second.
    pub read_per_second: f64,
    /// Time of loading all layers.
    pub load: Duration,
    /// Loads that the weight store serves at full speed.
    pub loads_at_once: u32,
    /// Tokens of a usual prompt.
    pub usual_prompt: u32,
    /// Tokens of a usual answer.
    pub usual_answer: u32,
    /// Models that it serves.
    pub models: Vec<ModelName>,
    /// Kinds of accelerator.
    pub kinds: Vec<AcceleratorSpec>,
}

impl EngineSpec {
    /// The kind called `name`.
    pub fn kind(&self, name: &str) -> Option<&AcceleratorSpec> {
        self.kinds.iter().find(|kind| &*kind.name == name)
    }

    /// Tokens of request memory, over the layers held, of an engine that holds `layers` of them.
    pub fn kv_tokens(&self, kind: &AcceleratorSpec, layers: u32) -> u64 {
        let free = kind.memory_mb - self.layer_mb * f64::from(layers);
        let per_token = self.kv_bytes * f64::from(layers) / f64::from(self.layers.max(1)) / 1e6;
        if free <= 0.0 || per_token <= 0.0 {
            return 0;
        }
        (free / per_token) as u64
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Connections that one of its servers takes from all callers together.
    pub max_connections: u32,
    /// Engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerBounds {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which the head must have come.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A customer and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerKeys {
    /// The customer.
    pub name: CustomerName,
    /// Keys that name it.
    pub keys: Vec<Arc<str>>,
    /// Rank of its requests, in place of their routes'; 0 goes first.
    pub priority: Option<u8>,
}

/// A whole document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDocument {
    /// Version.
    pub version: SourceVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Bounds on callers.
    pub bounds: CallerBounds,
    /// Customers; `None` where no keys are asked for.
    pub customers: Option<Vec<CustomerKeys>>,
}
