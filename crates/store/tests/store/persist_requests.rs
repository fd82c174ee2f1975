//! Persist requests of the agreement state machine under power loss.

use std::sync::mpsc::channel;

use pollendrift_coordination::agreement::{
    HardState, LogIndex, PersistRequest, PersistSequence, StoredSnapshot, Term,
};
use pollendrift_store::{CommitRequest, CommitSettings, CommitThread, RecoveredLog};

use crate::fault_files::{Fault, FaultFiles};
use crate::workload::{entry, open, snapshot};

/// A persist request with entries `first..=last` of `term`.
fn request(term: u64, first: u64, last: u64) -> PersistRequest {
    PersistRequest {
        sequence: PersistSequence(0),
        hard_state: Some(HardState {
            term: Term(term),
            voted_for: None,
        }),
        entries: (first..=last).map(|index| entry(index, term)).collect(),
        ..PersistRequest::default()
    }
}

fn with_snapshot(index: u64, term: u64, request: PersistRequest) -> PersistRequest {
    let snapshot = snapshot(index, term);
    let bytes = snapshot.state.into();
    PersistRequest {
        snapshot: Some(StoredSnapshot {
            mark: snapshot.mark,
            bytes,
        }),
        ..request
    }
}

fn truncated(from: u64, request: PersistRequest) -> PersistRequest {
    PersistRequest {
        truncate_from: Some(LogIndex(from)),
        ..request
    }
}

/// Appends, a replaced suffix, an own snapshot, a snapshot from the leader that contradicts the
/// log, and one that reaches beyond the log.
fn requests() -> Vec<PersistRequest> {
    vec![
        request(1, 1, 12),
        request(1, 13, 20),
        with_snapshot(17, 1, request(2, 21, 22)),
        truncated(19, request(3, 19, 30)),
        truncated(26, with_snapshot(25, 9, request(9, 26, 27))),
        with_snapshot(60, 9, request(10, 61, 70)),
        truncated(65, request(11, 65, 66)),
    ]
}

/// States that recovery may return while `request` is written after `log`; the last is complete.
fn states(log: &RecoveredLog, request: &PersistRequest) -> Vec<RecoveredLog> {
    let mut states = vec![log.clone()];
    let mut log = log.clone();
    log.hard = request.hard_state.clone().unwrap_or(log.hard);
    if let Some(stored) = &request.snapshot {
        states.push(log.clone());
        let mark = &stored.mark;
        let agrees = log
            .entries
            .iter()
            .any(|entry| (entry.index, entry.term) == (mark.index, mark.term));
        log.entries
            .retain(|entry| agrees && entry.index > mark.index);
        log.snapshot = Some(snapshot(mark.index.0, mark.term.0));
        states.push(log.clone());
    }
    if let Some(from) = request.truncate_from {
        log.entries.retain(|entry| entry.index < from);
    }
    log.entries.extend(request.entries.iter().cloned());
    states.push(log);
    states
}

// Guards against a state that is no prefix of the writes. After a power loss at any step the disk
// contains all earlier requests and some prefix of the request in progress: hard state, snapshot,
// then truncation and entries. A snapshot from the leader that contradicts the log also removes the
// rest of the log, even if power fails before the truncation is written and the segment with the
// contradicting entry is already removed.
#[test]
fn power_loss_leaves_a_prefix_of_the_request_in_progress() {
    for step in 0.. {
        let files = FaultFiles::default();
        let opened = open(&files).expect("a fresh folder");
        files.fail_after(step, Fault::PowerLoss);
        let (report, reports) = channel();
        let send = move |done| drop(report.send(done));
        let store = Box::new(opened.store);
        let mut commit =
            CommitThread::start(store, CommitSettings::default(), send).expect("a thread");
        let mut possible = vec![RecoveredLog::default()];
        for request in requests() {
            let before = possible.last().expect("never empty").clone();
            possible = states(&before, &request);
            commit
                .submit(CommitRequest::Agreement(request))
                .expect("the store runs");
            let done: pollendrift_store::CommitReport = reports.recv().expect("a report");
            if done.result.is_err() {
                break;
            }
            possible.drain(..possible.len() - 1);
        }
        commit.finish();
        let finished = !files.is_off();
        for seed in [2, 30] {
            let disk = files.image();
            disk.restore_power(seed);
            let found = open(&disk)
                .unwrap_or_else(|error| panic!("step {step}: {error}"))
                .recovered;
            assert!(
                possible.contains(&found),
                "step {step} seed {seed}: {found:#?}"
            );
        }
        if finished {
            assert!(step > 40, "the requests have only {step} steps");
            return;
        }
    }
}
