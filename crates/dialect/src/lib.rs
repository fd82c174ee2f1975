//! Interface between pollendrift and a platform with its own HTTP protocol, here called a dialect.
//!
//! The router works with the types of this crate. An adapter decodes the messages of the platform
//! into these types once, and encodes the replies of the router. An adapter makes no decisions: the
//! router decides where a request runs, which requests are refused and which data is trusted.

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

/// Protocol adapters of one platform.
#[derive(Clone)]
pub struct PlatformDialect {
    /// Adapter for requests of callers.
    pub callers: Arc<dyn CallerDialect>,
    /// Adapter for requests of operators.
    pub operators: Arc<dyn OperatorDialect>,
    /// Adapter for announcements of backend servers.
    pub registry: Arc<dyn RegistryDialect>,
    /// Adapter for requests and orders to backend servers.
    pub servers: Arc<dyn ServerDialect>,
}

impl std::fmt::Debug for PlatformDialect {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("PlatformDialect")
            .finish_non_exhaustive()
    }
}
