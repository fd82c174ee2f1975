//! The border between the log and what is replicated through it.

use std::sync::Arc;

use derive_more::{Display, Error};

use super::entry::LogIndex;
use crate::base::{MonotonicTime, WallTime};

/// Why a state machine refused bytes.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("state machine can't read {what}: {reason}")]
pub struct StateMachineError {
    /// What was being read: a command or a snapshot.
    pub what: &'static str,
    /// The decoder's words.
    pub reason: String,
}

/// A deterministic state that the log's commands are applied to.
///
/// Invariant: the same commands in the same order give the same answers and the same snapshot on
/// every keeper; no clock, random number or map order may enter.
pub trait StateMachine: Send {
    /// Applies one command and returns its encoded answer.
    ///
    /// # Errors
    /// The command can't be decoded; the state is unchanged.
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Result<Vec<u8>, StateMachineError>;

    /// Completes a command that this keeper is about to propose, such as with the leader's time.
    ///
    /// Only the keeper that appends a command may stamp it: stamps then stand in the log in the
    /// order in which they were made.
    ///
    /// # Errors
    /// The command can't be read; it is not proposed.
    fn prepare(
        &self,
        now: MonotonicTime,
        wall: WallTime,
        command: Arc<[u8]>,
    ) -> Result<Arc<[u8]>, StateMachineError> {
        let _ = (now, wall);
        Ok(command)
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    /// The state can't be encoded.
    fn snapshot(&self) -> Result<Vec<u8>, StateMachineError>;

    /// Replaces the whole state by that of a snapshot.
    ///
    /// # Errors
    /// The snapshot can't be decoded; the state is unchanged.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), StateMachineError>;
}
