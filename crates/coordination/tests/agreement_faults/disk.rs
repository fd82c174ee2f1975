//! Simulated disk that keeps only synced state.

use pollendrift_coordination::agreement::{
    HardState, LogEntry, LogIndex, PersistRequest, RestoredState, StoredSnapshot,
};

/// Synced state of one disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeDisk {
    hard_state: HardState,
    snapshot: Option<StoredSnapshot>,
    entries: Vec<LogEntry>,
}

impl FakeDisk {
    pub(crate) fn from_state(state: RestoredState) -> Self {
        Self {
            hard_state: state.hard_state,
            snapshot: state.snapshot,
            entries: state.entries,
        }
    }

    pub(crate) fn restore(&self) -> RestoredState {
        RestoredState {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    pub(crate) fn holds(&self, entry: &LogEntry) -> bool {
        let in_snapshot = self.snapshot_index() >= entry.index;
        in_snapshot || self.entries.iter().rev().any(|held| held == entry)
    }

    /// Applies the first `steps` writes of a request; a crash may interrupt after any of them.
    pub(crate) fn write(&mut self, request: &PersistRequest, steps: usize) {
        let mut remaining = steps;
        let mut may_write = || {
            let allowed = remaining > 0;
            remaining = remaining.saturating_sub(1);
            allowed
        };
        if let Some(hard_state) = &request.hard_state
            && may_write()
        {
            self.hard_state = hard_state.clone();
        }
        if let Some(snapshot) = &request.snapshot
            && may_write()
        {
            let index = snapshot.mark.index;
            self.snapshot = Some(snapshot.clone());
            self.entries.retain(|entry| entry.index > index);
        }
        if let Some(from) = request.truncate_from
            && may_write()
        {
            self.entries.retain(|entry| entry.index < from);
        }
        for entry in &request.entries {
            if may_write() {
                self.push(entry);
            }
        }
    }

    fn push(&mut self, entry: &LogEntry) {
        let last = self.entries.last().map(|held| held.index);
        let last = last.unwrap_or_else(|| self.snapshot_index());
        assert_eq!(entry.index, last.next(), "the persist request leaves a gap");
        self.entries.push(entry.clone());
    }

    fn snapshot_index(&self) -> LogIndex {
        let snapshot = self.snapshot.as_ref();
        snapshot.map_or(LogIndex(0), |snapshot| snapshot.mark.index)
    }
}
