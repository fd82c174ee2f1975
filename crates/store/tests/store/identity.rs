//! Identity of a data folder: lock, host, incarnation and copies.

use pollendrift_coordination::agreement::Membership;
use pollendrift_coordination::base::Incarnation;
use pollendrift_store::{FileSystem, GroupId, JoinedGroup, LogStore, StoreError};

use crate::fault_files::FaultFiles;
use crate::workload::{open, open_as, run, script};

fn group() -> JoinedGroup {
    JoinedGroup {
        id: GroupId(5),
        founding: Membership::default(),
    }
}

fn filled_files() -> FaultFiles {
    let files = FaultFiles::default();
    let mut opened = open(&files).expect("a fresh folder");
    opened.store.join_group(group()).expect("no injected fault");
    run(&mut opened.store, &script()[0]).expect("no injected fault");
    files
}

// Guards against two daemons that write to one folder. The second start finds the folder locked.
#[test]
fn a_second_process_is_refused() {
    let files = filled_files();
    let first = open(&files).expect("the folder is unlocked");
    insta::assert_snapshot!(open(&files).err().expect("the folder is locked"), @"data: in use by another process: stop it, or name another data folder");
    drop(first);
    open(&files).expect("the folder is unlocked again");
}

// Guards against a keeper that runs on the folder of another host, for example one mounted on the
// wrong host.
#[test]
fn a_folder_of_another_host_is_refused() {
    let files = filled_files();
    insta::assert_snapshot!(open_as(&files, "h2", 9).err().expect("the start is refused"), @"data: belongs to host h1, not h2: name this host's own data folder, or empty it: the keeper joins as a learner");
}

// Guards against a keeper that votes from a folder restored from a backup. The copy contains an old
// vote and a short log, so its vote could elect a leader that lacks accepted entries. The identity
// file stores its own inode and creation time, which differ in a copy.
#[test]
fn a_copied_folder_is_refused() {
    let error = open(&filled_files().copy())
        .err()
        .expect("the start is refused");
    assert!(matches!(error, StoreError::Copied { .. }), "{error}");
}

// Guards against an emptied folder that continues as its former incarnation. It has lost its votes,
// so it must become a new keeper that belongs to no group.
#[test]
fn an_emptied_folder_has_another_incarnation() {
    let before = open(&filled_files())
        .expect("the folder is unlocked")
        .store
        .identity()
        .clone();
    let opened = open_as(&FaultFiles::default(), "h1", 1_001).expect("a fresh folder");
    let after = opened.store.identity();
    assert!(opened.report.fresh);
    assert_ne!(before.incarnation, after.incarnation);
    assert_eq!((before.group, &after.group), (Some(group()), &None));
}

// Guards against a folder without its log that continues as its former incarnation. The identity
// file still exists, and the wall clock has gone back.
#[test]
fn an_emptied_log_has_a_higher_incarnation() {
    let files = filled_files();
    for name in files.names().iter().filter(|name| name.starts_with("log-")) {
        files.remove(name).expect("the file exists");
    }
    let opened = open_as(&files, "h1", 3).expect("a fresh folder");
    assert_eq!(opened.store.identity().incarnation, Incarnation(1_001));
    assert_eq!(opened.store.identity().group, None);
}

// Guards against an old disk image that peers can't detect. Inodes are the same in an image, so
// only a mark lower than the one that the keeper reported to its peers shows it.
#[test]
fn an_old_image_has_a_lower_mark() {
    let files = filled_files();
    let image = files.image();
    let mut opened = open(&files).expect("the folder is unlocked");
    let reported = run(&mut opened.store, &script()[1]).expect("no injected fault");
    let restored = open(&image)
        .expect("an image has the same fingerprint")
        .store;
    assert!(restored.mark() < reported);
    assert_eq!(restored.usage().segments, 1);
}

// Guards against a fresh folder whose incarnation the group considers old, after the clock of the
// host went back, and against a keeper that changes its incarnation after it joined a group and may
// have voted.
#[test]
fn only_a_keeper_without_a_group_raises_its_incarnation() {
    let files = FaultFiles::default();
    let mut store = open_as(&files, "h1", 3).expect("a fresh folder").store;
    store
        .raise_incarnation(Incarnation(70))
        .expect("no injected fault");
    store
        .raise_incarnation(Incarnation(9))
        .expect("no injected fault");
    assert_eq!(store.identity().incarnation, Incarnation(71));
    store.join_group(group()).expect("no injected fault");
    store
        .raise_incarnation(Incarnation(90))
        .expect("no injected fault");
    drop(store);
    let identity = open(&files)
        .expect("the folder is unlocked")
        .store
        .identity()
        .clone();
    assert_eq!((identity.incarnation, identity.opens), (Incarnation(71), 2));
}
