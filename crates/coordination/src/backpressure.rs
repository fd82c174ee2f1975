//! Backpressure: what backend servers state about their capacity in their answers.
//!
//! A server in need states the rate of requests that it accepts from all hosts together. The
//! statement holds until an answer of the server no longer contains one. Hosts divide the rate
//! among themselves by their demand, which they report to each other.
//!
//! A server that turns a request away may ask the host that sent it to back off for a while. A server
//! that leaves may state so in its answers before its announcements do.

mod back_off;
mod leaving;
mod rate;
mod rate_record;
mod rate_report;
mod rate_settings;
mod rate_table;

pub use back_off::BackOffTable;
pub use leaving::LeavingTable;
pub use rate::{RequestRate, StatedRate};
pub use rate_report::{RateBatch, RateReport, RateScope, StatementReport};
pub use rate_settings::RateSettings;
pub use rate_table::{RateChange, RateDump, RateTable, UsedUpRate};

pub use crate::demand::ReportSender;
