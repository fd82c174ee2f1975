//! Requests and orders to backend servers, and their answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, request, response};
use pollendrift_coordination::backpressure::StatedRate;
use pollendrift_coordination::base::{
    CustomerName, FencingNumber, LayerRange, RequestId, SequenceNumber, ServerName,
};
use pollendrift_coordination::placement::UnloadPolicy;
use pollendrift_coordination::streams::EventId;

/// One stage of a pipeline whose engines forward the request among themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageHop {
    /// Address on which the stage accepts requests.
    pub address: SocketAddr,
    /// Layers that the stage runs for the request.
    pub layers: LayerRange,
}

/// A caller's request, as sent once to one backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerRequest<'request> {
    /// Head of the caller's request.
    pub head: &'request request::Parts,
    /// Name of the intended server; any other server at the same address refuses the request.
    pub server: &'request ServerName,
    /// Customer of the request, if known.
    pub customer: Option<&'request CustomerName>,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Priority at the server, from 0, the first, to 9; `None` for the server's default.
    pub priority: Option<u8>,
    /// Stages of the pipeline, starting with the receiver; empty if one server runs all layers.
    pub stages: &'request [StageHop],
    /// Event after which a stream resumes.
    pub resume_after: Option<EventId>,
}

/// Load that a server reported in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Decoded head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Identity of the answered request.
    pub attempt: Option<RequestId>,
    /// Whether the server signed the answer; an unsigned success does not come from the server.
    pub signed: bool,
    /// Whether the answer states that the request did not run.
    pub not_run: bool,
    /// Whether another server than the intended one answered.
    pub wrong_server: bool,
    /// Whether the body has a content encoding, which shows that it does not come from the server.
    pub encoded: bool,
    /// Address of the server that caused a failure, if the answer contains it.
    pub culprit: Option<SocketAddr>,
    /// Load of the server, if the answer contains it.
    pub load: Option<ServerLoad>,
    /// Rate of requests that the server accepts from all hosts together.
    pub accepted_rate: StatedRate,
    /// Time for which the server, which turned the request away, wants no requests from this host.
    pub back_off: Option<Duration>,
    /// Whether the server leaves and takes no new work.
    pub leaving: bool,
}

/// Order to replace the held layers of an engine with a range of layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceOrder {
    /// Layers that the engine must hold.
    pub layers: LayerRange,
    /// Policy for running requests on layers that the engine unloads.
    pub given_up: UnloadPolicy,
    /// Fencing number of the order right under which the order is sent.
    pub fencing: FencingNumber,
    /// Number of orders that the engine must have accepted before; `None` disables the check.
    pub expected: Option<SequenceNumber>,
}

/// Result of a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine started to load the layers.
    Started,
    /// The engine already holds the layers.
    AlreadyLoaded,
    /// The engine has accepted another number of orders than expected, or can't accept this one
    /// now.
    Conflict,
    /// The engine has received a higher fencing number.
    Fenced,
    /// Another engine uses the address.
    WrongServer,
    /// The engine refuses the order permanently.
    Refused,
}

/// Order to the first engine of a pipeline to continue a request on other stages.
#[derive(Clone, Copy, Debug)]
pub struct RerouteOrder<'order> {
    /// Identity of the request.
    pub request: &'order RequestId,
    /// New stages of the request; the first one is unchanged.
    pub stages: &'order [StageHop],
}

/// Result of a reroute order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RerouteOutcome {
    /// The request continues on the new stages.
    Accepted,
    /// A new stage is unreachable or has no free capacity.
    NoCapacity {
        /// Address of the stage, if the answer contains it.
        culprit: Option<SocketAddr>,
    },
    /// The engine does not run the request, or no longer runs it.
    NotRunning,
}

/// State of an engine, as reported to a probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Number of orders that the engine has accepted.
    pub orders: SequenceNumber,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Processing time in percent of the typical time for its kind of engine; 100 is typical.
    pub slowness: u32,
    /// KV memory in use, in tokens times layers.
    pub kv_used: u64,
    /// Total KV memory, in tokens times layers.
    pub kv_total: u64,
}

/// Encodes requests to backend servers and decodes their answers.
pub trait ServerDialect: Send + Sync {
    /// Encodes the headers of a request: the caller's headers without hop-by-hop headers and the
    /// API key, plus the headers of the router.
    fn write(&self, request: &ServerRequest<'_>) -> HeaderMap;

    /// Decodes the head of an answer.
    fn read(&self, head: &response::Parts) -> AnswerHead;

    /// Encodes a load order to the engine `server`.
    fn write_order(&self, server: &ServerName, order: &PlaceOrder) -> Request<Bytes>;

    /// Decodes the answer to a load order.
    fn read_order(&self, status: StatusCode) -> OrderOutcome;

    /// Encodes a reroute order to the engine `server`.
    fn write_reroute(&self, server: &ServerName, order: RerouteOrder<'_>) -> Request<Bytes>;

    /// Decodes the answer to a reroute order.
    fn read_reroute(&self, status: StatusCode, body: &[u8]) -> RerouteOutcome;

    /// Encodes a probe for the state of an engine.
    fn write_report(&self) -> Request<Bytes>;

    /// Decodes the answer to a probe; returns `None` if it is invalid.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;
}
