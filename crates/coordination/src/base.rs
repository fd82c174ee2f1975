//! Types shared by all modules: names, numbers, time and findings.

mod finding;
mod hash;
mod name;
mod number;
pub(crate) mod shared_bytes;
mod time;

pub use finding::{Finding, FindingList, Place, Severity};
pub(crate) use hash::hash_names;
pub use name::{
    AdapterName, ChangeId, ClaimKey, CustomerName, DataCentreName, HostName, ModelName,
    OperatorName, PartName, RequestId, SelectorName, ServerName, ServiceName, VersionName,
};
pub(crate) use number::number_type;
pub use number::{
    AttemptNumber, FencingNumber, Incarnation, LayerRange, ReceiptNumber, Revision, SequenceNumber,
    TokenPosition,
};
pub use time::{MonotonicTime, WallTime};
