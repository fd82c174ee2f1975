//! Brings a keeper that isn't in the membership back to voting, one step at a time.

use pollendrift_coordination::agreement::KeeperId;
use pollendrift_coordination::base::HostName;
use tokio::time::sleep;

use super::calls::is_passing;
use super::port::KeeperPort;
use super::settings::KeeperSettings;
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
    keepers: Vec<HostName>,
    settings: KeeperSettings,
) {
    let mut status = port.watch_status();
    let mut turn = 0;
    loop {
        if status.borrow().stopped.is_some() {
            return;
        }
        if status.borrow().is_voter() {
            // Voting: nothing to do until the membership says otherwise.
            if status.changed().await.is_err() {
                return;
            }
            continue;
        }
        let leader = status.borrow().leader.clone().map(|leader| leader.host);
        let others: Vec<&HostName> = keepers.iter().filter(|host| *host != hub.host()).collect();
        let in_turn = others.get(turn % others.len().max(1)).copied().cloned();
        turn += 1;
        let Some(host) = leader.filter(|leader| leader != hub.host()).or(in_turn) else {
            return;
        };
        let question = PeerQuestion::Join(keeper.clone());
        let patience = settings.agreement.election_timeout * 4;
        match hub.call(&host, question, 1, patience).await {
            Ok(PeerAnswer::NotRun { reason }) if !is_passing(&reason) => {
                log::warn!(peer:% = host, reason:% = reason; "can't join the group");
            }
            Ok(_) | Err(_) => {}
        }
        sleep(settings.join_pause).await;
    }
}
