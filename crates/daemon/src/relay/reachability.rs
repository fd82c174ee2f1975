//! Checks whether this host reaches the servers of a service, after a send or a probe has failed.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, ServerName, ServiceName};
use pollendrift_coordination::reachability::ReachabilityChange;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::context::RelayContext;
use crate::clock::millis;
use crate::fleet::WorkerView;

/// Time between two looks for a due round of checks, while a service is suspected.
const ROUND_TICK: Duration = Duration::from_millis(25);

/// Checks suspected services until the process ends; waits without cost while there are none.
pub(super) async fn run_reachability(context: Arc<RelayContext>) {
    loop {
        let suspected = context.reachability().suspected();
        if suspected.is_empty() {
            context.service_suspected.notified().await;
            continue;
        }
        let mut checks = JoinSet::new();
        for service in suspected {
            let now = context.clock.now();
            for worker in begin_round(&context, now, &service) {
                checks.spawn(check(Arc::clone(&context), service.clone(), worker));
            }
        }
        // Rounds of other services go on after the longest check, which is bounded.
        while checks.join_next().await.is_some() {}
        sleep(ROUND_TICK).await;
    }
}

/// Begins a round of checks of a service, if one is due, and returns the servers to check.
fn begin_round(
    context: &RelayContext,
    now: MonotonicTime,
    service: &ServiceName,
) -> Vec<Arc<WorkerView>> {
    let mut workers = context.fleet.workers(now).to_vec();
    workers.retain(|worker| worker.offer.service == *service);
    let servers: Vec<ServerName> = workers.iter().map(|worker| worker.server.clone()).collect();
    let chosen = context.reachability().begin_round(now, service, &servers);
    workers.retain(|worker| chosen.contains(&worker.server));
    workers
}

async fn check(context: Arc<RelayContext>, service: ServiceName, worker: Arc<WorkerView>) {
    let open_timeout = context.reachability().settings().open_timeout;
    let has_opened = context.pool.can_open(worker.address, open_timeout).await;
    let now = context.clock.now();
    let mut table = context.reachability();
    let change = table.record_check(now, &service, &worker.server, has_opened);
    let unreachable = table.unreachable().count();
    drop(table);
    let Some(change) = change else {
        return;
    };
    log_change(&change);
    let unreachable = u64::try_from(unreachable).unwrap_or(u64::MAX);
    context.metrics.set_unreachable_services(unreachable);
}

fn log_change(change: &ReachabilityChange) {
    match change {
        ReachabilityChange::Lost { service, servers } => {
            let names: Vec<&str> = servers.iter().map(ServerName::as_str).collect();
            log::warn!(service:% = service, servers = names.join(" ").as_str(); "service unreachable from this host: no connection opens");
        }
        ReachabilityChange::Restored {
            service,
            server,
            after,
        } => {
            log::info!(service:% = service, server:% = server, after_ms = millis(*after); "service reachable again");
        }
    }
}

impl RelayContext {
    /// Suspects that this host does not reach the service of `server`, which did not answer.
    pub(super) fn suspect_service_of(&self, server: &ServerName) {
        let workers = self.fleet.workers(self.clock.now());
        let worker = workers.iter().find(|worker| worker.server == *server);
        if let Some(worker) = worker {
            self.suspect_service(&worker.offer.service);
        }
    }

    fn suspect_service(&self, service: &ServiceName) {
        if self.reachability().suspect(service) {
            self.service_suspected.notify_one();
        }
    }
}
