//! Adds this keeper to the membership as a voter, one step at a time.

use pollendrift_coordination::agreement::KeeperId;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::calls::is_transient;
use super::list::KeeperList;
use super::port::KeeperPort;
use super::settings::KeeperSettings;
use super::status::KeeperStatus;
use crate::peers::{PeerAnswer, PeerHub, PeerQuestion};

/// Requests the next step from the leader whenever this keeper is no voter, until it stops.
///
/// The leader decides about each step: it refuses to promote a keeper that has not caught up, and
/// changes one keeper at a time. So a request is safe at any time, including while another host is
/// being repaired or fails.
pub(super) async fn keep_joining(
    port: KeeperPort,
    hub: PeerHub,
    keeper: KeeperId,
    keepers: KeeperList,
    settings: KeeperSettings,
) {
    let mut status = port.watch_status();
    let mut attempts = 0;
    loop {
        if status.borrow().stopped.is_some() {
            return;
        }
        if status.borrow().is_voter()
            && !is_leaderless(&mut status, settings.leaderless_timeout).await
        {
            continue;
        }
        let leader = status.borrow().leader.clone().map(|leader| leader.host);
        let mut others = keepers.hosts();
        others.retain(|host| host != hub.host());
        let fallback = others.get(attempts % others.len().max(1)).cloned();
        attempts += 1;
        let Some(host) = leader.filter(|leader| leader != hub.host()).or(fallback) else {
            sleep(settings.join_pause).await;
            continue;
        };
        let question = PeerQuestion::Join(keeper.clone());
        let answer_timeout = settings.agreement.election_timeout * 4;
        match hub.call(&host, question, 1, answer_timeout).await {
            Ok(PeerAnswer::NotRun { reason }) if !is_transient(&reason) => {
                log::warn!(peer:% = host, reason:% = reason; "peer refused the join request");
            }
            Ok(_) | Err(_) => {}
        }
        sleep(settings.join_pause).await;
    }
}

/// Returns whether this keeper, a voter, has no leader for `leader_timeout`. Returns false as soon
/// as it gets a leader or stops; if it has a leader at the call, after the next status change.
///
/// A voter that was removed while it was disconnected doesn't learn this from the log, because no
/// keeper sends it the log any more. It would start elections forever that it can't win, and the
/// group would lack a keeper. A join request of a keeper that is still a voter has no effect.
async fn is_leaderless(
    status: &mut watch::Receiver<KeeperStatus>,
    leader_timeout: std::time::Duration,
) -> bool {
    if status.borrow_and_update().leader.is_some() {
        // An error means that the keeper has ended; the caller checks this.
        let _ = status.changed().await;
        return false;
    }
    let change = status.wait_for(|status| status.leader.is_some() || status.stopped.is_some());
    timeout(leader_timeout, change).await.is_err()
}
