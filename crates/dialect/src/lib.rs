//! Border between pollendrift and a platform that speaks a dialect of its own.
//!
//! The router works on the types of this crate; an adapter decodes what the platform says into
//! them, once, and encodes what the router answers. An adapter decides nothing: which request runs
//! where, what is refused and what is believed is the router's.

mod callers;
mod operators;
mod registry;
mod servers;

use std::sync::Arc;

pub use callers::{
    CallerDialect, CallerRequest, CallerRequestError, DraftSize, RefusalKind, RelayRefusal,
};
pub use operators::{OperatorCall, OperatorDialect, OperatorReply};
pub use registry::{RegistryAck, RegistryCall, RegistryDialect, RegistryError, ServerAnnouncement};
pub use servers::{
    AnswerHead, EngineReport, OrderOutcome, PlaceOrder, RerouteOrder, RerouteOutcome,
    ServerDialect, ServerLoad, ServerRequest, StageHop,
};

/// The dialects of one platform.
#[derive(Clone)]
pub struct PlatformDialect {
    /// How callers speak.
    pub callers: Arc<dyn CallerDialect>,
    /// How operators speak.
    pub operators: Arc<dyn OperatorDialect>,
    /// How backend servers announce themselves.
    pub registry: Arc<dyn RegistryDialect>,
    /// How backend servers take work and orders.
    pub servers: Arc<dyn ServerDialect>,
}

impl std::fmt::Debug for PlatformDialect {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("PlatformDialect")
            .finish_non_exhaustive()
    }
}
