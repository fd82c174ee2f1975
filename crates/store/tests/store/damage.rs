//! Damage that a crash can't cause: the store refuses to open and names the location.

use pollendrift_store::{LogStore, StoreError};

use crate::fault_files::FaultFiles;
use crate::workload::{open, run, script};

/// A folder with a snapshot and several segments, after a clean stop.
fn filled_files() -> FaultFiles {
    let files = FaultFiles::default();
    let mut opened = open(&files).expect("a fresh folder");
    for call in script().iter().take(7) {
        run(&mut opened.store, call).expect("no injected fault");
    }
    assert!(opened.store.usage().segments >= 3);
    files
}

fn length(files: &FaultFiles, name: &str) -> usize {
    let mut length = 0;
    files.edit(name, |bytes| length = bytes.len());
    length
}

fn last_segment(files: &FaultFiles) -> String {
    let names = files.names();
    names
        .into_iter()
        .rfind(|name| name.starts_with("log-"))
        .expect("a log segment")
}

// Guards against silent loss of an acknowledged entry. One bit of a synced file flips, also in the
// last frame; a crash can truncate that frame but never flip a bit, so it must not count as a torn
// tail.
#[test]
fn one_flipped_bit_in_any_file_prevents_the_start() {
    let files = filled_files();
    for name in files.names() {
        for offset in 0..length(&files, &name) {
            let flip = |bytes: &mut Vec<u8>| bytes[offset] ^= 1 << (offset % 8);
            files.edit(&name, flip);
            assert!(
                open(&files).is_err(),
                "{name} opened with bit {offset} flipped"
            );
            files.edit(&name, flip);
        }
    }
    open(&files).expect("the damage is reverted");
}

// Guards against a start without one of the files. Each file is removed in turn; the sealing frame
// of the previous segment shows that the last segment is missing.
#[test]
fn any_missing_file_prevents_the_start() {
    let files = filled_files();
    let mut errors = Vec::new();
    for name in files.names() {
        let damaged = files.image();
        pollendrift_store::FileSystem::remove(&damaged, &name).expect("the file exists");
        let error = open(&damaged)
            .err()
            .map_or("opened".to_owned(), |error| error.to_string());
        errors.push(format!("{name}: {error}"));
    }
    insta::assert_debug_snapshot!(errors, @r#"
    [
        "identity: data/identity: missing, though the log refers to it: put it back, or empty the data folder: the keeper joins again as a learner",
        "log-00000000000000000002.seg: data/log-00000000000000000002.seg: missing, though data/log-00000000000000000003.seg refers to it: put it back, or empty the data folder: the keeper joins again as a learner",
        "log-00000000000000000003.seg: data/log-00000000000000000003.seg: missing, though data/log-00000000000000000004.seg refers to it: put it back, or empty the data folder: the keeper joins again as a learner",
        "log-00000000000000000004.seg: data/log-00000000000000000004.seg: missing, though data/log-00000000000000000003.seg refers to it: put it back, or empty the data folder: the keeper joins again as a learner",
        "snapshot-00000000000000000017.snap: data/log-00000000000000000001.seg: missing, though data/log-00000000000000000002.seg refers to it: put it back, or empty the data folder: the keeper joins again as a learner",
    ]
    "#);
}

// Guards against a start that fails, or loses earlier entries, after a crash during a write. The
// last frame is truncated at each byte; recovery removes it and reports the torn tail.
#[test]
fn a_torn_tail_of_any_length_is_removed_and_reported() {
    let files = filled_files();
    let name = last_segment(&files);
    let intact = open(&files).expect("the folder is undamaged");
    let entries = intact.recovered.entries.len();
    let frames = intact.report.frames;
    drop(intact);
    let full = length(&files, &name);
    let mut cuts = 0;
    for cut in (0..full).rev() {
        let torn = files.image();
        torn.edit(&name, |bytes| bytes.truncate(cut));
        let Ok(opened) = open(&torn) else {
            break;
        };
        if opened.report.frames + 1 < frames {
            break;
        }
        cuts += 1;
        assert!(opened.recovered.entries.len() < entries);
        if let Some(tail) = opened.report.torn_tail {
            assert_eq!(tail.offset + tail.bytes, cut as u64);
            drop(opened.store);
            assert_eq!(open(&torn).expect("recovered").report.torn_tail, None);
        }
    }
    assert!(cuts > 100, "only {cuts} cuts of the last frame");
}

// Guards against a log with a gap. A truncated segment before the last is damage; if recovery
// removed its end as a torn tail, the later segments would not continue it.
#[test]
fn a_truncated_segment_before_the_last_prevents_the_start() {
    let files = filled_files();
    let names: Vec<String> = files
        .names()
        .into_iter()
        .filter(|name| name.starts_with("log-"))
        .collect();
    let (_, earlier) = names.split_last().expect("a log segment");
    for name in earlier {
        for cut in 0..length(&files, name) {
            let damaged = files.image();
            damaged.edit(name, |bytes| bytes.truncate(cut));
            let error = open(&damaged).err();
            let is_damaged = matches!(error, Some(StoreError::Damaged { .. }));
            assert!(is_damaged, "{name} truncated to {cut}: {error:?}");
        }
    }
}
