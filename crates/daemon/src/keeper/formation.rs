//! Finds the group of a keeper that has none, or founds it together with all others.
//!
//! Only a keeper with a fresh folder comes here, and it has never voted. It asks every other keeper
//! that it knows. If one belongs to a group, this one joins that group. If all founders answer and
//! none does, the founder with the lowest name writes down the first membership, and the others
//! learn it by asking. All founders have to answer: one that can't be asked may hold a group's log,
//! and a second group beside it would accept changes that contradict the first. Founders are the
//! keepers of the settings, or the hosts at the seed addresses; others can't hold a log before.

use std::collections::BTreeSet;
use std::time::Duration;

use pollendrift_coordination::agreement::{KeeperId, Membership};
use pollendrift_coordination::base::HostName;
use pollendrift_store::{GroupId, JoinedGroup, SegmentStore};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::error::KeeperError;
use super::list::KeeperList;
use super::settings::KeeperSettings;
use crate::peers::{KeeperIntroduction, PeerAnswer, PeerHub, PeerQuestion};

/// Time for another keeper's answer. After the first start of a fleet it has hundreds of hosts to answer
/// beside; asked anew each half second, no founder ever had all answers.
const INTRODUCTION_PATIENCE: Duration = Duration::from_secs(3);

/// What asking around has shown.
enum Findings {
    /// A group exists.
    Group(JoinedGroup),
    /// Another incarnation of this host is known, and it is not lower.
    Outranked(KeeperIntroduction),
    /// Everybody answered; nobody has a group.
    Nobody(Vec<KeeperId>),
    /// Somebody didn't answer, or takes others for keepers.
    Unsettled,
}

/// Waits until the keeper has a group, and writes it down.
pub(super) async fn find_group(
    store: &mut SegmentStore,
    hub: &PeerHub,
    introduction: &watch::Sender<Option<KeeperIntroduction>>,
    keepers: &KeeperList,
    settings: &KeeperSettings,
) -> Result<(), KeeperError> {
    loop {
        let own = introduce(store, keepers);
        introduction.send_replace(Some(own.clone()));
        if own.group.is_some() {
            return Ok(());
        }
        match ask_around(hub, &own, keepers, settings).await {
            Findings::Group(group) => store.join_group(group)?,
            Findings::Outranked(answer) => {
                if let Some(rival) = answer.outranked_by {
                    store.raise_incarnation(rival)?;
                }
            }
            Findings::Nobody(others) if may_found(&own, settings) => {
                store.join_group(found(&own.keeper, others))?;
            }
            Findings::Nobody(_) | Findings::Unsettled => sleep(settings.join_pause).await,
        }
    }
}

fn introduce(store: &SegmentStore, keepers: &KeeperList) -> KeeperIntroduction {
    let identity = store.identity();
    KeeperIntroduction {
        keeper: KeeperId {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
        },
        group: identity.group.clone(),
        keepers: keepers.founders().unwrap_or_default(),
        outranked_by: None,
    }
}

fn may_found(own: &KeeperIntroduction, settings: &KeeperSettings) -> bool {
    settings.may_found && own.keepers.first() == Some(&own.keeper.host)
}

/// The founder's incarnation is the wall clock at its disk's formatting, so it also tells this
/// group from an earlier one on the same hosts.
fn found(own: &KeeperId, others: Vec<KeeperId>) -> JoinedGroup {
    let mut voters: BTreeSet<KeeperId> = others.into_iter().collect();
    voters.insert(own.clone());
    JoinedGroup {
        id: GroupId(own.incarnation.0),
        founding: Membership {
            voters,
            learners: BTreeSet::new(),
        },
    }
}

async fn ask_around(
    hub: &PeerHub,
    own: &KeeperIntroduction,
    keepers: &KeeperList,
    settings: &KeeperSettings,
) -> Findings {
    let mut others = Vec::new();
    let mut unsettled = !own.keepers.contains(&own.keeper.host);
    let known = keepers.hosts().into_iter().chain(own.keepers.clone());
    let known: BTreeSet<HostName> = known.filter(|host| *host != own.keeper.host).collect();
    let patience = INTRODUCTION_PATIENCE.max(settings.join_pause * 5);
    let mut asking = JoinSet::new();
    for host in known {
        let (hub, own) = (hub.clone(), own.clone());
        asking.spawn(async move {
            let question = PeerQuestion::Introduction(own);
            let answer = hub.call(&host, question, 1, patience).await;
            (host, answer)
        });
    }
    while let Some(asked) = asking.join_next().await {
        let Ok((host, answer)) = asked else {
            unsettled = true;
            continue;
        };
        let is_founder = own.keepers.contains(&host);
        let Ok(PeerAnswer::Introduced(answer)) = answer else {
            unsettled |= is_founder;
            continue;
        };
        if answer.outranked_by.is_some() {
            return Findings::Outranked(answer);
        }
        if let Some(group) = answer.group {
            return Findings::Group(group);
        }
        if !is_founder {
            continue;
        }
        if answer.keepers != own.keepers {
            log::warn!(peer:% = host; "it takes others for founders than this host; no group is founded");
            unsettled = true;
        }
        others.push(answer.keeper);
    }
    if unsettled {
        return Findings::Unsettled;
    }
    Findings::Nobody(others)
}
