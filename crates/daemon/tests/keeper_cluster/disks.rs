//! Keepers that start on an emptied, copied or outdated disk.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use pollendrift::clock::TimeSource;
use pollendrift::keeper::{KeeperError, KeeperStatus};
use pollendrift_coordination::base::{MonotonicTime, WallTime};
use pollendrift_store::StoreError;

use crate::cluster::{Cluster, others, settings};

/// Content of one file.
struct SavedFile {
    name: String,
    content: Vec<u8>,
}

fn save_folder(folder: &Path) -> Vec<SavedFile> {
    let files = fs::read_dir(folder).expect("a folder");
    let read = |entry: fs::DirEntry| SavedFile {
        name: entry.file_name().to_string_lossy().into_owned(),
        content: fs::read(entry.path()).expect("a file"),
    };
    files.map(|entry| read(entry.expect("a file"))).collect()
}

/// Clock with a wall time at the epoch, as on a host without a battery.
struct EpochClock(Arc<dyn TimeSource>);

impl TimeSource for EpochClock {
    fn now(&self) -> MonotonicTime {
        self.0.now()
    }

    fn wall(&self) -> WallTime {
        WallTime(1)
    }
}

/// Guards against lost entries after a keeper's disk was emptied: its earlier votes and entries are
/// lost, so its former incarnation must leave the membership. The keeper must return by itself as a
/// learner with a new incarnation and become a voter, after which a second host may fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn emptied_keeper_rejoins_as_learner_and_group_survives_second_loss() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    let [emptied, second] = others(leader);
    let former = cluster
        .wait_for(emptied, "its own name", |status| status.keeper.is_some())
        .await;
    cluster.crash(emptied).await;
    cluster.submit_until_accepted(leader, "2").await;
    cluster
        .folders
        .insert(emptied, tempfile::tempdir().expect("a folder"));
    cluster.restart(emptied).await;
    let returned = cluster
        .wait_for(emptied, "a vote", KeeperStatus::is_voter)
        .await;
    assert_ne!(returned.keeper, former.keeper);
    let former = former.keeper.expect("known");
    let removed = |status: &KeeperStatus| !status.membership.contains(&former);
    cluster
        .wait_for(emptied, "the removal of the former incarnation", removed)
        .await;
    let leader = cluster.leader().await;
    let complete = |status: &KeeperStatus| {
        status
            .redundancy
            .as_ref()
            .is_some_and(|report| report.is_complete())
    };
    cluster
        .wait_for(leader, "complete redundancy", complete)
        .await;
    cluster.crash(second).await;
    cluster.submit_until_accepted(emptied, "3").await;
    cluster.assert_lists(&["1", "2", "3"]).await;
}

/// Guards against a keeper that can't rejoin after its disk was emptied and its clock was set back:
/// its new incarnation is then lower than its former one, which the group treats as outdated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn emptied_keeper_rejoins_after_its_clock_was_set_back() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let former = cluster
        .wait_for("c", "a vote", KeeperStatus::is_voter)
        .await;
    cluster.crash("c").await;
    cluster
        .folders
        .insert("c", tempfile::tempdir().expect("a folder"));
    cluster.clock = Arc::new(EpochClock(cluster.clock.clone()));
    cluster.restart("c").await;
    let returned = cluster
        .wait_for("c", "a vote", KeeperStatus::is_voter)
        .await;
    assert!(returned.keeper > former.keeper, "{:?}", returned.keeper);
    cluster.submit_until_accepted("c", "2").await;
    cluster.assert_lists(&["1", "2"]).await;
}

/// Guards against two keepers with the same identity: a folder restored from a backup or a copy has
/// other inodes, and the start must refuse it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn folder_restored_from_a_backup_is_refused() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    cluster.crash("c").await;
    let restored = tempfile::tempdir().expect("a folder");
    for file in save_folder(cluster.folders["c"].path()) {
        fs::write(restored.path().join(file.name), file.content).expect("a writable folder");
    }
    cluster.folders.insert("c", restored);
    let refused = cluster.try_start("c").await;
    assert!(
        matches!(refused, Err(KeeperError::Store(StoreError::Copied { .. }))),
        "{refused:?}"
    );
}

/// Guards against lost entries after a disk is reset to an old image in place: the inodes are the
/// same, so the start accepts the folder, but the disk lacks entries that this keeper acknowledged.
/// Its vote could elect a leader without them, so the records of the other keepers must stop it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_disk_image_is_detected_by_the_other_keepers() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    let [victim, other] = others(leader);
    let saved_commit = cluster
        .wait_for(victim, "a vote", KeeperStatus::is_voter)
        .await
        .commit;
    let image = save_folder(cluster.folders[victim].path());
    // The disk of the victim can contain entries that it has not acknowledged yet, whose loss the
    // others can't detect. Without the third keeper, both commands need its acknowledgement.
    cluster.crash(other).await;
    for text in ["2", "3"] {
        cluster.submit_until_accepted(leader, text).await;
    }
    cluster.restart(other).await;
    cluster
        .wait_for(victim, "the entries", |status| {
            status.commit.0 >= saved_commit.0 + 2
        })
        .await;
    cluster
        .wait_for(other, "the entries", |status| {
            status.commit.0 >= saved_commit.0 + 2
        })
        .await;
    cluster.crash(victim).await;
    for file in image {
        // Overwrites the files in place, so that their inodes stay the same.
        fs::write(cluster.folders[victim].path().join(file.name), file.content)
            .expect("a writable folder");
    }
    cluster.restart(victim).await;
    let stopped = cluster
        .wait_for(victim, "a stop", |status| status.stopped.is_some())
        .await;
    let reason = stopped.stopped.expect("just seen");
    assert!(reason.contains("disk is older"), "{reason}");
    cluster.crash(victim).await;
    cluster
        .folders
        .insert(victim, tempfile::tempdir().expect("a folder"));
    cluster.restart(victim).await;
    cluster
        .wait_for(victim, "a vote", KeeperStatus::is_voter)
        .await;
    cluster.assert_lists(&["1", "2", "3"]).await;
}
