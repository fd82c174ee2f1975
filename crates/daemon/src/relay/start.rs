//! Builds the relay's handlers and starts its background tasks on a host.

use std::sync::Arc;

use tokio::task::JoinHandle;

use super::admission::run_admission;
use super::chains::run_chains;
use super::context::RelayContext;
use super::control::ControlHandler;
use super::heartbeats::{HeartbeatAssigner, HeartbeatHandler};
use super::leaves::LeaveConfirmer;
use super::peer_requests::PeerRequestHandler;
use super::placer::{PlacerParts, run_placer};
use super::publish::Publisher;
use super::reachability::run_reachability;
use super::{RelayFaces, RelayHandler};
use crate::agreed::AgreedState;
use crate::clock::TimeSource;
use crate::fleet::BackendFleet;
use crate::node::ClusterNode;
use crate::peers::ForwardHandler;
use crate::settings::DaemonSettings;

/// Builds the HTTP handlers for the clients that speak the platform's dialect.
pub(crate) fn relay_faces(
    relay: &Arc<RelayContext>,
    node: &Arc<ClusterNode>,
    fleet: &Arc<BackendFleet>,
    clock: &Arc<dyn TimeSource>,
) -> RelayFaces {
    let dialect = relay.dialect().clone();
    let publisher = Publisher {
        agreed: Arc::clone(node) as Arc<dyn AgreedState>,
        client: node.client().clone(),
        shared: node.shared().cloned(),
        dialect: Arc::clone(&dialect.operators),
    };
    RelayFaces {
        callers: Arc::new(RelayHandler::new(Arc::clone(relay))),
        control: Arc::new(ControlHandler {
            dialect: dialect.clone(),
            fleet: Arc::clone(fleet),
            publisher,
            node: Arc::clone(node),
            heartbeats: HeartbeatAssigner::new(Arc::clone(node)),
            leaves: LeaveConfirmer::new(Arc::clone(node), Arc::clone(fleet), Arc::clone(clock)),
            request_memory: relay.request_memory.clone(),
            clock: Arc::clone(clock),
        }),
        heartbeats: Arc::new(HeartbeatHandler {
            dialect,
            fleet: Arc::clone(fleet),
            node: Arc::clone(node),
            request_memory: relay.request_memory.clone(),
            clock: Arc::clone(clock),
        }),
    }
}

/// Lets other hosts forward requests to this one, until the returned handler is dropped.
pub(crate) fn accept_forwarding(
    relay: &Arc<RelayContext>,
    node: &ClusterNode,
) -> Arc<dyn ForwardHandler> {
    let handler: Arc<dyn ForwardHandler> = Arc::new(PeerRequestHandler {
        context: Arc::clone(relay),
        hub: node.hub().clone(),
    });
    node.hub().accept_forwarding(&handler);
    handler
}

/// Starts the relay's background tasks: on a host without a keeper, those that update the chain
/// table and check whether services are reachable; on a keeper, the placement of layers, which runs only on the keeper that holds the order
/// right.
pub(crate) fn start_relay(
    settings: &DaemonSettings,
    relay: Arc<RelayContext>,
    node: &ClusterNode,
    agreed: &Arc<dyn AgreedState>,
) -> Vec<JoinHandle<()>> {
    if !settings.is_keeper() {
        return vec![
            tokio::spawn(run_chains(Arc::clone(&relay), node.hub().clone())),
            tokio::spawn(run_admission(Arc::clone(&relay))),
            tokio::spawn(run_reachability(relay, node.hub().clone())),
        ];
    }
    let placer = PlacerParts {
        host: settings.host.clone(),
        lease: settings.placement.lease,
        context: relay,
        agreed: Arc::clone(agreed),
        hub: node.hub().clone(),
        broadcaster: Arc::clone(node.broadcaster()),
    };
    let work = Arc::clone(node.hub().work());
    vec![tokio::spawn(async move {
        work.defer("layout", Box::pin(run_placer(placer))).await;
    })]
}
