//! The replicated state of this host's keeper, shared with the rest of the daemon.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pollendrift_coordination::agreement::{LogIndex, StateMachine, StateMachineError};
use pollendrift_coordination::base::{HostName, Incarnation, MonotonicTime, Revision, WallTime};
use pollendrift_coordination::configuration::Configuration;
use pollendrift_coordination::replicated::{
    CommandStamp, ReplicatedCommand, ReplicatedSettings, ReplicatedState, StampedCommand,
};
use tokio::sync::watch;

/// Shared view of the replicated state; clones see the same state.
#[derive(Clone)]
pub struct SharedState {
    state: Arc<Mutex<ReplicatedState>>,
    revision: watch::Sender<Revision>,
    host: HostName,
    process: Incarnation,
}

impl SharedState {
    /// An empty state; `host` and `process` stamp the commands that this keeper proposes.
    pub fn new(settings: ReplicatedSettings, host: HostName, process: Incarnation) -> Self {
        let state = ReplicatedState::new(settings);
        let revision = watch::Sender::new(state.configuration().revision());
        Self {
            state: Arc::new(Mutex::new(state)),
            revision,
            host,
            process,
        }
    }

    /// Configuration at the last applied entry; current only after a read barrier.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.lock().configuration()
    }

    /// Follows the revision at the last applied entry.
    pub fn watch_revision(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Looks at the state; `read` must not block.
    pub fn read<F, R>(&self, read: F) -> R
    where
        F: FnOnce(&ReplicatedState) -> R,
    {
        read(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, ReplicatedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, revision: Revision) {
        self.revision.send_if_modified(|shown| {
            let changed = *shown != revision;
            *shown = revision;
            changed
        });
    }
}

impl StateMachine for SharedState {
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Result<Vec<u8>, StateMachineError> {
        let (answer, revision) = {
            let mut state = self.lock();
            let answer = state.apply(index, command)?;
            (answer, state.configuration().revision())
        };
        self.publish(revision);
        Ok(answer)
    }

    fn prepare(
        &self,
        now: MonotonicTime,
        wall: WallTime,
        command: Arc<[u8]>,
    ) -> Result<Arc<[u8]>, StateMachineError> {
        let command = ReplicatedCommand::decode(&command)?;
        let stamp = CommandStamp {
            host: self.host.clone(),
            incarnation: self.process,
            uptime: now,
            wall,
        };
        Ok(StampedCommand { stamp, command }.encode()?.into())
    }

    fn snapshot(&self) -> Result<Vec<u8>, StateMachineError> {
        self.lock().snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), StateMachineError> {
        let revision = {
            let mut state = self.lock();
            state.restore(snapshot)?;
            state.configuration().revision()
        };
        self.publish(revision);
        Ok(())
    }
}
