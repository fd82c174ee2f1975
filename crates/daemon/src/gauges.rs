//! Reads the tables of the daemon for the gauges of its metrics.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::agreement::KeeperRole;

use crate::clock::TimeSource;
use crate::fleet::BackendFleet;
use crate::node::ClusterNode;
use crate::telemetry::{MetricRegistry, RecorderSlot};

/// Time between two readings.
const PERIOD: Duration = Duration::from_secs(1);

/// What is read.
pub struct GaugeSources {
    /// Backend servers.
    pub fleet: Arc<BackendFleet>,
    /// Configuration, claims and the keeper.
    pub node: Arc<ClusterNode>,
    /// Evidence that waits.
    pub recorder: Arc<RecorderSlot>,
    /// The present time.
    pub clock: Arc<dyn TimeSource>,
}

/// Reads the tables every second for as long as the daemon runs.
pub async fn run_gauges(tables: GaugeSources, metrics: Arc<MetricRegistry>) {
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        read(&tables, &metrics);
    }
}

fn read(tables: &GaugeSources, metrics: &MetricRegistry) {
    let serving = tables.fleet.serving(tables.clock.now()).len();
    metrics.backend_servers(count(serving));
    let (revision, lease) = tables.node.feed().lease();
    metrics.configuration(revision, lease);
    let keeper = tables.node.keeper_status();
    metrics.keeper_leads(keeper.is_some_and(|status| status.role == KeeperRole::Leader));
    if let Some(recorder) = tables.recorder.get() {
        metrics.evidence(&recorder.status());
    }
    if let Some(shared) = tables.node.shared() {
        metrics.claims(count(shared.read(|state| state.claims().held())));
    }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
