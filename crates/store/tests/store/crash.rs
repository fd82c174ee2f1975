//! Power loss and disk errors at every write and sync.

use std::io::ErrorKind;

use pollendrift_coordination::agreement::{HardState, Term};
use pollendrift_store::{LogStore, PersistBatch, RecoveredLog, StoreError};

use crate::fault_files::{Fault, FaultFiles};
use crate::workload::{entry, expected_after, open, run, script};

const SEEDS: [u64; 4] = [1, 20, 300, 4_000];

/// Files and expected states after a run with a fault.
struct Interrupted {
    files: FaultFiles,
    acknowledged: RecoveredLog,
    /// State that the failed call would have produced.
    attempted: RecoveredLog,
    /// Error of the failed call and of the one after it.
    errors: Vec<StoreError>,
}

/// Runs the script up to the fault; returns `None` if the script ends before the fault.
fn interrupt(step: u64, fault: Fault) -> Option<Interrupted> {
    let files = FaultFiles::default();
    files.fail_after(step, fault);
    let mut acknowledged = RecoveredLog::default();
    let mut opened = match open(&files) {
        Ok(opened) => opened,
        Err(error) => {
            let attempted = acknowledged.clone();
            return Some(Interrupted {
                files,
                acknowledged,
                attempted,
                errors: vec![error],
            });
        }
    };
    for call in script() {
        let attempted = expected_after(&acknowledged, &call);
        let Err(error) = run(&mut opened.store, &call) else {
            acknowledged = attempted;
            continue;
        };
        let again = PersistBatch {
            entries: vec![entry(1, 1)],
            ..PersistBatch::default()
        };
        let refused = opened
            .store
            .persist(&again)
            .expect_err("a stopped store refuses");
        return Some(Interrupted {
            files,
            acknowledged,
            attempted,
            errors: vec![error, refused],
        });
    }
    None
}

// Guards against loss of acknowledged changes. Power fails at each write, sync, rename and removal
// in turn, and any part of the unsynced data survives, with holes. Recovery gives the acknowledged
// state or that of the call in progress: one frame is one sync, so no intermediate state can be
// read.
#[test]
fn power_loss_at_any_step_keeps_all_acknowledged_changes() {
    let mut step = 0;
    while let Some(first) = interrupt(step, Fault::PowerLoss) {
        drop(first);
        for seed in SEEDS {
            let run = interrupt(step, Fault::PowerLoss).expect("the script is the same");
            run.files.restore_power(seed);
            check_recovery(&run, &format!("step {step} seed {seed}"));
        }
        step += 1;
    }
    assert!(step > 100, "the script has only {step} steps");
}

// Guards against loss of acknowledged changes by a second power loss during the recovery from the
// first. Recovery only truncates, removes and syncs, so a second recovery gives the same state.
#[test]
fn power_loss_during_recovery_keeps_all_acknowledged_changes() {
    let mut step = 0;
    while interrupt(step, Fault::PowerLoss).is_some() {
        for recovery_step in 0..12 {
            let run = interrupt(step, Fault::PowerLoss).expect("the script is the same");
            run.files.restore_power(step);
            run.files.fail_after(recovery_step, Fault::PowerLoss);
            drop(open(&run.files));
            run.files.restore_power(step + recovery_step);
            check_recovery(&run, &format!("step {step} recovery step {recovery_step}"));
        }
        step += 7;
    }
}

// Guards against a success after a failed sync, which may have dropped its pages. A full disk or
// one error at any step stops the store: it refuses all later calls and does not repeat the sync.
// After a restart all acknowledged changes are present.
#[test]
fn a_disk_error_at_any_step_stops_the_store() {
    for kind in [ErrorKind::StorageFull, ErrorKind::Other] {
        let mut step = 0;
        while let Some(run) = interrupt(step, Fault::Error(kind)) {
            let context = format!("step {step} {kind:?}");
            let full = matches!(run.errors[0], StoreError::DiskFull { .. });
            assert_eq!(
                full,
                kind == ErrorKind::StorageFull,
                "{context}: {}",
                run.errors[0]
            );
            if let Some(refused) = run.errors.get(1) {
                assert!(
                    matches!(refused, StoreError::Stopped { .. }),
                    "{context}: {refused}"
                );
            }
            run.files.restore_power(step);
            check_recovery(&run, &context);
            step += 1;
        }
    }
}

fn check_recovery(run: &Interrupted, context: &str) {
    run.files.clear_fault();
    let opened = open(&run.files).unwrap_or_else(|error| panic!("{context}: {error}"));
    let found = &opened.recovered;
    assert!(
        *found == run.acknowledged || *found == run.attempted,
        "{context}: read {found:#?}, acknowledged {:#?}",
        run.acknowledged
    );
    let mut store = opened.store;
    let next = found.entries.last().map_or_else(
        || {
            found
                .snapshot
                .as_ref()
                .map_or(1, |snapshot| snapshot.mark.index.0 + 1)
        },
        |last| last.index.0 + 1,
    );
    let batch = PersistBatch {
        entries: vec![entry(next, 9)],
        ..PersistBatch::default()
    };
    store
        .persist(&batch)
        .unwrap_or_else(|error| panic!("{context}: {error}"));
    drop(store);
    let again = open(&run.files).unwrap_or_else(|error| panic!("{context}: {error}"));
    assert_eq!(
        again.recovered.entries.last(),
        Some(&entry(next, 9)),
        "{context}"
    );
}

// Guards against a clean restart that changes the state, and against old files that remain in the
// folder.
#[test]
fn a_clean_restart_recovers_the_same_state() {
    let files = FaultFiles::default();
    let mut opened = open(&files).expect("a fresh folder");
    let mut expected = RecoveredLog::default();
    for call in script() {
        run(&mut opened.store, &call).expect("no injected fault");
        expected = expected_after(&expected, &call);
    }
    let usage = opened.store.usage();
    drop(opened);
    let again = open(&files).expect("the store restarts");
    assert_eq!(again.recovered, expected);
    assert_eq!(again.report.torn_tail, None);
    insta::assert_debug_snapshot!((usage, files.names()), @r#"
    (
        StoreUsage {
            log_bytes: 694,
            snapshot_bytes: 825,
            segments: 1,
            syncs: 40,
        },
        [
            "identity",
            "log-00000000000000000006.seg",
            "snapshot-00000000000000000079.snap",
        ],
    )
    "#);
}

// Guards against loss of data that a restarted store has read and used. After a failed sync the
// pages are dropped but stay readable. The restarted process reads them, and its own sync succeeds
// without writing them; only rewriting the end of the log puts this data on disk.
#[test]
fn data_read_after_a_failed_sync_survives_a_power_loss() {
    let mut step = 0;
    while let Some(run) = interrupt(step, Fault::Error(ErrorKind::Other)) {
        let context = format!("step {step}");
        let mut opened = open(&run.files).unwrap_or_else(|error| panic!("{context}: {error}"));
        let batch = PersistBatch {
            hard: Some(HardState {
                term: Term(50),
                voted_for: None,
            }),
            ..PersistBatch::default()
        };
        let hard = batch.hard.clone().expect("just set");
        opened
            .store
            .persist(&batch)
            .unwrap_or_else(|error| panic!("{context}: {error}"));
        drop(opened.store);
        run.files.restore_power(step);
        let again = open(&run.files).unwrap_or_else(|error| panic!("{context}: {error}"));
        let expected = RecoveredLog {
            hard,
            ..opened.recovered
        };
        assert_eq!(again.recovered, expected, "{context}");
        step += 1;
    }
}
