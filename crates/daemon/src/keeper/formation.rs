//! Finds the group of a keeper without one, or founds it together with all founders.
//!
//! Only a keeper with an empty folder, which has never voted, runs this. It queries every other
//! known keeper. If one belongs to a group, this keeper joins that group. If all founders answer
//! and none has a group, the founder with the lowest name stores the first membership, and the
//! others get it with their next query. All founders must answer: an unreachable one may contain
//! the log of a group, and a second group would accept changes that contradict the first. The
//! founders are the keepers in the settings, or the hosts at the seed addresses; no other host can
//! contain a log before the group exists.

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

/// Timeout for the answer of another keeper. After the first start of a fleet, each keeper also
/// answers hundreds of hosts; with a new query each half second, no founder ever got all answers.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of querying the known keepers once.
enum GroupSearch {
    /// A keeper belongs to this group.
    Group(JoinedGroup),
    /// A keeper knows another incarnation of this host that is not lower.
    Outranked(KeeperIntroduction),
    /// All founders answered and none has a group; contains the other founders.
    NoGroup(Vec<KeeperId>),
    /// A founder didn't answer or has a different list of founders.
    Incomplete,
}

/// Waits until the keeper has a group and stores it.
///
/// # Errors
/// The store can't write the group or a raised incarnation.
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
        match query_keepers(hub, &own, keepers, settings).await {
            GroupSearch::Group(group) => store.join_group(group)?,
            GroupSearch::Outranked(answer) => {
                if let Some(known) = answer.outranked_by {
                    store.raise_incarnation(known)?;
                }
            }
            GroupSearch::NoGroup(others) if may_found(&own, settings) => {
                store.join_group(new_group(&own.keeper, others))?;
            }
            GroupSearch::NoGroup(_) | GroupSearch::Incomplete => sleep(settings.join_pause).await,
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

/// Creates a group of `own` and `others`. Its id is the founder's incarnation, which is the
/// wall-clock time at which its data folder was created, so it differs from the id of an earlier
/// group on the same hosts.
fn new_group(own: &KeeperId, others: Vec<KeeperId>) -> JoinedGroup {
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

async fn query_keepers(
    hub: &PeerHub,
    own: &KeeperIntroduction,
    keepers: &KeeperList,
    settings: &KeeperSettings,
) -> GroupSearch {
    let mut others = Vec::new();
    let mut incomplete = !own.keepers.contains(&own.keeper.host);
    let known = keepers.hosts().into_iter().chain(own.keepers.clone());
    let known: BTreeSet<HostName> = known.filter(|host| *host != own.keeper.host).collect();
    let answer_timeout = INTRODUCTION_TIMEOUT.max(settings.join_pause * 5);
    let mut queries = JoinSet::new();
    for host in known {
        let (hub, own) = (hub.clone(), own.clone());
        queries.spawn(async move {
            let question = PeerQuestion::Introduction(own);
            let answer = hub.call(&host, question, 1, answer_timeout).await;
            (host, answer)
        });
    }
    while let Some(query) = queries.join_next().await {
        let Ok((host, answer)) = query else {
            incomplete = true;
            continue;
        };
        let is_founder = own.keepers.contains(&host);
        let Ok(PeerAnswer::Introduced(answer)) = answer else {
            incomplete |= is_founder;
            continue;
        };
        if answer.outranked_by.is_some() {
            return GroupSearch::Outranked(answer);
        }
        if let Some(group) = answer.group {
            return GroupSearch::Group(group);
        }
        if !is_founder {
            continue;
        }
        if answer.keepers != own.keepers {
            log::warn!(peer:% = host; "founder has a different list of founders than this host; no group is founded");
            incomplete = true;
        }
        others.push(answer.keeper);
    }
    if incomplete {
        return GroupSearch::Incomplete;
    }
    GroupSearch::NoGroup(others)
}
