//! Derives the settings of a node's parts from the daemon's settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::agreement::AgreementSettings;
use pollendrift_coordination::base::{HostName, Incarnation};
use pollendrift_coordination::hosts::HostReach;
use pollendrift_coordination::limits::WorkSettings;
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

/// Silence timeout after which a keeper without a replacement is removed from the group. Restarts
/// take a few seconds; a longer partition costs two changes of membership: the removal and the
/// return of the keeper.
const LOST_VOTER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum back-off of a keeper before it looks for the leader again; short, since a keeper learns
/// of a new leader itself.
const KEEPER_MAX_BACKOFF: Duration = Duration::from_millis(40);

/// Duration of the lease on the configuration.
///
/// It counts from the question to a quorum, so a disconnected host accepts a key that was revoked
/// after that question for no longer than the lease. The lease is four fifths of `revoke_within`;
/// the remaining fifth is for requests in progress when the lease ends.
pub(super) fn configuration_lease(settings: &DaemonSettings) -> Duration {
    if settings.relay.enabled {
        return settings.relay.revoke_within * 4 / 5;
    }
    settings.leases.configuration
}

/// Time between two questions to a quorum. Four questions per lease leave three retries. With a
/// relay there are also at least two questions per `change_within`, so that a host detects in time
/// that it receives no updates.
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

/// Address at which this host accepts heartbeats on behalf of keepers: a separate address for
/// backend servers, on a host without a keeper.
fn heartbeat_address(settings: &DaemonSettings) -> Option<SocketAddr> {
    let address = settings.listen.backend_servers;
    let is_separate = address != settings.listen.operators && address != settings.listen.callers;
    let accepts = settings.relay.enabled && !settings.is_keeper() && is_separate;
    accepts.then_some(address)
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
        deferrable: settings.is_keeper().then(WorkSettings::default),
        max_links: parts.max_links,
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
            KEEPER_MAX_BACKOFF
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
