//! Retry decisions and budgets, outlier ejection and slow start of backend servers.

mod budget;
mod deadline;
mod decision;
mod outlier;
mod proof;
mod settings;
mod slow_start;
mod tried_servers;

pub use budget::BudgetTable;
pub use deadline::CallDeadline;
pub use decision::{FailedAttempt, RetryVerdict, StopReason, decide_retry};
pub use outlier::{Ejection, OutlierTable};
pub use proof::{CallKind, RunProof, SendOutcome};
pub use settings::{OutlierSettings, RetrySettings, SlowStartSettings};
pub use slow_start::slow_start_share;
pub use tried_servers::TriedServers;
