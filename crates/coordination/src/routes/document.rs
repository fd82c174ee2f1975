//! Route documents: the parsed form of the published source, a text that operators send.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{CustomerName, ModelName, ServiceName, number_type};

number_type!(
    /// Version that operators assign to a document; the highest version is in force.
    SourceVersion(u64)
);

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events; the request may run at most once unless it is resumable.
    Stream {
        /// Whether another server can continue after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again although its first attempt may have run.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share relative to the other services of the route.
    pub weight: u32,
}

/// Assigns requests for a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name that logs show.
    pub name: Arc<str>,
    /// Host name of the requests.
    pub host: Arc<str>,
    /// Prefix of the request paths; the route with the longest matching prefix applies.
    pub prefix: Arc<str>,
    /// Whether requests may be sent more than once.
    pub kind: RouteKind,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Target time of an answer. A draft that can't meet it is refused
    /// where drafts are admitted by priority; `timeout` is the limit.
    pub target: Duration,
    /// Target for the longest pause within a stream; a stream with a longer one counts as
    /// late, and a share of this target is the time without events after which a chain is diagnosed.
    pub pause_target: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that share the requests. Invariant: the sum of the weights is greater than 0.
    pub split: Vec<WeightedService>,
    /// Maximum number of servers that one caller request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceleratorSpec {
    /// Name of the kind.
    pub name: Arc<str>,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Duration of a step relative to the reference accelerator; 2 means half as fast.
    #[serde(rename = "step_pace")]
    pub step_time_factor: f64,
    /// Duration of processing a prompt relative to the reference accelerator.
    #[serde(rename = "read_pace")]
    pub prompt_time_factor: f64,
}

/// Engines of a service that split a model by layers. Times apply to all layers on the reference
/// accelerator and scale with the share of the layers that run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests on the first engine of a pipeline.
    pub slots: u32,
    /// Number of layers of the model.
    pub layers: u32,
    /// Memory of one layer, in megabytes.
    pub layer_mb: f64,
    /// KV memory of one token over all layers, in bytes.
    pub kv_bytes: f64,
    /// Size of the activations of one token between two stages, in bytes.
    pub activation_bytes: f64,
    /// Bandwidth of an engine's link, in megabits per second.
    pub link_mbps: f64,
    /// Bandwidth between two data centres, shared by all engines, in megabits per second.
    #[serde(rename = "pipe_mbps")]
    pub inter_centre_mbps: f64,
    /// Base duration of a decoding step.
    pub step: Duration,
    /// Additional step duration for each decoding request.
    pub step_per_request: Duration,
    /// Additional step duration for each 1,000 tokens of context of each decoding request.
    pub step_per_context: Duration,
    /// Prompt tokens processed per second.
    #[serde(rename = "read_per_second")]
    pub prompt_tokens_per_second: f64,
    /// Time to load all layers.
    pub load: Duration,
    /// Number of concurrent loads that the weight store serves at full speed.
    #[serde(rename = "loads_at_once")]
    pub max_concurrent_loads: u32,
    /// Number of tokens of a typical prompt.
    #[serde(rename = "usual_prompt")]
    pub typical_prompt_tokens: u32,
    /// Number of tokens of a typical answer.
    #[serde(rename = "usual_answer")]
    pub typical_answer_tokens: u32,
    /// Models that the service offers.
    pub models: Vec<ModelName>,
    /// Accelerator kinds.
    pub kinds: Vec<AcceleratorSpec>,
}

impl EngineSpec {
    /// Looks up an accelerator kind by name.
    pub fn kind(&self, name: &str) -> Option<&AcceleratorSpec> {
        self.kinds.iter().find(|kind| &*kind.name == name)
    }

    /// KV memory of an engine that holds `layers` layers, in tokens; 0 if the layers leave no
    /// memory.
    pub fn kv_tokens(&self, kind: &AcceleratorSpec, layers: u32) -> u64 {
        let free = kind.memory_mb - self.layer_mb * f64::from(layers);
        let per_token = self.kv_bytes * f64::from(layers) / f64::from(self.layers.max(1)) / 1e6;
        if free <= 0.0 || per_token <= 0.0 {
            return 0;
        }
        (free / per_token) as u64
    }
}

/// A service and its engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Specification of the engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerBounds {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time until the head is complete.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A customer and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerKeys {
    /// Name of the customer.
    pub name: CustomerName,
    /// Keys that identify the customer.
    pub keys: Vec<Arc<str>>,
    /// Priority of its requests, which overrides that of their routes; 0 is the highest.
    pub priority: Option<u8>,
}

/// A complete document of routes, services and customers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDocument {
    /// Version that operators assigned.
    pub version: SourceVersion,
    /// Routes of all hosts.
    pub routes: Vec<Route>,
    /// Services that routes refer to by name.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers.
    pub bounds: CallerBounds,
    /// Customers and their keys; `None` if keys are not checked.
    pub customers: Option<Vec<CustomerKeys>>,
}
