//! Commands in the log and their answers.

use serde::{Deserialize, Serialize};

use super::clock::CommandStamp;
use super::evidence_index::{EvidenceAnswer, ReplicatedEvidenceBatch};
use super::incarnations::StartHost;
use super::order_right::{GrantOrderRight, OrderRightAnswer};
use crate::agreement::StateMachineError;
use crate::base::{HostName, Incarnation};
use crate::claims::{SettleAnswer, SettleClaim, TakeAnswer, TakeClaim};
use crate::configuration::{ChangeAnswer, ChangeRequest, EditRequest};

/// A command; proposing the same command again after a lost answer is safe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicatedCommand {
    /// Replaces the configuration by a complete new text.
    ChangeConfiguration(ChangeRequest),
    /// Sets or removes single documents of the configuration.
    EditConfiguration(EditRequest),
    /// Takes a claim for a non-idempotent call.
    TakeClaim(TakeClaim),
    /// Settles a claim with the outcome of its call.
    SettleClaim(SettleClaim),
    /// Records a batch of evidence records.
    RecordEvidence(ReplicatedEvidenceBatch),
    /// Requests the right to give orders to a backend server.
    GrantOrderRight(GrantOrderRight),
    /// Assigns an incarnation to a host's new process and ends the host's former incarnations.
    StartHost(StartHost),
    /// Ends a host's process; its claims in progress become unknown.
    EndHost {
        /// The host.
        host: HostName,
        /// Last incarnation of the host to end.
        incarnation: Incarnation,
    },
    /// Advances the replicated clock while no other command is proposed.
    Tick,
}

/// A command with the stamp of the leader that appended it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Time at which the leader appended it, and the leader's identity.
    pub stamp: CommandStamp,
    /// The command.
    pub command: ReplicatedCommand,
}

/// Answer to a [`ReplicatedCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAnswer {
    /// Answer to `ChangeConfiguration` and `EditConfiguration`.
    Change(ChangeAnswer),
    /// Answer to `TakeClaim`.
    Taken(TakeAnswer),
    /// Answer to `SettleClaim`.
    Settled(SettleAnswer),
    /// Answer to `RecordEvidence`.
    Evidence(EvidenceAnswer),
    /// Answer to `GrantOrderRight`.
    OrderRight(OrderRightAnswer),
    /// Answer to `StartHost`: the incarnation of the process.
    Started(Incarnation),
    /// Answer to `EndHost`.
    Ended {
        /// Number of claims that became unknown.
        claims: u64,
    },
    /// Answer to `Tick`.
    Ticked,
}

impl ReplicatedCommand {
    /// Encodes the command for the keeper that will stamp and propose it.
    ///
    /// # Errors
    /// The command can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, StateMachineError> {
        encode("command", self)
    }

    /// Decodes a command without a stamp.
    ///
    /// # Errors
    /// The bytes aren't an encoded command.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateMachineError> {
        decode("command", bytes)
    }
}

impl StampedCommand {
    /// Encodes the stamped command for the log.
    ///
    /// # Errors
    /// The command can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, StateMachineError> {
        encode("command", self)
    }
}

impl CommandAnswer {
    /// Decodes the answer that applying a command returned.
    ///
    /// # Errors
    /// The bytes aren't an encoded answer.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateMachineError> {
        decode("answer", bytes)
    }
}

pub(super) fn encode<T>(what: &'static str, value: &T) -> Result<Vec<u8>, StateMachineError>
where
    T: Serialize,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| StateMachineError {
        what,
        reason: error.to_string(),
    })?;
    Ok(bytes)
}

pub(super) fn decode<T>(what: &'static str, bytes: &[u8]) -> Result<T, StateMachineError>
where
    T: serde::de::DeserializeOwned,
{
    ciborium::from_reader(bytes).map_err(|error| StateMachineError {
        what,
        reason: error.to_string(),
    })
}
