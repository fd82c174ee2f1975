//! Whose folder it is, and which life of its disk.

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

fn filled() -> FaultFiles {
    let files = FaultFiles::default();
    let mut opened = open(&files).expect("fresh folder");
    opened.store.join_group(group()).expect("no fault");
    run(&mut opened.store, &script()[0]).expect("no fault");
    files
}

/// The operator sees: two daemons on one folder can't both start.
#[test]
fn a_second_process_is_refused() {
    let files = filled();
    let first = open(&files).expect("free");
    insta::assert_snapshot!(open(&files).err().expect("locked"), @"data: in use by another process: stop it, or name another data folder");
    drop(first);
    open(&files).expect("free again");
}

/// The operator sees: a folder mounted on the wrong host is refused.
#[test]
fn a_folder_of_another_host_is_refused() {
    let files = filled();
    insta::assert_snapshot!(open_as(&files, "h2", 9).err().expect("refused"), @"data: belongs to host h1, not h2: name this host's own data folder, or empty it: the keeper joins as a learner");
}

/// The operator sees: a folder restored from a backup is refused.
/// The copy holds an old vote and a short log; a keeper that voted by it could elect a leader that
/// lacks accepted entries. The identity file knows its own inode and creation time.
#[test]
fn a_copied_folder_is_refused() {
    let error = open(&filled().copy()).err().expect("refused");
    assert!(matches!(error, StoreError::Copied { .. }), "{error}");
}

/// The operator sees: an emptied folder comes back as another keeper that belongs to no group.
/// It can't know its old votes, so nothing may take it for its former self.
#[test]
fn an_emptied_folder_has_another_incarnation() {
    let before = open(&filled()).expect("free").store.identity().clone();
    let opened = open_as(&FaultFiles::default(), "h1", 1_001).expect("fresh");
    let after = opened.store.identity();
    assert!(opened.report.fresh);
    assert_ne!(before.incarnation, after.incarnation);
    assert_eq!((before.group, &after.group), (Some(group()), &None));
}

/// The operator sees: a folder that lost its log, but not its identity, is another keeper too,
/// also when the wall clock has gone back.
#[test]
fn an_emptied_log_has_a_higher_incarnation() {
    let files = filled();
    for name in files.names().iter().filter(|name| name.starts_with("log-")) {
        files.remove(name).expect("it exists");
    }
    let opened = open_as(&files, "h1", 3).expect("fresh");
    assert_eq!(opened.store.identity().incarnation, Incarnation(1_001));
    assert_eq!(opened.store.identity().group, None);
}

/// Peers see: a disk image from before the last sync has a lower mark than they were told.
/// Inodes are the same in an image, so only what others remember gives it away.
#[test]
fn an_old_image_has_a_lower_mark() {
    let files = filled();
    let image = files.image();
    let mut opened = open(&files).expect("free");
    let told = run(&mut opened.store, &script()[1]).expect("no fault");
    let restored = open(&image).expect("an image passes for the folder").store;
    assert!(restored.mark() < told);
    assert_eq!(restored.usage().segments, 1);
}

/// The operator sees: a fresh folder on a host whose clock went back still gets an incarnation that
/// the group takes for a new one; a keeper that has voted never changes its own.
#[test]
fn only_a_keeper_without_a_group_raises_its_incarnation() {
    let files = FaultFiles::default();
    let mut store = open_as(&files, "h1", 3).expect("fresh").store;
    store.raise_incarnation(Incarnation(70)).expect("no fault");
    store.raise_incarnation(Incarnation(9)).expect("no fault");
    assert_eq!(store.identity().incarnation, Incarnation(71));
    store.join_group(group()).expect("no fault");
    store.raise_incarnation(Incarnation(90)).expect("no fault");
    drop(store);
    let identity = open(&files).expect("free").store.identity().clone();
    assert_eq!((identity.incarnation, identity.opens), (Incarnation(71), 2));
}
