//! Replicated state of this host's keeper, shared with the other parts of the daemon.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pollendrift_coordination::agreement::{LogIndex, StateMachine, StateMachineError};
use pollendrift_coordination::base::{HostName, Incarnation, MonotonicTime, Revision, WallTime};
use pollendrift_coordination::configuration::Configuration;
use pollendrift_coordination::replicated::{
    CommandStamp, ReplicatedCommand, ReplicatedSettings, ReplicatedState, StampedCommand,
};
use tokio::sync::watch;

/// Replicated state behind a lock; clones share the state.
#[derive(Clone)]
pub struct SharedState {
    state: Arc<Mutex<ReplicatedState>>,
    revision: watch::Sender<Revision>,
    host: HostName,
    process: Incarnation,
}

impl SharedState {
    /// Creates an empty state; commands proposed by this keeper get a stamp with `host` and
    /// `process`.
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

    /// Configuration as of the last applied entry; current only after a read barrier.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.lock().configuration()
    }

    /// Returns a receiver of the configuration's revision as of the last applied entry.
    pub fn watch_revision(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Runs `read` on the locked state; `read` must not block.
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
        self.revision.send_if_modified(|published| {
            let changed = *published != revision;
            *published = revision;
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
