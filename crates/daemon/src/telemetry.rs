//! What an operator sees of a running daemon besides its evidence: logs and metrics.

mod instruments;
mod logs;
mod metrics;

pub use instruments::{INSTRUMENTS, InstrumentKind, InstrumentSpec};
pub use logs::{LogControl, LogError, log_field, log_to};
pub use metrics::{MetricError, MetricRegistry, RefusedConnection, RequestEnd};
