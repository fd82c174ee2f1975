//! Looks up the refusals of a draft at all hosts.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{HostName, RequestId};
use pollendrift_coordination::limits::{HostRefusals, RefusalAnswer, RefusalView};
use tokio::task::JoinSet;

use super::questions::{KeeperQuestion, KeeperQuestionHandler};
use crate::peers::{PeerAnswer, PeerQuestion};
use crate::refusals::RefusalStore;

/// Timeout of the question to one host; shorter than that of the question to a keeper, so that a
/// keeper answers although a host of its does not.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

impl KeeperQuestionHandler {
    /// Last refusals at this host.
    pub(crate) fn refusals(&self) -> &Arc<RefusalStore> {
        &self.refusals
    }

    /// Asks all hosts for their refusals of a request.
    ///
    /// Where hosts discover each other, only keepers know all hosts, so a host without a keeper asks
    /// one. Without an answer it asks the hosts that it knows, and says that these are not all.
    pub(super) async fn find_refusals(&self, request: &RequestId) -> RefusalAnswer {
        let knows_all = self.shared.is_some() || self.hub.discovery().is_none();
        if !knows_all {
            let question = KeeperQuestion::Refusals {
                request: request.clone(),
            };
            let answer = self.ask_keepers(&question).await.ok();
            let answer = answer.and_then(|answer| serde_json::from_slice(&answer.body).ok());
            if let Some(answer) = answer {
                return answer;
            }
        }
        let hosts = self.ask_hosts(request).await;
        RefusalAnswer {
            hosts,
            is_complete: knows_all,
        }
    }

    /// Asks the hosts that this one knows, itself included, at the same time.
    pub(super) async fn ask_hosts(&self, request: &RequestId) -> Vec<HostRefusals> {
        let question = KeeperQuestion::OwnRefusals {
            request: request.clone(),
        };
        let bytes = serde_json::to_vec(&question).unwrap_or_default();
        let mut calls = JoinSet::new();
        for host in self.hub.hosts() {
            let question = PeerQuestion::Operator(bytes.clone().into());
            let hub = self.hub.clone();
            calls.spawn(async move {
                let answer = hub.call(&host, question, 0, HOST_TIMEOUT).await;
                let answer = answer.map_err(|error| error.to_string());
                host_refusals(host, answer.and_then(|answer| read_answer(&answer)))
            });
        }
        let mut hosts = calls.join_all().await;
        let own = self.own_refusals(request);
        hosts.push(host_refusals(self.hub.host().clone(), Ok(own)));
        hosts.sort_by(|one, other| one.host.cmp(&other.host));
        hosts
    }

    /// Returns the refusals of a request at this host.
    pub(super) fn own_refusals(&self, request: &RequestId) -> Vec<RefusalView> {
        self.refusals.find(self.clock.now(), request)
    }
}

/// Reads the answer of a host. A host of an earlier version refuses the question.
fn read_answer(answer: &PeerAnswer) -> Result<Vec<RefusalView>, String> {
    let bytes = match answer {
        PeerAnswer::Operator(bytes) => &bytes.0,
        PeerAnswer::NotRun { reason } | PeerAnswer::Unknown { reason } => {
            return Err(reason.clone());
        }
        _ => return Err("host sent an answer of an unexpected type".to_owned()),
    };
    let answer: super::KeeperAnswer =
        serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
}

fn host_refusals(host: HostName, answer: Result<Vec<RefusalView>, String>) -> HostRefusals {
    let (refusals, failure) = match answer {
        Ok(refusals) => (refusals, None),
        Err(reason) => (Vec::new(), Some(reason)),
    };
    HostRefusals {
        host,
        refusals,
        failure,
    }
}
