//! Consensus among keepers: a Raft-style replicated log that orders every durable decision.

mod dump;
mod election;
mod entry;
mod follower;
mod hand_over;
mod identity;
mod interface;
mod leader;
mod log;
mod lost_voters;
mod membership_change;
mod message;
mod node;
mod persist;
mod progress;
mod read;
mod redundancy;
mod replicate;
mod settings;
mod snapshot_transfer;
mod state_machine;

pub use dump::{AgreementDump, LeadershipDump, PeerDump};
pub use entry::{
    EntryPayload, HardState, KeeperId, LogEntry, LogIndex, Membership, SnapshotMetadata, Term,
};
pub use interface::{
    AgreementEffect, AgreementInput, HandOverOutcome, KeeperRole, MembershipChange,
    MessageDropReason, PersistRequest, PersistSequence, ProposalOutcome, ReadOutcome,
    RefusalReason, RequestToken, RestoredState, RoleStatus, StoredSnapshot,
};
pub use message::{
    AgreementEnvelope, AgreementMessage, AppendOutcome, AppendReply, AppendRequest, Heartbeat,
    HeartbeatReply, HeartbeatRound, IdentityRejected, ObservedAck, ProcessStart, SnapshotChunk,
    SnapshotOutcome, SnapshotReply, VoteKind, VoteReply, VoteRequest,
};
pub use node::AgreementNode;
pub use redundancy::{RedundancyGap, RedundancyReport};
pub use settings::AgreementSettings;
pub use state_machine::{StateMachine, StateMachineError};
