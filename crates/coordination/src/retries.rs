//! Retries: when a call may be sent again, how often, and which backend servers are left out.

mod budget;
mod deadline;
mod decision;
mod outlier;
mod proof;
mod run_places;
mod settings;
mod slow_start;

pub use budget::BudgetTable;
pub use deadline::CallDeadline;
pub use decision::{FailedAttempt, RetryVerdict, StopReason, decide_retry};
pub use outlier::{Ejection, OutlierTable};
pub use proof::{CallKind, RunProof, SendOutcome};
pub use run_places::RunPlaces;
pub use settings::{OutlierSettings, RetrySettings, SlowStartSettings};
pub use slow_start::slow_start_share;
