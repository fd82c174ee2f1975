//! Demand shares: the fraction of a common capacity that one host may use.
//!
//! All hosts see the same free capacity of a service or the same rate limit of a server. Each uses
//! its own fraction of the demand of all hosts, so that together they use the capacity once. Hosts
//! report their demand to the keeper that they follow. Keepers report the sum of their followers to
//! each other, and the sum of all hosts to their followers.

mod meter;
mod report;
mod settings;
mod shared;
mod table;

pub use report::{DemandBatch, DemandReport, InvalidDemand, ReportScope, ReportSender};
pub use settings::{DemandSettings, ShareSettings};
pub use shared::{DemandSum, ReportedHosts, SharedDemand};
pub use table::{DemandDump, DemandTable};
