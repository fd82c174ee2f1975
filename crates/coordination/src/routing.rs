//! Routing: selects the pipeline of engines that runs a request.
//!
//! A pipeline is a list of engines that together run every layer of one model version exactly once,
//! in order. A route is the planned pipeline of one request. A chain is the list of stages that a
//! token carries (see [`crate::ledger`]). Each engine announces
//! the range of layers that it holds. [`FleetPlanner`] stores these announcements, computes the
//! maximum flow over the layer graph each tick, and picks the engine of each stage from a few
//! samples, so that the cost of a decision does not grow with the fleet.

mod allotment;
mod bound;
mod capacity;
mod choice;
mod connected;
mod correction;
mod degraded;
mod engine;
mod fleet;
mod flight;
mod flow;
mod graph;
mod health;
mod link;
mod load;
mod outliers;
mod plan;
mod planner;
mod policy;
mod pool_capacity;
mod prefix;
mod remaining;
mod repair;
mod search;
mod servers;
mod settings;
mod survey;
mod unit;
mod view;

pub use bound::FlowBound;
pub use degraded::{DegradedLinks, DegradedSettings};
pub use engine::{AcceleratorKind, EngineAnnouncement, EngineRole, MAX_ADAPTERS};
pub use fleet::{EngineKey, EngineRecord, FleetTable, UpsertOutcome};
pub use flight::FlightKey;
pub use graph::GraphId;
pub use health::{ChainHealth, ChainVerdict, HealthSettings};
pub use link::LinkProperties;
pub use load::{LoadReport, LoadValues};
pub use plan::{
    EngineFilter, NoRoute, NoRouteReason, PermitAll, RejectCounts, RejectReason, RoutePlan,
    RoutePriority, RouteQuery, RouteStage, is_complete_chain,
};
pub use planner::{EngineDump, FleetPlanner, RoutePlanner, RoutingDump};
pub use policy::PolicyKind;
pub use pool_capacity::{PoolCapacity, PoolSettings};
pub use prefix::{CacheChange, CacheEvent, CacheOutcome, PrefixDigest, PromptPrefix};
pub use servers::{ReportedLoad, ServerCandidate, ServerLoads};
pub use settings::{ChainScope, RoutingSettings, WorkloadMix};
pub use survey::{EngineLoad, SurveyResult, SurveyTable, SurveyedEngine};
pub use unit::{ByteRate, TokenCount, TokenRate};
