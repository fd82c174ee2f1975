//! What hosts tell each other about requests under which servers end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::digest::ContentDigest;
use super::interface::SendNumber;
use crate::base::ServiceName;
use crate::quarantine::CrashId;

/// A request that a server had when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRequest {
    /// The request.
    pub digest: ContentDigest,
    /// Send by which the server had it.
    pub send: SendNumber,
    /// Servers that had it by that send.
    pub servers: u16,
}

/// The end of a server, as a host or several together have seen it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossNote {
    /// Server that ended.
    pub id: CrashId,
    /// Its service.
    pub service: ServiceName,
    /// Time since the end was noticed.
    pub age: Duration,
    /// Whether the server is only known to be silent.
    #[serde(default)]
    pub silent: bool,
    /// Requests on the server.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub requests: Vec<LostRequest>,
}

/// A silent server that has answered again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawnNote {
    /// The server.
    pub id: CrashId,
    /// Time since its answer.
    pub age: Duration,
}

/// A send of a request under which a server has ended before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialNote {
    /// Number of the send.
    pub send: SendNumber,
    /// The request.
    pub digest: ContentDigest,
    /// Servers that have it.
    pub servers: Vec<CrashId>,
    /// Time since the send.
    pub age: Duration,
}

/// A whole answer to a request, or the decision not to send it any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestNote {
    /// The request.
    pub digest: ContentDigest,
    /// Time since then.
    pub age: Duration,
}

/// Changes since the last notice to the same hosts. Applying a notice twice, or several in another
/// order, has the same result.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonNotice {
    /// Ends of servers, or further requests on them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub losses: Vec<LossNote>,
    /// Silent servers that answered again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<WithdrawnNote>,
    /// Sends of requests under which servers have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trials: Vec<TrialNote>,
    /// Such sends that are over.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<SendNumber>,
    /// Such requests that were answered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<DigestNote>,
    /// Requests that are not sent any more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stopped: Vec<DigestNote>,
}

impl PoisonNotice {
    /// Whether the notice contains nothing.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
            && self.withdrawn.is_empty()
            && self.trials.is_empty()
            && self.ended.is_empty()
            && self.cleared.is_empty()
            && self.stopped.is_empty()
    }
}

/// Changes that one audience has not been told of.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingChanges {
    /// Ends of servers, with the requests on them that are new.
    pub(super) losses: BTreeMap<CrashId, BTreeSet<(ContentDigest, SendNumber)>>,
    pub(super) withdrawn: BTreeSet<CrashId>,
    pub(super) trials: BTreeSet<SendNumber>,
    pub(super) ended: BTreeSet<SendNumber>,
    pub(super) cleared: BTreeSet<ContentDigest>,
    pub(super) stopped: BTreeSet<ContentDigest>,
}

impl PendingChanges {
    /// Takes changes with `max` requests and sends at most. Decisions and ends of sends are small and few, and
    /// are taken in any case.
    pub(super) fn take(&mut self, max: usize) -> Self {
        let mut taken = Self {
            withdrawn: std::mem::take(&mut self.withdrawn),
            ended: std::mem::take(&mut self.ended),
            cleared: std::mem::take(&mut self.cleared),
            stopped: std::mem::take(&mut self.stopped),
            ..Self::default()
        };
        let mut room = max;
        while room > 0
            && let Some((id, mut requests)) = self.losses.pop_first()
        {
            let rest = requests.iter().nth(room).copied();
            if let Some(rest) = rest {
                self.losses.insert(id.clone(), requests.split_off(&rest));
            }
            room -= requests.len().min(room);
            taken.losses.insert(id, requests);
            if rest.is_some() {
                break;
            }
        }
        while room > 0
            && let Some(send) = self.trials.pop_first()
        {
            taken.trials.insert(send);
            room -= 1;
        }
        taken
    }

    pub(super) fn is_empty(&self) -> bool {
        self.losses.is_empty()
            && self.withdrawn.is_empty()
            && self.trials.is_empty()
            && self.ended.is_empty()
            && self.cleared.is_empty()
            && self.stopped.is_empty()
    }
}
