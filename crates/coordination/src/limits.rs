//! Limits: which request runs now, which waits, and which is refused at once.
//!
//! Customers share an entry's capacity by weight, requests go by priority within it, queues are
//! bounded, and a request that cannot meet its deadline is told so instead of waiting for nothing.

mod admission;
mod bucket;
mod customer;
mod offer;
mod settings;
mod wait;

pub use admission::AdmissionTable;
pub use offer::{
    AdmissionCapacity, AdmissionChange, AdmissionOffer, AdmissionVerdict, RefusalReason,
    RequestPriority, RequestRefusal, TicketKey,
};
pub use settings::{CustomerLimits, LimitSettings};
pub use wait::WaitSettings;

pub(crate) use bucket::TokenBucket;
