//! Updates the chain table periodically from announced engines, published routes and surveys.

use std::sync::Arc;

use pollendrift_coordination::base::MonotonicTime;
use tokio::time::{MissedTickBehavior, interval};

use super::CHAIN_TICK;
use crate::fleet::WorkerView;
use crate::peers::PeerHub;
use crate::relay::context::RelayContext;

/// Updates the chain table, the load limits and the share of the retry budget every [`CHAIN_TICK`]
/// until the process ends.
pub(in crate::relay) async fn run_chains(context: Arc<RelayContext>, hub: PeerHub) {
    let mut ticks = interval(CHAIN_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = context.clock.now();
        context.loads().tick(now);
        let entries = hub
            .discovery()
            .and_then(|discovery| discovery.entry_count());
        if let Some(entries) = entries {
            context.set_budget_share(now, entries);
            context.fleet.rates().set_hosts(entries);
        }
        if let Some(hosts) = entries.or_else(|| listed_hosts(&hub)) {
            context.fleet.demand().set_hosts(hosts);
        }
        context.review_silent_servers();
        let Ok(table) = context.routes.current(now) else {
            continue;
        };
        let workers = context.fleet.workers(now);
        context.count_servers(&workers);
        context.tick_quarantine(entries, &workers);
        context
            .chains()
            .sync_engines(now, &table, &workers, &context.fleet);
        context.tick_admission(now, &table);
        clear_suspects(&context, now, &workers);
    }
}

/// Number of the hosts in the settings, this one included; `None` if hosts discover each other.
fn listed_hosts(hub: &PeerHub) -> Option<u32> {
    let is_listed = hub.discovery().is_none();
    let hosts = u32::try_from(hub.hosts().len()).unwrap_or(u32::MAX);
    is_listed.then(|| hosts.saturating_add(1))
}

/// Clears the suspicion of engines that answered the latest survey after this host missed their
/// answer to a probe.
fn clear_suspects(context: &RelayContext, now: MonotonicTime, workers: &[Arc<WorkerView>]) {
    let suspects = context.health().suspects(now);
    for server in suspects {
        let worker = workers.iter().find(|worker| worker.server == server);
        let surveyed = worker.and_then(|worker| context.fleet.surveyed(now, worker));
        let answered = surveyed.filter(|surveyed| surveyed.load.is_some());
        if let Some(answered) = answered {
            context
                .health()
                .cleared_by_peer(&server, answered.measured_at);
        }
    }
}
