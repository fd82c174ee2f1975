//! What hosts tell each other about crashes, answers and tests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::interface::{CrashId, PartKey};
use super::proofs::PartDigest;
use crate::base::{PartName, ServiceName, VersionName};

/// A crash, as a host or several together have seen it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// Engine that crashed.
    pub id: CrashId,
    /// Service of the engine.
    pub service: ServiceName,
    /// Version of its model; `None` if it held no layers.
    pub version: Option<VersionName>,
    /// Time since the crash was noticed.
    pub age: Duration,
    /// Parts of requests that were on the engine and had no answer.
    pub suspects: Vec<PartName>,
    /// Parts of requests that were on the engine and whose answers had begun.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub broken: Vec<BrokenNote>,
}

/// Answers to a part that an engine ran when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenNote {
    /// The part.
    pub part: PartName,
    /// Time since the latest of the requests was sent.
    pub sent: Duration,
    /// Number of the answers of each host.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub counts: BTreeMap<Arc<str>, u32>,
    /// Whether a whole answer to the part was known.
    #[serde(default, skip_serializing_if = "is_false")]
    pub answered: bool,
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
fn is_false(value: &bool) -> bool {
    !value
}

/// An answer to a part, or the begin of its test.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNote {
    /// The part.
    pub key: PartKey,
    /// Time since the answer or the begin of the test.
    pub age: Duration,
}

/// Changes since the last notice to the same hosts. Applying a notice twice, or several in another
/// order, has the same result.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// Crashes with new suspects.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashNote>,
    /// Suspected parts that were answered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<PartNote>,
    /// Suspected parts whose test has begun.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tested: Vec<PartNote>,
    /// Parts that were answered for the first time in a while.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub proven: Vec<PartDigest>,
    /// Parts with a whole answer after a late crash under them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub whole: Vec<PartNote>,
    /// Parts with the first whole answer in a while.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answered: Vec<PartDigest>,
}

impl QuarantineNotice {
    /// Whether the notice contains nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.cleared.is_empty()
            && self.tested.is_empty()
            && self.proven.is_empty()
            && self.whole.is_empty()
            && self.answered.is_empty()
    }
}

/// Origin of a change, which decides whom this host tells of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoticeSource {
    /// This host.
    Own,
    /// A host without a keeper.
    Entry,
    /// A keeper, which tells the other keepers itself.
    Keeper,
}

impl NoticeSource {
    /// Origin of what another host tells.
    pub(crate) fn of_peer(is_keeper: bool) -> Self {
        if is_keeper { Self::Keeper } else { Self::Entry }
    }
}

/// Hosts that a notice is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeAudience {
    /// Hosts that forward it: the other keepers or, on a host without a keeper, the keepers.
    Keepers,
    /// Hosts that follow this keeper.
    Followers,
}

/// Changes that one audience has not been told of.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingChanges {
    pub(super) crashes: BTreeSet<CrashId>,
    pub(super) cleared: BTreeSet<PartKey>,
    pub(super) tested: BTreeSet<PartKey>,
    pub(super) proven: BTreeSet<PartDigest>,
    pub(super) whole: BTreeSet<PartKey>,
    pub(super) answered: BTreeSet<PartDigest>,
}

impl PendingChanges {
    /// Whether a change must be sent at once. Proofs can wait.
    pub(super) fn is_urgent(&self) -> bool {
        !self.crashes.is_empty()
            || !self.cleared.is_empty()
            || !self.tested.is_empty()
            || !self.whole.is_empty()
    }
}
