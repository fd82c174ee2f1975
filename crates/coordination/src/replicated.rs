//! State that keepers replicate: configuration changes, claims, evidence and order rights.
//!
//! [`ReplicatedState`] applies [`StampedCommand`]s from the log in order and answers each with a
//! [`CommandAnswer`]. Its snapshot includes everything that makes a resent command safe.

mod clock;
mod command;
mod evidence_index;
mod incarnations;
mod order_right;
mod state;

pub use clock::{CommandStamp, ReplicatedClock, ReplicatedTime};
pub use command::{CommandAnswer, ReplicatedCommand, StampedCommand};
pub use evidence_index::{
    EvidenceAnswer, EvidenceIndex, EvidencePosition, EvidenceRetention, IndexedRecord,
    ReplicatedEvidenceBatch,
};
pub use incarnations::{IncarnationTable, ProcessNonce, StartHost};
pub use order_right::{GrantOrderRight, OrderHolder, OrderRightAnswer, OrderRightTable};
pub use state::{ReplicatedSettings, ReplicatedState};
