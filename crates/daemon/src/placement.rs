//! Placement task: one host at a time orders engines to load the model versions of selectors.
//!
//! Runs only while a selector names a model with a version, and only with the order right, which
//! the keepers grant to one holder at a time. Engines of published routes are placed by the relay
//! instead.

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
/// Wait of a new holder before it orders engines that ignore fencing numbers, in lease durations.
///
/// An order of the previous holder could reach such an engine after an order of the new holder and
/// undo it. The previous holder sends nothing after the end of its lease, at most one lease
/// duration after the last renewal. The other two cover clock drift and data in transit.
const UNFENCED_LEASES: u32 = 3;
/// Maximum size of an answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Dependencies of the placement task.
pub(crate) struct PlacementParts {
    pub(crate) host: HostName,
    pub(crate) settings: PlacementSettings,
    pub(crate) fleet: Arc<BackendFleet>,
    pub(crate) agreed: Arc<dyn AgreedState>,
    pub(crate) clock: Arc<dyn TimeSource>,
}

/// Places model versions for as long as the process runs.
pub(crate) async fn run_placement(parts: PlacementParts) {
    let mut placer = SelectorPlacer::new(parts);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        placer.tick().await;
    }
}

struct SelectorPlacer {
    parts: PlacementParts,
    table: PlacementTable,
    right: OrderRightRenewer,
    spans: EngineSpans,
    observed: BTreeSet<ServerName>,
    client: HttpClient,
}

impl SelectorPlacer {
    fn new(parts: PlacementParts) -> Self {
        let table = PlacementTable::new(table_settings(&parts.settings), parts.clock.now());
        let right = OrderRightRenewer::new(parts.host.clone(), parts.settings.lease);
        Self {
            parts,
            table,
            right,
            spans: EngineSpans::default(),
            observed: BTreeSet::new(),
            client: HttpClient::new(MAX_ANSWER_BYTES),
        }
    }

    /// Updates the table from the fleet and sends the resulting orders.
    async fn tick(&mut self) {
        let now = self.parts.clock.now();
        if !self.update_table(now) {
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

    /// Updates targets and engines of the table; false if there is no target.
    fn update_table(&mut self, now: MonotonicTime) -> bool {
        let Ok(configuration) = self.parts.agreed.configuration() else {
            return false;
        };
        let selection = TargetSelection::new(&configuration);
        if selection.is_empty() {
            return false;
        }
        let engines = self.parts.fleet.engines(now);
        let observations = selection.observe(&engines, &mut self.spans);
        let names: BTreeSet<ServerName> = observations
            .iter()
            .map(|engine| engine.server.clone())
            .collect();
        for removed in self.observed.difference(&names) {
            self.table.remove(removed);
        }
        self.observed = names;
        for engine in observations {
            self.table.observe(engine);
        }
        self.table.set_targets(selection.targets(&engines));
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
                Err(error) => log::warn!(order:% = order, error:% = error; "order not accepted"),
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
