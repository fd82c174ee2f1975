//! Agreement among keepers: the replicated log that every durable decision goes through.

mod entry;
mod machine;

pub use entry::{
    EntryPayload, HardState, KeeperId, LogEntry, LogIndex, Membership, SnapshotMark, Term,
};
pub use machine::{MachineError, StateMachine};
