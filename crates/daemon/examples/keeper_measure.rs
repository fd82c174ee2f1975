//! Measures three keepers in one process, over loopback links with real data folders.
//!
//! Prints the accepted commands per second with 1, 8 and 64 submitters at the leader, and the time
//! from a crash of the leader to the next accepted command, beside the election timeout.
//! Run with `cargo run --release -p pollendrift --example keeper_measure`.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a measurement without a running group must fail"
)]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use pollendrift::keeper::{
    ClientSettings, KeeperClient, KeeperHandle, KeeperSettings, KeeperStatus, RetryPermission,
};
use pollendrift_coordination::agreement::AgreementSettings;

use crate::cluster::{Cluster, KEEPERS, NoFrames, keepers, others};

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/keeper_cluster/cluster.rs"]
mod cluster;
#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/keeper_cluster/failing.rs"]
mod failing;

const SUBMITTERS: [usize; 3] = [1, 8, 64];
const LOAD_TIME: Duration = Duration::from_secs(3);
const ROUNDS: usize = 25;
const COMMAND_BYTES: usize = 256;

/// Measured times in ascending order.
struct SortedTimes {
    times: Vec<Duration>,
}

impl SortedTimes {
    fn new(mut times: Vec<Duration>) -> Self {
        times.sort();
        Self { times }
    }

    fn at(&self, share: f64) -> Duration {
        let last = self.times.len().saturating_sub(1);
        let position = (last as f64 * share).round() as usize;
        self.times.get(position).copied().unwrap_or_default()
    }

    fn print(&self, what: &str) {
        println!(
            "{what}: p50 {:.2?}, p99 {:.2?}, max {:.2?} of {}",
            self.at(0.5),
            self.at(0.99),
            self.at(1.0),
            self.times.len()
        );
    }
}

#[tokio::main]
async fn main() {
    let settings = KeeperSettings {
        agreement: AgreementSettings::default(),
        join_pause: Duration::from_millis(20),
        ..KeeperSettings::default()
    };
    let heartbeat = settings.agreement.heartbeat_interval;
    let election = settings.agreement.election_timeout;
    let mut cluster = Cluster::start(settings).await;
    cluster.submit_until_accepted("a", "first").await;
    for submitters in SUBMITTERS {
        measure_load(&cluster, submitters).await;
    }
    println!("heartbeat {heartbeat:?}, election timeout {election:?} to twice that");
    measure_losses(&mut cluster).await;
}

async fn measure_load(cluster: &Cluster, submitters: usize) {
    let leader = cluster.leader().await;
    let handle = cluster.running[leader].keeper.handle().clone();
    let syncs_before = handle.status().usage.syncs;
    let failed = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let tasks: Vec<_> = (0..submitters)
        .map(|_| {
            tokio::spawn(submit_until(
                handle.clone(),
                start + LOAD_TIME,
                failed.clone(),
            ))
        })
        .collect();
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await.expect("no panic"));
    }
    let elapsed = start.elapsed();
    let syncs = handle.status().usage.syncs - syncs_before;
    let rate = times.len() as f64 / elapsed.as_secs_f64();
    let accepted = times.len();
    let failed = failed.load(Ordering::Relaxed);
    println!(
        "{submitters} submitters: {rate:.0} accepted/s, {failed} failed, \
         {:.1} commands a sync of the leader",
        accepted as f64 / syncs.max(1) as f64
    );
    SortedTimes::new(times).print("  time to accept");
}

async fn submit_until(handle: KeeperHandle, end: Instant, failed: Arc<AtomicU64>) -> Vec<Duration> {
    let mut times = Vec::new();
    while Instant::now() < end {
        let start = Instant::now();
        match handle.submit(vec![b'x'; COMMAND_BYTES]).await {
            Ok(_) => times.push(start.elapsed()),
            Err(_) => {
                failed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    times
}

/// Kills and restarts the leader in each round, while a host without a keeper submits commands.
async fn measure_losses(cluster: &mut Cluster) {
    let peers = cluster.dialer.link("d", Arc::new(NoFrames)).await;
    let settings = ClientSettings::default();
    let client = KeeperClient::new(peers.hub().clone(), keepers().into(), None, settings);
    let mut accepted = Vec::new();
    let mut caught_up = Vec::new();
    for round in 0..ROUNDS {
        let before = client.submit(b"before".to_vec(), RetryPermission::Idempotent);
        before.await.expect("a complete group accepts");
        let leader = cluster.leader().await;
        let start = Instant::now();
        cluster.crash(leader).await;
        let command = format!("after loss {round}").into_bytes();
        let submitting = client.submit(command, RetryPermission::Idempotent);
        submitting.await.expect("two of three accept");
        accepted.push(start.elapsed());
        caught_up.push(measure_restart(cluster, leader).await);
    }
    SortedTimes::new(accepted).print("leader's death to the next accepted command");
    SortedTimes::new(caught_up).print("restart to caught up");
}

async fn measure_restart(cluster: &mut Cluster, name: &'static str) -> Duration {
    let [other, _] = others(name);
    let commit = cluster.running[other].keeper.handle().status().commit;
    let start = Instant::now();
    cluster.restart(name).await;
    let has_caught_up = |status: &KeeperStatus| status.is_voter() && status.applied >= commit;
    cluster.wait_for(name, "the log", has_caught_up).await;
    let elapsed = start.elapsed();
    for keeper in KEEPERS {
        let knows_leader = |status: &KeeperStatus| status.leader.is_some();
        cluster.wait_for(keeper, "a leader", knows_leader).await;
    }
    elapsed
}
