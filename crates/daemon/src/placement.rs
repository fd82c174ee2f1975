//! Placement at work: one host at a time orders engines to load what selectors name.
//!
//! Acts only while a selector names a model with a version, and only under the order right that
//! the keepers grant to one holder at a time.

mod order;
mod right;
mod targets;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use pollendrift_coordination::placement::{
    PlacementReport, PlacementSettings as TableSettings, PlacementTable,
};
use pollendrift_http::HttpClient;

use crate::agreed::AgreedState;
use crate::clock::TimeSource;
use crate::fleet::BackendFleet;
use crate::settings::PlacementSettings;

use order::send_order;
pub(crate) use right::OrderRightRenewer;
use targets::{EngineSpans, TargetSelection};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(200);
/// Leases that a new holder waits before it orders engines that ignore fencing numbers.
///
/// An order of the last holder could reach such an engine after the new holder's and undo it. The
/// last holder writes nothing later than the end of its lease, which is over within one lease of the
/// last renewal; the others are for clocks that drift and bytes that are under way.
const UNFENCED_LEASES: u32 = 3;
/// Largest answer to an order, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// What the task works with.
pub(crate) struct PlacementParts {
    pub(crate) host: HostName,
    pub(crate) settings: PlacementSettings,
    pub(crate) fleet: Arc<BackendFleet>,
    pub(crate) agreed: Arc<dyn AgreedState>,
    pub(crate) clock: Arc<dyn TimeSource>,
}

/// Places model versions for as long as the process lives.
pub(crate) async fn run_placement(parts: PlacementParts) {
    let mut placer = EnginePlacer::new(parts);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        placer.tick().await;
    }
}

struct EnginePlacer {
    parts: PlacementParts,
    table: PlacementTable,
    right: OrderRightRenewer,
    spans: EngineSpans,
    seen: BTreeSet<ServerName>,
    client: HttpClient,
}

impl EnginePlacer {
    fn new(parts: PlacementParts) -> Self {
        let table = PlacementTable::new(table_settings(&parts.settings), parts.clock.now());
        let right = OrderRightRenewer::new(parts.host.clone(), parts.settings.lease);
        Self {
            parts,
            table,
            right,
            spans: EngineSpans::default(),
            seen: BTreeSet::new(),
            client: HttpClient::new(MAX_REPLY_BYTES),
        }
    }

    /// One look at the fleet, and the orders that follow from it.
    async fn tick(&mut self) {
        let now = self.parts.clock.now();
        if !self.look(now) {
            return;
        }
        let right = self
            .right
            .renew_if_due(self.parts.agreed.as_ref(), self.parts.clock.as_ref())
            .await;
        if let Some(right) = right {
            self.table.grant(self.parts.clock.now(), right);
        }
        let report = self.table.tick(self.parts.clock.now());
        self.send(report).await;
    }

    /// Takes what is wanted and what engines announced; false if nothing is wanted.
    fn look(&mut self, now: MonotonicTime) -> bool {
        let Ok(configuration) = self.parts.agreed.configuration() else {
            return false;
        };
        let wanted = TargetSelection::new(&configuration);
        if wanted.is_empty() {
            return false;
        }
        let engines = self.parts.fleet.engines(now);
        let seen = wanted.observe(&engines, &mut self.spans);
        let names: BTreeSet<ServerName> = seen.iter().map(|engine| engine.server.clone()).collect();
        for gone in self.seen.difference(&names) {
            self.table.remove(gone);
        }
        self.seen = names;
        for engine in seen {
            self.table.observe(engine);
        }
        self.table.set_targets(wanted.targets(&engines));
        true
    }

    async fn send(&self, report: PlacementReport) {
        for order in report.orders {
            let Some(view) = self.parts.fleet.view(&order.server) else {
                continue;
            };
            let clock = self.parts.clock.as_ref();
            match send_order(&self.client, &view.address, &order, clock).await {
                Ok(()) => log::info!(order:% = order; "engine ordered"),
                Err(error) => log::warn!(order:% = order, error:% = error; "order not taken"),
            }
        }
    }
}

fn table_settings(settings: &PlacementSettings) -> TableSettings {
    TableSettings {
        settle: settings.settle,
        unfenced_wait: settings.lease * UNFENCED_LEASES,
        max_loads: u32::try_from(settings.max_loads).unwrap_or(u32::MAX),
        load_timeout: settings.load_timeout,
        ..TableSettings::default()
    }
}
