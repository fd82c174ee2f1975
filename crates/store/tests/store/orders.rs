//! Orders of the agreement core under power loss.

use std::sync::mpsc::channel;

use pollendrift_coordination::agreement::{
    HardState, LogIndex, PersistRequest, PersistSequence, StoredSnapshot, Term,
};
use pollendrift_store::{CommitRequest, CommitSettings, CommitThread, RecoveredLog};

use crate::fault_files::{Fault, FaultFiles};
use crate::workload::{entry, open, snapshot};

/// An order with entries `first..=last` of `term`.
fn order(term: u64, first: u64, last: u64) -> PersistRequest {
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

fn with_snapshot(index: u64, term: u64, order: PersistRequest) -> PersistRequest {
    let snapshot = snapshot(index, term);
    let bytes = snapshot.state.into();
    PersistRequest {
        snapshot: Some(StoredSnapshot {
            mark: snapshot.mark,
            bytes,
        }),
        ..order
    }
}

fn truncated(from: u64, order: PersistRequest) -> PersistRequest {
    PersistRequest {
        truncate_from: Some(LogIndex(from)),
        ..order
    }
}

/// Appends, a replaced suffix, an own snapshot, a leader's snapshot over a log that disagrees with
/// it, and one beyond the log.
fn orders() -> Vec<PersistRequest> {
    vec![
        order(1, 1, 12),
        order(1, 13, 20),
        with_snapshot(17, 1, order(2, 21, 22)),
        truncated(19, order(3, 19, 30)),
        truncated(26, with_snapshot(25, 9, order(9, 26, 27))),
        with_snapshot(60, 9, order(10, 61, 70)),
        truncated(65, order(11, 65, 66)),
    ]
}

/// States that may be read back while `order` is written on top of `log`; the last is the whole.
fn states(log: &RecoveredLog, order: &PersistRequest) -> Vec<RecoveredLog> {
    let mut states = vec![log.clone()];
    let mut log = log.clone();
    log.hard = order.hard_state.clone().unwrap_or(log.hard);
    if let Some(stored) = &order.snapshot {
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
    if let Some(from) = order.truncate_from {
        log.entries.retain(|entry| entry.index < from);
    }
    log.entries.extend(order.entries.iter().cloned());
    states.push(log);
    states
}

/// The caller sees: after a power loss at any step the disk holds some prefix of the order in
/// flight (hard state, snapshot, then truncation and entries), and all of the orders before it.
/// A leader's snapshot that disagrees with the log takes the log's rest with it, also when power
/// goes before the truncation is written. At first the rest came back where the entry that shows
/// the disagreement had been removed with its segment.
#[test]
fn power_loss_leaves_a_prefix_of_the_order_in_flight() {
    for step in 0.. {
        let files = FaultFiles::default();
        let opened = open(&files).expect("fresh folder");
        files.fail_after(step, Fault::PowerLoss);
        let (report, reports) = channel();
        let send = move |done| drop(report.send(done));
        let store = Box::new(opened.store);
        let mut commit =
            CommitThread::start(store, CommitSettings::default(), send).expect("a thread");
        let mut possible = vec![RecoveredLog::default()];
        for order in orders() {
            let before = possible.last().expect("never empty").clone();
            possible = states(&before, &order);
            commit
                .submit(CommitRequest::Agreement(order))
                .expect("it runs");
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
            assert!(step > 40, "the orders have only {step} steps");
            return;
        }
    }
}
