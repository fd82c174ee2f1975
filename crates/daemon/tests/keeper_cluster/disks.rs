//! Disks that come back empty, copied or old.

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

/// A clock whose wall time is that of a host without a battery: the start of the epoch.
struct EpochClock(Arc<dyn TimeSource>);

impl TimeSource for EpochClock {
    fn now(&self) -> MonotonicTime {
        self.0.now()
    }

    fn wall(&self) -> WallTime {
        WallTime(1)
    }
}

/// The operator sees: a keeper whose disk was emptied comes back by itself under a new incarnation,
/// learns, and votes; then redundancy is whole and a second host can be lost at once. Its old votes
/// are forgotten, so its former self must never count again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_emptied_disk_returns_as_a_learner_and_a_second_loss_is_borne() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    let [emptied, second] = others(leader);
    let former = cluster
        .wait_for(emptied, "its own name", |status| status.keeper.is_some())
        .await;
    cluster.kill(emptied).await;
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
    let gone = |status: &KeeperStatus| !status.membership.contains(&former);
    cluster
        .wait_for(emptied, "the former self's removal", gone)
        .await;
    let leader = cluster.leader().await;
    let whole = |status: &KeeperStatus| {
        status
            .redundancy
            .as_ref()
            .is_some_and(|report| report.is_complete())
    };
    cluster.wait_for(leader, "whole redundancy", whole).await;
    cluster.kill(second).await;
    cluster.submit_until_accepted(emptied, "3").await;
    cluster.assert_lists(&["1", "2", "3"]).await;
}

/// The operator sees: an emptied disk on a host whose clock went back still returns. Its first
/// incarnation is lower than its former one, and the group would take it for the past.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_emptied_disk_returns_although_its_clock_went_back() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let former = cluster
        .wait_for("c", "a vote", KeeperStatus::is_voter)
        .await;
    cluster.kill("c").await;
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

/// The operator sees: a folder restored from a backup is refused at the start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_folder_restored_from_a_backup_is_refused() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    cluster.kill("c").await;
    let restored = tempfile::tempdir().expect("a folder");
    for file in save_folder(cluster.folders["c"].path()) {
        fs::write(restored.path().join(file.name), file.content).expect("room");
    }
    cluster.folders.insert("c", restored);
    let refused = cluster.try_start("c").await;
    assert!(
        matches!(refused, Err(KeeperError::Store(StoreError::Copied { .. }))),
        "{refused:?}"
    );
}

/// The operator sees: a keeper on an old image of its disk stops and says so, and nothing accepted
/// is lost. The image keeps its inodes, so the folder passes; but the others remember what this
/// keeper has acknowledged, and its disk ends before that. With its vote a leader without those
/// entries could be elected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_old_image_of_a_disk_is_noticed_by_the_others() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    let [victim, _] = others(leader);
    let held = cluster
        .wait_for(victim, "a vote", KeeperStatus::is_voter)
        .await
        .commit;
    let image = save_folder(cluster.folders[victim].path());
    for text in ["2", "3"] {
        cluster.submit_until_accepted(leader, text).await;
    }
    cluster
        .wait_for(victim, "the entries", |status| {
            status.commit.0 >= held.0 + 2
        })
        .await;
    // The victim can hold entries that it has not acknowledged; what nobody was told of, nobody
    // can miss. The leader counts every voter only once each has acknowledged all.
    cluster
        .wait_for(leader, "every acknowledgement", |status| {
            let redundancy = status.redundancy.as_ref();
            redundancy.is_some_and(|report| report.is_complete())
        })
        .await;
    cluster.kill(victim).await;
    for file in image {
        // In place, so that the inodes stay.
        fs::write(cluster.folders[victim].path().join(file.name), file.content).expect("room");
    }
    cluster.restart(victim).await;
    let stopped = cluster
        .wait_for(victim, "a stop", |status| status.stopped.is_some())
        .await;
    let reason = stopped.stopped.expect("just seen");
    assert!(reason.contains("disk is older"), "{reason}");
    cluster.kill(victim).await;
    cluster
        .folders
        .insert(victim, tempfile::tempdir().expect("a folder"));
    cluster.restart(victim).await;
    cluster
        .wait_for(victim, "a vote", KeeperStatus::is_voter)
        .await;
    cluster.assert_lists(&["1", "2", "3"]).await;
}
