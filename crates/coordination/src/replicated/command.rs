//! Commands of the log and their answers.

use serde::{Deserialize, Serialize};

use super::clock::CommandStamp;
use super::evidence_index::{EvidenceAnswer, EvidenceBatch};
use super::incarnations::StartHost;
use super::order_right::{GrantOrderRight, OrderRightAnswer};
use crate::agreement::StateMachineError;
use crate::base::{HostName, Incarnation};
use crate::claims::{SettleAnswer, SettleClaim, TakeAnswer, TakeClaim};
use crate::configuration::{ChangeAnswer, ChangeRequest, EditRequest};

/// A command; each may be proposed again when its answer was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicatedCommand {
    /// Changes the configuration.
    ChangeConfiguration(ChangeRequest),
    /// Changes the configuration by what differs.
    EditConfiguration(EditRequest),
    /// Takes a claim for a call that may not be repeated.
    TakeClaim(TakeClaim),
    /// Settles a claim.
    SettleClaim(SettleClaim),
    /// Records evidence.
    RecordEvidence(EvidenceBatch),
    /// Grants the right to give orders to a backend server.
    GrantOrderRight(GrantOrderRight),
    /// A host's process started: it gets its incarnation, and earlier ones are ended.
    StartHost(StartHost),
    /// A host's process is gone: its claims in progress become unknown.
    EndHost {
        /// The host.
        host: HostName,
        /// Its last incarnation.
        incarnation: Incarnation,
    },
    /// Moves the agreed clock while nothing else is proposed.
    Tick,
}

/// A command as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// When the leader appended it.
    pub stamp: CommandStamp,
    /// The command.
    pub command: ReplicatedCommand,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAnswer {
    /// To `ChangeConfiguration` and `EditConfiguration`.
    Change(ChangeAnswer),
    /// To `TakeClaim`.
    Taken(TakeAnswer),
    /// To `SettleClaim`.
    Settled(SettleAnswer),
    /// To `RecordEvidence`.
    Evidence(EvidenceAnswer),
    /// To `GrantOrderRight`.
    OrderRight(OrderRightAnswer),
    /// To `StartHost`: the incarnation of the process.
    Started(Incarnation),
    /// To `EndHost`: number of claims that became unknown.
    Ended {
        /// Claims that became unknown.
        claims: u64,
    },
    /// To `Tick`.
    Ticked,
}

impl ReplicatedCommand {
    /// The command as bytes for the keeper that will stamp and propose it.
    ///
    /// # Errors
    /// The command can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, StateMachineError> {
        encode("command", self)
    }

    /// Reads a command that has not been stamped.
    ///
    /// # Errors
    /// The bytes are no command.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateMachineError> {
        decode("command", bytes)
    }
}

impl StampedCommand {
    /// The command as bytes for the log.
    ///
    /// # Errors
    /// The command can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, StateMachineError> {
        encode("command", self)
    }
}

impl CommandAnswer {
    /// Reads the answer that applying a command gave.
    ///
    /// # Errors
    /// The bytes are no answer.
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
