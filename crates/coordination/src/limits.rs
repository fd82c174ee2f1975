//! Admission control: decides whether a request runs now, waits in a queue or is refused.
//!
//! Customers share an entry's capacity by weight, each customer's requests run in order of
//! priority, and queues are bounded. A request that cannot meet its deadline is refused at once
//! instead of waiting in vain, and is told when its caller may come back.

mod admission;
mod bucket;
mod counts;
mod credit;
mod customer;
mod decaying_sum;
mod host_capacity;
mod notice_pace;
mod offer;
mod rank;
mod refusal_log;
mod return_schedule;
mod settings;
mod shedding;
mod usual_demand;
mod usual_timeout;
mod wait;
mod work_budget;

pub use admission::AdmissionTable;
pub use counts::{AdmissionCounts, CustomerCounts, PriorityCounts};
pub use host_capacity::{CapacityInputs, HostCapacity, HostCapacitySettings};
pub use notice_pace::{NoticePace, PaceSettings};
pub use offer::{
    AdmissionCapacity, AdmissionChange, AdmissionRefusal, AdmissionRequest, AdmissionVerdict,
    PriorityReserve, RequestPriority, RequestRefusal, TicketKey,
};
pub use refusal_log::{
    CapacityRefusal, HostRefusals, RefusalAnswer, RefusalInputs, RefusalLog, RefusalLogSettings,
    RefusalRecord, RefusalView,
};
pub use return_schedule::{PromisedReturns, ReturnRequest, ReturnSchedule, ReturnSettings};
pub use settings::{CustomerLimits, LimitSettings};
pub use shedding::{ConnectionShedder, ShedSettings};
pub use usual_timeout::{TimeoutSettings, UsualTimeouts};
pub use wait::WaitSettings;
pub use work_budget::{WorkBudget, WorkSettings};

pub(crate) use bucket::TokenBucket;
