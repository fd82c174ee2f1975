//! Damage that a crash can't cause: the keeper stops and says where.

use pollendrift_store::{LogStore, StoreError};

use crate::fault_files::FaultFiles;
use crate::workload::{open, run, script};

/// A folder with snapshots and several segments, after a plain stop.
fn filled() -> FaultFiles {
    let files = FaultFiles::default();
    let mut opened = open(&files).expect("fresh folder");
    for call in script().iter().take(7) {
        run(&mut opened.store, call).expect("no fault");
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
        .expect("a log")
}

/// The operator sees: the keeper doesn't start and names file and offset.
/// One bit of any synced file flips; also in the last frame, where a crash could have left a part
/// but never a wrong bit. Taking it for a torn tail would drop an answered entry in silence.
#[test]
fn one_flipped_bit_anywhere_stops_the_keeper() {
    let files = filled();
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
    open(&files).expect("undamaged again");
}

/// The operator sees: the keeper doesn't start and names the missing file.
/// Any one file vanishes; the seal of the segment before it gives the last segment away.
#[test]
fn any_missing_file_stops_the_keeper() {
    let files = filled();
    let mut errors = Vec::new();
    for name in files.names() {
        let damaged = files.image();
        pollendrift_store::FileSystem::remove(&damaged, &name).expect("it exists");
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

/// The operator sees: a report of the cut, and the entries before it.
/// The last frame ends early at each byte, as after a crash during its write.
#[test]
fn a_torn_tail_is_cut_at_every_length_and_reported() {
    let files = filled();
    let name = last_segment(&files);
    let whole = open(&files).expect("undamaged");
    let entries = whole.recovered.entries.len();
    let frames = whole.report.frames;
    drop(whole);
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
            assert_eq!(open(&torn).expect("cut").report.torn_tail, None);
        }
    }
    assert!(cuts > 100, "only {cuts} cuts of the last frame");
}

/// The operator sees: a torn segment that isn't the last is damage, not a tail.
/// Were it cut, all later segments would be history without a middle.
#[test]
fn a_cut_segment_before_the_last_stops_the_keeper() {
    let files = filled();
    let names: Vec<String> = files
        .names()
        .into_iter()
        .filter(|name| name.starts_with("log-"))
        .collect();
    let (_, earlier) = names.split_last().expect("a log");
    for name in earlier {
        for cut in 0..length(&files, name) {
            let damaged = files.image();
            damaged.edit(name, |bytes| bytes.truncate(cut));
            let error = open(&damaged).err();
            let stopped = matches!(error, Some(StoreError::Damaged { .. }));
            assert!(stopped, "{name} cut to {cut}: {error:?}");
        }
    }
}
