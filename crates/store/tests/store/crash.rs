//! Power loss and disk errors at every write and every sync.

use std::io::ErrorKind;

use pollendrift_coordination::agreement::{HardState, Term};
use pollendrift_store::{LogStore, PersistBatch, RecoveredLog, StoreError};

use crate::fault_files::{Fault, FaultFiles};
use crate::workload::{entry, expect, open, run, script};

const SEEDS: [u64; 4] = [1, 20, 300, 4_000];

/// What a run with a fault left behind.
struct Interrupted {
    files: FaultFiles,
    answered: RecoveredLog,
    /// What the failed call would have made.
    attempted: RecoveredLog,
    /// Error of the failed call and of the one after it.
    errors: Vec<StoreError>,
}

/// Plays the script up to the fault; `None` if the fault lies behind its end.
fn interrupt(step: u64, fault: Fault) -> Option<Interrupted> {
    let files = FaultFiles::default();
    files.fail_after(step, fault);
    let mut answered = RecoveredLog::default();
    let mut opened = match open(&files) {
        Ok(opened) => opened,
        Err(error) => {
            let attempted = answered.clone();
            return Some(Interrupted {
                files,
                answered,
                attempted,
                errors: vec![error],
            });
        }
    };
    for call in script() {
        let attempted = expect(&answered, &call);
        let Err(error) = run(&mut opened.store, &call) else {
            answered = attempted;
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
            answered,
            attempted,
            errors: vec![error, refused],
        });
    }
    None
}

/// The caller sees: what was answered is there after the restart, whole and in order.
/// Power is lost at each write, sync, rename and removal in turn; of what was not yet synced, any
/// part survives, with holes. Recovery gives the answered state or that of the call in flight:
/// one frame is one sync, so nothing in between can be read.
#[test]
fn power_loss_at_every_step_loses_nothing_answered() {
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

/// The caller sees: a second power loss, in the middle of the recovery from the first, changes
/// nothing. Recovery only cuts, removes and syncs what a first recovery would handle the same way.
#[test]
fn power_loss_during_recovery_loses_nothing_answered() {
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

/// The caller sees: an error at the failed call, and a refusal for every call after it.
/// A disk that is full or fails once at each step stops the store; the failed sync is not tried
/// again, as the pages may be gone. After the restart what was answered is there.
#[test]
fn a_disk_error_at_every_step_stops_the_store() {
    for kind in [ErrorKind::StorageFull, ErrorKind::Other] {
        let mut step = 0;
        while let Some(run) = interrupt(step, Fault::Error(kind)) {
            let place = format!("step {step} {kind:?}");
            let full = matches!(run.errors[0], StoreError::DiskFull { .. });
            assert_eq!(
                full,
                kind == ErrorKind::StorageFull,
                "{place}: {}",
                run.errors[0]
            );
            if let Some(refused) = run.errors.get(1) {
                assert!(
                    matches!(refused, StoreError::Stopped { .. }),
                    "{place}: {refused}"
                );
            }
            run.files.restore_power(step);
            check_recovery(&run, &place);
            step += 1;
        }
    }
}

fn check_recovery(run: &Interrupted, place: &str) {
    run.files.heal();
    let opened = open(&run.files).unwrap_or_else(|error| panic!("{place}: {error}"));
    let found = &opened.recovered;
    assert!(
        *found == run.answered || *found == run.attempted,
        "{place}: read {found:#?}, answered {:#?}",
        run.answered
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
        .unwrap_or_else(|error| panic!("{place}: {error}"));
    drop(store);
    let again = open(&run.files).unwrap_or_else(|error| panic!("{place}: {error}"));
    assert_eq!(
        again.recovered.entries.last(),
        Some(&entry(next, 9)),
        "{place}"
    );
}

/// The caller sees: the script's end state after a plain restart, and a bounded folder.
#[test]
fn a_whole_run_reads_back_the_same() {
    let files = FaultFiles::default();
    let mut opened = open(&files).expect("fresh folder");
    let mut expected = RecoveredLog::default();
    for call in script() {
        run(&mut opened.store, &call).expect("no fault");
        expected = expect(&expected, &call);
    }
    let usage = opened.store.usage();
    drop(opened);
    let again = open(&files).expect("restart");
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

/// The caller sees: what a restarted store has read and answered from stays, through a power loss.
/// A sync fails, so the pages are dropped but stay readable; the process is started again, reads
/// them, and syncs: that sync succeeds and writes nothing. Only writing the end of the log anew
/// puts on disk what was read.
#[test]
fn what_is_read_after_a_failed_sync_survives_a_power_loss() {
    let mut step = 0;
    while let Some(run) = interrupt(step, Fault::Error(ErrorKind::Other)) {
        let place = format!("step {step}");
        let mut opened = open(&run.files).unwrap_or_else(|error| panic!("{place}: {error}"));
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
            .unwrap_or_else(|error| panic!("{place}: {error}"));
        drop(opened.store);
        run.files.restore_power(step);
        let again = open(&run.files).unwrap_or_else(|error| panic!("{place}: {error}"));
        let expected = RecoveredLog {
            hard,
            ..opened.recovered
        };
        assert_eq!(again.recovered, expected, "{place}");
        step += 1;
    }
}
