//! How backend servers take work and orders.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, request, response};
use pollendrift_coordination::base::{
    CustomerName, FencingNumber, LayerRange, RequestId, SequenceNumber, ServerName,
};
use pollendrift_coordination::placement::UnloadPolicy;
use pollendrift_coordination::streams::EventId;

/// One stage of a pipeline that its servers run themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageHop {
    /// Where the stage takes work.
    pub address: SocketAddr,
    /// Layers that it runs of the request.
    pub layers: LayerRange,
}

/// One send of a caller's request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerRequest<'send> {
    /// Head of the caller's request.
    pub head: &'send request::Parts,
    /// Server that must answer; any other that has its address now refuses.
    pub server: &'send ServerName,
    /// Whose request it is.
    pub customer: Option<&'send CustomerName>,
    /// Time that is left, now.
    pub time_left: Duration,
    /// Stages of the pipeline, the receiver's first; empty where one server runs it all.
    pub stages: &'send [StageHop],
    /// Event after which a stream goes on.
    pub resume_after: Option<EventId>,
}

/// Load that a server told with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Request that it answers.
    pub attempt: Option<RequestId>,
    /// Whether the server signed it; a success without is not the server's.
    pub signed: bool,
    /// Whether it says that the request did not run.
    pub not_run: bool,
    /// Whether it comes from another server than the one that was meant.
    pub wrong_server: bool,
    /// Whether its body is encoded, so that it is not the server's.
    pub encoded: bool,
    /// Server that is at fault, where the answer names one.
    pub culprit: Option<SocketAddr>,
    /// Load, where told.
    pub load: Option<ServerLoad>,
}

/// Order to hold a range of layers in place of what an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceOrder {
    /// Layers to hold.
    pub layers: LayerRange,
    /// What becomes of requests on layers that are given up.
    pub given_up: UnloadPolicy,
    /// Number of the right under which it is given.
    pub fencing: FencingNumber,
    /// Orders that the engine must have taken before; `None` to leave it unchecked.
    pub expected: Option<SequenceNumber>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It began.
    Started,
    /// The engine holds the layers already.
    AlreadyLoaded,
    /// The engine has taken other orders than were expected, or can't take this one now.
    Conflict,
    /// A higher fencing number was seen.
    Fenced,
    /// Another engine has the address.
    WrongServer,
    /// It was refused for good.
    Refused,
}

/// An order to the first engine of a pipeline: a request goes on over other stages.
#[derive(Clone, Copy, Debug)]
pub struct RerouteOrder<'order> {
    /// The request.
    pub request: &'order RequestId,
    /// Its stages from now on; the first one is as before.
    pub stages: &'order [StageHop],
}

/// What became of such an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RerouteOutcome {
    /// The request goes on over the new stages.
    Accepted,
    /// A new stage is not there or has no room.
    NoCapacity {
        /// The stage, where the engine names it.
        culprit: Option<SocketAddr>,
    },
    /// The engine does not run the request, or not any more.
    NotRunning,
}

/// State of an engine that was asked for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Orders that it has taken.
    pub orders: SequenceNumber,
    /// Whether one is in progress.
    pub busy: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How slow it is, in percent of its kind's usual time; 100 is usual.
    pub slowness: u32,
    /// Request memory in use, in tokens times layers.
    pub kv_used: u64,
    /// Request memory in all, in tokens times layers.
    pub kv_total: u64,
}

/// How backend servers speak.
pub trait ServerDialect: Send + Sync {
    /// Writes the head of a send: the caller's, with what concerns only its connection and key taken
    /// out, and the router's own put in.
    fn write(&self, send: &ServerRequest<'_>) -> HeaderMap;

    /// Reads the head of an answer.
    fn read(&self, head: &response::Parts) -> AnswerHead;

    /// Writes an order to the engine `server`.
    fn write_order(&self, server: &ServerName, order: &PlaceOrder) -> Request<Bytes>;

    /// Reads the answer to an order.
    fn read_order(&self, status: StatusCode) -> OrderOutcome;

    /// Writes an order to the engine `server` to go on with a request over other stages.
    fn write_reroute(&self, server: &ServerName, order: RerouteOrder<'_>) -> Request<Bytes>;

    /// Reads the answer to that order.
    fn read_reroute(&self, status: StatusCode, body: &[u8]) -> RerouteOutcome;

    /// Writes a question for an engine's state.
    fn write_report(&self) -> Request<Bytes>;

    /// Reads the answer to that question; `None` if it is none.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;
}
