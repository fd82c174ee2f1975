//! What surveys of engines found, on its way to other hosts.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use pollendrift_coordination::routing::SurveyResult;

use crate::peers::{PeerFrame, PeerHub};

/// Engines in one frame.
const FRAME_ENGINES: usize = 512;

/// Notes that wait for the next tick, the youngest of each engine. Keepers' surveys come in one after
/// the other; passed on one by one, each would cost a frame to every host that follows.
#[derive(Default)]
pub(super) struct SurveyRelay {
    waiting: Mutex<BTreeMap<ServerName, (MonotonicTime, SurveyResult)>>,
}

impl SurveyRelay {
    /// Tells keepers at once; they pass it on to the hosts that follow them.
    pub(super) fn send_to_keepers(
        &self,
        hub: &PeerHub,
        keepers: &[HostName],
        notes: &[SurveyResult],
    ) {
        tell(hub, keepers, notes, true);
    }

    /// Keeps notes for the next tick.
    pub(super) fn enqueue(&self, now: MonotonicTime, notes: Vec<SurveyResult>) {
        let mut waiting = self.lock();
        for note in notes {
            let taken = now.before(note.age);
            let held = waiting.get(&note.server);
            if held.is_none_or(|(held, _)| *held < taken) {
                waiting.insert(note.server.clone(), (taken, note));
            }
        }
    }

    /// Tells hosts that follow this keeper what came in since the last tick. Who misses it is told
    /// again with the next survey.
    pub(super) fn send_to_followers(&self, hub: &PeerHub, now: MonotonicTime, hosts: &[HostName]) {
        let waiting = std::mem::take(&mut *self.lock());
        let notes = waiting.into_values().map(|(taken, note)| SurveyResult {
            age: now.since(taken),
            ..note
        });
        let notes: Vec<SurveyResult> = notes.collect();
        tell(hub, hosts, &notes, false);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServerName, (MonotonicTime, SurveyResult)>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn tell(hub: &PeerHub, hosts: &[HostName], notes: &[SurveyResult], pass_on: bool) {
    if hosts.is_empty() {
        return;
    }
    for notes in notes.chunks(FRAME_ENGINES) {
        let notes = notes.to_vec();
        hub.send_to(hosts, &PeerFrame::Survey { notes, pass_on });
    }
}
