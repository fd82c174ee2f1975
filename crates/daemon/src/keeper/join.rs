//! Brings a keeper that isn't in the membership back to voting, one step at a time.

use pollendrift_coordination::agreement::KeeperId;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::calls::is_transient;
use super::list::KeeperList;
use super::port::KeeperPort;
use super::settings::KeeperSettings;
use super::status::KeeperStatus;
use crate::peers::{PeerAnswer, PeerHub, PeerQuestion};

/// Asks the leader for the next step until this keeper votes.
///
/// The steps are the leader's to grant: it refuses to count a keeper that has not caught up, and
/// changes one keeper at a time. So asking is safe at every moment, also while another host is
/// being repaired or is lost in between.
pub(super) async fn keep_joining(
    port: KeeperPort,
    hub: PeerHub,
    keeper: KeeperId,
    keepers: KeeperList,
    settings: KeeperSettings,
) {
    let mut status = port.watch_status();
    let mut turn = 0;
    loop {
        if status.borrow().stopped.is_some() {
            return;
        }
        if status.borrow().is_voter() && !is_stranded(&mut status, settings.stranded_timeout).await
        {
            continue;
        }
        let leader = status.borrow().leader.clone().map(|leader| leader.host);
        let mut others = keepers.hosts();
        others.retain(|host| host != hub.host());
        let in_turn = others.get(turn % others.len().max(1)).cloned();
        turn += 1;
        let Some(host) = leader.filter(|leader| leader != hub.host()).or(in_turn) else {
            sleep(settings.join_pause).await;
            continue;
        };
        let question = PeerQuestion::Join(keeper.clone());
        let patience = settings.agreement.election_timeout * 4;
        match hub.call(&host, question, 1, patience).await {
            Ok(PeerAnswer::NotRun { reason }) if !is_transient(&reason) => {
                log::warn!(peer:% = host, reason:% = reason; "can't join the group");
            }
            Ok(_) | Err(_) => {}
        }
        sleep(settings.join_pause).await;
    }
}

/// Whether a voter hears of no leader for `patience`; returns early when its status changes.
///
/// A voter that was removed while it was cut off never learns so from the log: nobody sends it the
/// log any more. It would stand for elections that it can't win for ever, and the group would miss
/// a keeper. Asking to join is harmless for one that still votes.
async fn is_stranded(
    status: &mut watch::Receiver<KeeperStatus>,
    patience: std::time::Duration,
) -> bool {
    if status.borrow_and_update().leader.is_some() {
        // An error means that the keeper ended, which the caller sees.
        let _ = status.changed().await;
        return false;
    }
    let heard = status.wait_for(|status| status.leader.is_some() || status.stopped.is_some());
    timeout(patience, heard).await.is_err()
}
