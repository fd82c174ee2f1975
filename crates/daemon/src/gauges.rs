//! Updates the gauges of the metrics from the tables of the daemon.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::agreement::KeeperRole;
use pollendrift_http::BodyMemory;

use crate::clock::TimeSource;
use crate::fleet::BackendFleet;
use crate::node::ClusterNode;
use crate::peers::FrameCount;
use crate::relay::{ExportedAdmission, RelayContext};
use crate::telemetry::{MetricRegistry, RecorderSlot};
use crate::work::WorkCount;

/// Time between two updates of the gauges.
const PERIOD: Duration = Duration::from_secs(1);

/// Tables that the gauges are read from.
pub struct GaugeSources {
    /// Backend servers and their leases.
    pub fleet: Arc<BackendFleet>,
    /// Configuration, claims and the keeper.
    pub node: Arc<ClusterNode>,
    /// Admission of drafts; `None` if the relay is disabled.
    pub(crate) relay: Option<Arc<RelayContext>>,
    /// Buffered evidence.
    pub recorder: Arc<RecorderSlot>,
    /// Source of the current time.
    pub clock: Arc<dyn TimeSource>,
    /// Memory of bodies, by their kind.
    pub bodies: [(&'static str, BodyMemory); 2],
}

/// Updates the gauges every second for as long as the daemon runs.
pub async fn run_gauges(sources: GaugeSources, metrics: Arc<MetricRegistry>) {
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut counted = BTreeMap::new();
    let mut worked = BTreeMap::new();
    let mut displaced = BTreeMap::new();
    let mut exported = ExportedAdmission::default();
    loop {
        ticks.tick().await;
        update(&sources, &metrics);
        count_frames(&sources, &metrics, &mut counted);
        count_work(&sources, &metrics, &mut worked);
        count_displaced_bodies(&sources, &metrics, &mut displaced);
        sources.node.refusals().expire(sources.clock.now());
        if let Some(relay) = &sources.relay {
            relay.export_admission(sources.clock.now(), &mut exported);
        }
    }
}

fn update(sources: &GaugeSources, metrics: &MetricRegistry) {
    let now = sources.clock.now();
    let serving = sources.fleet.serving(now).len();
    metrics.set_backend_servers(count(serving));
    metrics.set_backed_off_servers(count(sources.fleet.back_offs().count(now)));
    metrics.set_rate_limited_servers(count(sources.fleet.rates().limited_count()));
    let (revision, lease) = sources.node.feed().lease();
    metrics.set_configuration(revision, lease);
    let keeper = sources.node.keeper_status();
    metrics.set_keeper_leader(keeper.is_some_and(|status| status.role == KeeperRole::Leader));
    if let Some(recorder) = sources.recorder.get() {
        metrics.set_evidence(&recorder.status());
    }
    if let Some(shared) = sources.node.shared() {
        metrics.set_claims(count(shared.read(|state| state.claims().record_count())));
    }
}

/// Adds the frames since the last call, which `counted` has, to the counters.
fn count_frames(
    sources: &GaugeSources,
    metrics: &MetricRegistry,
    counted: &mut BTreeMap<&'static str, FrameCount>,
) {
    for (kind, sent) in sources.node.hub().sent_frames() {
        let before = counted.insert(kind, sent).unwrap_or_default();
        let added = FrameCount {
            frames: sent.frames - before.frames,
            bytes: sent.bytes - before.bytes,
        };
        metrics.add_peer_frames(kind, added);
    }
}

/// Adds the work since the last call, which `counted` has, to the counters.
fn count_work(
    sources: &GaugeSources,
    metrics: &MetricRegistry,
    counted: &mut BTreeMap<&'static str, WorkCount>,
) {
    for (kind, done) in sources.node.hub().work().counts() {
        let before = counted.insert(kind, done).unwrap_or_default();
        let added = WorkCount {
            steps: done.steps - before.steps,
            time: done.time.saturating_sub(before.time),
            dropped: done.dropped - before.dropped,
        };
        metrics.add_work(kind, added);
    }
}

/// Adds the bodies that found no memory or lost it since the last call to the counters, and logs them.
fn count_displaced_bodies(
    sources: &GaugeSources,
    metrics: &MetricRegistry,
    counted: &mut BTreeMap<&'static str, u64>,
) {
    for (kind, memory) in &sources.bodies {
        let displaced = memory.refused_bodies();
        let before = counted.insert(kind, displaced).unwrap_or_default();
        if displaced == before {
            continue;
        }
        metrics.add_displaced_bodies(kind, displaced - before);
        log::warn!(kind = *kind, bodies = displaced - before, used_bytes = memory.used_bytes(); "bodies found no memory or lost it to others");
    }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
