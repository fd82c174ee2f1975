//! Interface between the log and the state machine that it replicates.

use std::sync::Arc;

use derive_more::{Display, Error};

use super::entry::LogIndex;
use crate::base::{MonotonicTime, WallTime};

/// Error of a state machine that encodes or decodes a command, an answer or a snapshot.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("state machine can't read {what}: {reason}")]
pub struct StateMachineError {
    /// Kind of value: `command`, `answer` or `snapshot`.
    pub what: &'static str,
    /// Error text of the encoder or decoder.
    pub reason: String,
}

/// Deterministic state that the commands of the log are applied to.
///
/// Invariant: the same commands in the same order give the same answers and the same snapshot on
/// every keeper; the result must not depend on a clock, a random number or a map's order.
pub trait StateMachine: Send {
    /// Applies the command at `index` and returns its encoded answer.
    ///
    /// # Errors
    /// The command can't be decoded; the state is unchanged.
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Result<Vec<u8>, StateMachineError>;

    /// Completes a command that this keeper is about to propose, for example with a time stamp.
    ///
    /// Only the keeper that appends a command may stamp it, so that the order of stamps in the log
    /// is the order in which they were made.
    ///
    /// # Errors
    /// The command can't be decoded; it isn't proposed.
    fn prepare(
        &self,
        now: MonotonicTime,
        wall: WallTime,
        command: Arc<[u8]>,
    ) -> Result<Arc<[u8]>, StateMachineError> {
        let _ = (now, wall);
        Ok(command)
    }

    /// Encodes the complete state.
    ///
    /// # Errors
    /// The state can't be encoded.
    fn snapshot(&self) -> Result<Vec<u8>, StateMachineError>;

    /// Replaces the complete state by that of a snapshot.
    ///
    /// # Errors
    /// The snapshot can't be decoded; the state is unchanged.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), StateMachineError>;
}
