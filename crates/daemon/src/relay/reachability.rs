//! Checks whether this host reaches the servers of a service, after a send or a probe has failed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, ServerName, ServiceName};
use pollendrift_coordination::reachability::ReachabilityChange;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::context::RelayContext;
use crate::clock::millis;
use crate::fleet::WorkerView;
use crate::peers::PeerHub;

/// Pause after a round without a check.
const EMPTY_ROUND_PAUSE: Duration = Duration::from_millis(25);
/// Time between two reports to the keepers while a service is unreachable.
const REPORT_PERIOD: Duration = Duration::from_secs(2);
/// Longest wait of a request for the checks of its service: two rounds, and some delay.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(400);

/// Checks suspected services until the process ends; waits without cost while there are none. Tells
/// the keepers which services this host does not reach.
pub(super) async fn run_reachability(context: Arc<RelayContext>, hub: PeerHub) {
    let mut reported_at: Option<MonotonicTime> = None;
    loop {
        await_round(&context).await;
        let has_changed = run_round(&context).await;
        let now = context.clock.now();
        let lost: Vec<ServiceName> = context.reachability().unreachable().cloned().collect();
        let is_due = reported_at.is_none_or(|at| now.since(at) >= REPORT_PERIOD);
        if has_changed || (is_due && !lost.is_empty()) {
            context.forwarding.report(&hub, &lost);
            reported_at = Some(now);
        }
        context.channels.tick(now);
    }
}

/// Waits until a round of checks may be due.
async fn await_round(context: &RelayContext) {
    loop {
        let suspected = context.service_suspected.notified();
        let next_round = context.reachability().next_round(context.clock.now());
        match next_round {
            Some(Duration::ZERO) => return,
            // A check becomes due early if another server fails.
            Some(wait) => {
                let _ = timeout(wait, suspected).await;
            }
            None => suspected.await,
        }
    }
}

/// Runs the rounds of checks that are due, and returns whether the reachability of a service has
/// changed.
async fn run_round(context: &Arc<RelayContext>) -> bool {
    let suspected = context.reachability().suspected();
    let mut checks = JoinSet::new();
    for service in suspected {
        let now = context.clock.now();
        for worker in begin_round(context, now, &service) {
            checks.spawn(check(Arc::clone(context), service.clone(), worker));
        }
    }
    if checks.is_empty() {
        // A due service may lack servers that can be checked.
        sleep(EMPTY_ROUND_PAUSE).await;
    }
    // Rounds of other services go on after the longest check, which is bounded.
    let mut has_changed = false;
    while let Some(changed) = checks.join_next().await {
        has_changed |= changed.unwrap_or(false);
    }
    has_changed
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

/// Checks a server, and returns whether the reachability of its service has changed.
async fn check(context: Arc<RelayContext>, service: ServiceName, worker: Arc<WorkerView>) -> bool {
    let open_timeout = context.reachability().settings().open_timeout;
    let has_opened = context.pool.can_open(worker.address, open_timeout).await;
    let now = context.clock.now();
    let mut table = context.reachability();
    let change = table.record_check(now, &service, &worker.server, has_opened);
    let unreachable = table.unreachable().count();
    drop(table);
    // Not only after the round: another check of it may take until its timeout.
    context.service_checked.notify_waiters();
    let Some(change) = change else {
        return false;
    };
    log_change(&change);
    let unreachable = u64::try_from(unreachable).unwrap_or(u64::MAX);
    context.metrics.set_unreachable_services(unreachable);
    match change {
        ReachabilityChange::Lost { .. } => context.suspect_all_services(now),
        ReachabilityChange::Restored { .. } => context.forget_failures(),
    }
    true
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
        let Some(service) = self.service_of(server) else {
            return;
        };
        if self.reachability().suspect(&service, server) {
            self.service_suspected.notify_one();
        }
    }

    /// Whether this host reaches no server of the service of `server`, after the checks under way.
    pub(super) async fn has_lost_service_of(&self, server: &ServerName) -> bool {
        let Some(service) = self.service_of(server) else {
            return false;
        };
        self.await_checks(&service).await;
        self.reachability().is_unreachable(&service)
    }

    fn service_of(&self, server: &ServerName) -> Option<ServiceName> {
        let workers = self.fleet.workers(self.clock.now());
        let worker = workers.iter().find(|worker| worker.server == *server)?;
        Some(worker.offer.service.clone())
    }

    /// Suspects all services, because one can't be reached: all links of this host may be cut.
    fn suspect_all_services(&self, now: MonotonicTime) {
        let workers = self.fleet.workers(now);
        let services: BTreeSet<ServiceName> = workers
            .iter()
            .map(|worker| worker.offer.service.clone())
            .collect();
        self.reachability().suspect_all(services);
    }

    /// Forgets which servers failed while this host had no links: its requests may use them again.
    /// Connections from before are closed, since they may hang.
    fn forget_failures(&self) {
        self.health().clear_suspicions();
        self.loads().clear_ejections();
        self.chains().clear_ejections();
        self.pool.close_idle();
        if self.reachability().unreachable().next().is_none() {
            self.forwarding.table().clear();
        }
    }

    /// Waits for the checks that decide whether this host reaches `service`, if there are any. They
    /// take one round trip while its links are up.
    pub(super) async fn await_checks(&self, service: &ServiceName) {
        let decided = async {
            loop {
                let checked = self.service_checked.notified();
                let now = self.clock.now();
                if !self.reachability().is_undecided(now, service) {
                    return;
                }
                checked.await;
            }
        };
        // Bounds the wait if the checking task is delayed.
        let _ = timeout(MAX_CHECK_WAIT, decided).await;
    }
}
