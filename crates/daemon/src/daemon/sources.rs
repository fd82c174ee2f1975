//! Sources of the dump and of the metrics of this process.

use std::sync::Arc;

use crate::clock::TimeSource;
use crate::fleet::BackendFleet;
use crate::node::ClusterNode;
use crate::operators::keeper_state;
use crate::platform::{DumpSource, MetricSource};
use crate::poison::PoisonState;
use crate::quarantine::QuarantineState;
use crate::relay::RelayContext;
use crate::telemetry::{MetricRegistry, RecorderSlot};

pub(super) struct FleetDump {
    pub(super) fleet: Arc<BackendFleet>,
}

impl DumpSource for FleetDump {
    fn name(&self) -> &'static str {
        "backend_servers"
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.fleet.dump()).unwrap_or_default()
    }
}

pub(super) struct RateDumpSource {
    pub(super) fleet: Arc<BackendFleet>,
    pub(super) clock: Arc<dyn TimeSource>,
}

impl DumpSource for RateDumpSource {
    fn name(&self) -> &'static str {
        "request_rates"
    }

    fn dump(&self) -> serde_json::Value {
        let rates = self.fleet.rates().dump(self.clock.now());
        serde_json::to_value(rates).unwrap_or_default()
    }
}

pub(super) struct DemandDumpSource {
    pub(super) fleet: Arc<BackendFleet>,
    pub(super) clock: Arc<dyn TimeSource>,
}

impl DumpSource for DemandDumpSource {
    fn name(&self) -> &'static str {
        "demand_shares"
    }

    fn dump(&self) -> serde_json::Value {
        let demand = self.fleet.demand().dump(self.clock.now());
        serde_json::to_value(demand).unwrap_or_default()
    }
}

pub(super) struct AdmissionDumpSource {
    pub(super) relay: Arc<RelayContext>,
}

impl DumpSource for AdmissionDumpSource {
    fn name(&self) -> &'static str {
        "admission"
    }

    fn dump(&self) -> serde_json::Value {
        self.relay.dump_admission()
    }
}

pub(super) struct ForwardingDumpSource {
    pub(super) relay: Arc<RelayContext>,
}

impl DumpSource for ForwardingDumpSource {
    fn name(&self) -> &'static str {
        "forwarding"
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.relay.dump_forwarding()).unwrap_or_default()
    }
}

pub(super) struct QuarantineDumpSource {
    pub(super) quarantine: Arc<QuarantineState>,
}

impl DumpSource for QuarantineDumpSource {
    fn name(&self) -> &'static str {
        "quarantine"
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.quarantine.dump()).unwrap_or_default()
    }
}

pub(super) struct PoisonDumpSource {
    pub(super) poison: Arc<PoisonState>,
}

impl DumpSource for PoisonDumpSource {
    fn name(&self) -> &'static str {
        "poison"
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.poison.dump()).unwrap_or_default()
    }
}

pub(super) struct EvidenceDump {
    pub(super) recorder: Arc<RecorderSlot>,
}

impl DumpSource for EvidenceDump {
    fn name(&self) -> &'static str {
        "evidence"
    }

    fn dump(&self) -> serde_json::Value {
        self.recorder
            .get()
            .and_then(|recorder| serde_json::to_value(recorder.status()).ok())
            .unwrap_or_default()
    }
}

pub(super) struct NodeDump {
    pub(super) node: Arc<ClusterNode>,
}

impl DumpSource for NodeDump {
    fn name(&self) -> &'static str {
        "keeper"
    }

    fn dump(&self) -> serde_json::Value {
        self.node
            .keeper_status()
            .map(keeper_state)
            .unwrap_or_default()
    }
}

pub(super) struct RoutingDumpSource {
    pub(super) fleet: Arc<BackendFleet>,
    pub(super) clock: Arc<dyn TimeSource>,
}

impl DumpSource for RoutingDumpSource {
    fn name(&self) -> &'static str {
        "routing"
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.fleet.dump_routing(self.clock.now())).unwrap_or_default()
    }
}

pub(super) struct DaemonMetrics {
    pub(super) metrics: Arc<MetricRegistry>,
}

impl MetricSource for DaemonMetrics {
    fn metrics_text(&self) -> String {
        self.metrics.text()
    }
}
