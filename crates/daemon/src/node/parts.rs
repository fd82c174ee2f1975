//! What a node's parts are set to, from the daemon's settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::agreement::AgreementSettings;
use pollendrift_coordination::base::{HostName, Incarnation};
use pollendrift_coordination::hosts::HostReach;
use pollendrift_coordination::replicated::{ProcessNonce, ReplicatedSettings};

use super::NodeParts;
use crate::keeper::{ClientSettings, KeeperSettings, SnapshotThresholds};
use crate::peers::{
    DiscoveryStart, LinkSettings, PeerAddress, PeerDiscovery, PeerHandler, PeerNode, PeerTasks,
    start_peers,
};
use crate::settings::DaemonSettings;
use crate::state::SharedState;
use crate::transport::AccessTransport;

/// Silence after which a keeper that nobody replaced is taken out of the group. Restarts end within
/// a few seconds; a partition that lasts longer costs two changes of membership when it heals.
const LOST_VOTER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest pause of a keeper before it asks again who leads: it hears of a new leader itself.
const KEEPER_PAUSE: Duration = Duration::from_millis(40);

/// Lease on the configuration.
///
/// It counts from the question to a quorum. Whatever was revoked after that question is served for
/// no longer than the lease, so a lease shorter than the bound on revoked keys keeps the bound on a
/// host that is cut off. The rest is for requests that are under way when the lease ends.
pub(super) fn configuration_lease(settings: &DaemonSettings) -> Duration {
    if settings.relay.enabled {
        return settings.relay.revoke_within * 4 / 5;
    }
    settings.leases.configuration
}

/// Four questions in a lease leave three tries; two within the time of a change let a host that is
/// told nothing know so in time.
pub(super) fn question_period(settings: &DaemonSettings, lease: Duration) -> Duration {
    if settings.relay.enabled {
        return (lease / 4).min(settings.relay.change_within / 2);
    }
    lease / 4
}

pub(super) fn initial_keepers(settings: &DaemonSettings) -> Vec<HostName> {
    settings
        .initial_keepers()
        .map(|peer| peer.name.clone())
        .collect()
}

/// Where this host takes heartbeats for keepers: an address of its own for backend servers, at a host
/// that is no keeper.
fn heartbeat_address(settings: &DaemonSettings) -> Option<SocketAddr> {
    let address = settings.listen.backend_servers;
    let is_apart = address != settings.listen.operators && address != settings.listen.callers;
    let takes = settings.relay.enabled && !settings.is_keeper() && is_apart;
    takes.then_some(address)
}

pub(super) fn start_discovery(
    settings: &DaemonSettings,
    parts: &NodeParts,
) -> Option<Arc<PeerDiscovery>> {
    if !settings.discovery.is_on() {
        return None;
    }
    let start = DiscoveryStart {
        host: settings.host.clone(),
        reach: HostReach {
            address: settings.discovery.announce.unwrap_or(settings.listen.peers),
            keeper: settings.is_keeper(),
            data_centre: Some(settings.data_centre.clone()),
            heartbeats: heartbeat_address(settings),
        },
        seeds: settings.discovery.peer_addresses(),
    };
    Some(Arc::new(PeerDiscovery::new(
        start,
        Arc::clone(&parts.clock),
    )))
}

pub(super) fn connect_peers(
    settings: &DaemonSettings,
    parts: &NodeParts,
    discovery: Option<Arc<PeerDiscovery>>,
    handler: Arc<dyn PeerHandler>,
) -> PeerTasks {
    let node = PeerNode {
        host: settings.host.clone(),
        process: Incarnation(parts.nonce.0),
        discovery,
    };
    let links = LinkSettings {
        seed: parts.nonce.0,
        ..LinkSettings::default()
    };
    let peers = settings
        .peers
        .iter()
        .map(|peer| PeerAddress {
            host: peer.name.clone(),
            address: peer.address,
        })
        .collect();
    let dialer = Box::new(transport(settings, parts));
    start_peers(node, links, peers, dialer, handler)
}

pub(super) fn shared_state(settings: &DaemonSettings, nonce: ProcessNonce) -> SharedState {
    let replicated = ReplicatedSettings::default();
    SharedState::new(replicated, settings.host.clone(), Incarnation(nonce.0))
}

pub(super) fn keeper_settings(settings: &DaemonSettings, nonce: ProcessNonce) -> KeeperSettings {
    let agreement = &settings.agreement;
    KeeperSettings {
        agreement: AgreementSettings {
            heartbeat_interval: agreement.heartbeat,
            election_timeout: agreement.election_timeout,
            max_append_entries: usize::try_from(agreement.max_batch_entries).unwrap_or(usize::MAX),
            snapshot_after_entries: settings.snapshots.every_entries,
            lost_voter_timeout: settings.discovery.is_on().then_some(LOST_VOTER_TIMEOUT),
            resend_timeout: agreement.election_timeout / 2,
            ..AgreementSettings::default()
        },
        may_found: agreement.may_found,
        snapshots: SnapshotThresholds {
            log_bytes: settings.snapshots.every_bytes,
            replay_work: settings.snapshots.replay_within,
        },
        seed: nonce.0,
        ..KeeperSettings::default()
    }
}

pub(super) fn client_settings(settings: &DaemonSettings) -> ClientSettings {
    let default = ClientSettings::default();
    ClientSettings {
        request_timeout: settings.agreement.commit_timeout,
        max_backoff: if settings.is_keeper() {
            KEEPER_PAUSE
        } else {
            default.max_backoff
        },
        ..default
    }
}

pub(super) fn transport(settings: &DaemonSettings, parts: &NodeParts) -> AccessTransport {
    let hosts = settings
        .peers
        .iter()
        .map(|peer| peer.name.clone())
        .collect();
    AccessTransport::new(Arc::clone(&parts.access), hosts)
}
