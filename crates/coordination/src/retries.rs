//! Retries: when a call may be sent again, how often, and which backend servers are left out.

mod outlier;
mod settings;
mod slow_start;

pub use outlier::{Ejection, OutlierTable};
pub use settings::{OutlierSettings, SlowStartSettings};
pub use slow_start::slow_start_share;
