//! Forwards the results of engine surveys to other hosts.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use pollendrift_coordination::routing::SurveyResult;

use crate::peers::{PeerFrame, PeerHub};

/// Maximum number of engines in one frame.
const FRAME_ENGINES: usize = 512;

/// Survey results that wait for the next tick, the newest for each engine. Keepers' surveys arrive
/// one after the other; forwarding each at once would cost a frame per survey to every follower.
#[derive(Default)]
pub(super) struct SurveyRelay {
    pending: Mutex<BTreeMap<ServerName, (MonotonicTime, SurveyResult)>>,
}

impl SurveyRelay {
    /// Sends results to `keepers` at once; they forward them to their followers.
    pub(super) fn send_to_keepers(
        &self,
        hub: &PeerHub,
        keepers: &[HostName],
        results: &[SurveyResult],
    ) {
        send_results(hub, keepers, results, true);
    }

    /// Stores results until the next tick; drops those older than a stored one.
    pub(super) fn enqueue(&self, now: MonotonicTime, results: Vec<SurveyResult>) {
        let mut pending = self.lock();
        for result in results {
            let taken_at = now.before(result.age);
            let stored = pending.get(&result.server);
            if stored.is_none_or(|(stored, _)| *stored < taken_at) {
                pending.insert(result.server.clone(), (taken_at, result));
            }
        }
    }

    /// Sends the results since the last tick to followers of this keeper. A host that misses them
    /// gets the results of the next survey.
    pub(super) fn send_to_followers(&self, hub: &PeerHub, now: MonotonicTime, hosts: &[HostName]) {
        let pending = std::mem::take(&mut *self.lock());
        let results = pending
            .into_values()
            .map(|(taken_at, result)| SurveyResult {
                age: now.since(taken_at),
                ..result
            });
        let results: Vec<SurveyResult> = results.collect();
        send_results(hub, hosts, &results, false);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServerName, (MonotonicTime, SurveyResult)>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn send_results(hub: &PeerHub, hosts: &[HostName], results: &[SurveyResult], pass_on: bool) {
    if hosts.is_empty() {
        return;
    }
    for results in results.chunks(FRAME_ENGINES) {
        let notes = results.to_vec();
        let frame = PeerFrame::Survey {
            notes,
            pass_on,
            rates: None,
            partition: None,
            quarantine: None,
            poison: None,
            demand: None,
        };
        hub.send_to(hosts, &frame);
    }
}
