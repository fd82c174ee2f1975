//! Tells other hosts which prompt parts crash engines, and which requests end servers.
//!
//! A host without a keeper tells the keeper that it follows. Keepers tell each other and their
//! followers. Urgent changes are sent at once, and to two further keepers, as one may have failed. All
//! that is known of suspected parts is sent again periodically, for hosts that have missed a change.

use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime};
use pollendrift_coordination::leases::LeaseSource;
use pollendrift_coordination::limits::{NoticePace, PaceSettings};
use pollendrift_coordination::poison::PoisonNotice;
use pollendrift_coordination::quarantine::{NoticeAudience, QuarantineNotice};
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use super::LeaseBroadcaster;
use crate::peers::{PeerFrame, PeerHub};

/// Time between two notices of a host after a burst, for each entry: the more there are, the more notices
/// reach a keeper.
const GAP_PER_ENTRY: Duration = Duration::from_millis(2);
/// Time between two notices of a keeper after a burst, for each host that it sends them to.
const GAP_PER_RECIPIENT: Duration = Duration::from_millis(8);
/// Ticks between two notices of changes that are not urgent.
pub(super) const CHANGE_TICKS: u32 = 5;
/// Ticks between two notices with all that is known of suspected parts.
pub(super) const FULL_NOTICE_TICKS: u32 = 10;
/// Keepers beside the followed one that a host tells of urgent changes.
const FURTHER_KEEPERS: usize = 2;

impl LeaseBroadcaster {
    /// Applies a notice of the peer `from`.
    pub(crate) fn receive_quarantine(&self, from: &HostName, notice: QuarantineNotice) {
        let is_from_keeper = self.recipients.kind_of(from) == LeaseSource::Keeper;
        self.quarantine.merge(notice, is_from_keeper);
    }

    /// Applies a notice of the peer `from` on requests under which servers end.
    pub(crate) fn receive_poison(&self, from: &HostName, notice: PoisonNotice) {
        let is_from_keeper = self.recipients.kind_of(from) == LeaseSource::Keeper;
        self.poison.merge(notice, is_from_keeper);
    }

    /// Sends urgent changes at once, for as long as the host runs.
    pub(super) async fn run_quarantine(&self, hub: &PeerHub) {
        let settings = PaceSettings::default();
        let mut pace = NoticePace::new(self.clock.now(), settings);
        loop {
            tokio::select! {
                () = self.quarantine.changed() => {}
                () = self.poison.changed() => {}
            }
            let now = self.clock.now();
            self.send_quarantine_changes(hub, now, FURTHER_KEEPERS);
            pace.set_steady_gap(now, settings.steady_gap.max(self.notice_gap(hub, now)));
            sleep(pace.gap_after(now)).await;
        }
    }

    /// Time between two notices of this host after a burst, by the number of hosts that handle them.
    fn notice_gap(&self, hub: &PeerHub, now: MonotonicTime) -> Duration {
        let Some(discovery) = hub.discovery() else {
            return GAP_PER_RECIPIENT * count(hub.hosts().len());
        };
        if self.recipients.is_keeper() {
            let keepers = self.recipients.other_keepers(hub).len();
            return GAP_PER_RECIPIENT * count(keepers + self.recipients.followers(now).len());
        }
        GAP_PER_ENTRY * discovery.entry_count().unwrap_or(0)
    }

    /// Sends the changes since the last notice, to `further` keepers beside the followed one.
    pub(super) fn send_quarantine_changes(
        &self,
        hub: &PeerHub,
        now: MonotonicTime,
        further: usize,
    ) {
        let for_keepers = self.take_notices(NoticeAudience::Keepers);
        let for_followers = self.take_notices(NoticeAudience::Followers);
        if !for_keepers.is_empty() {
            send_notices(hub, &self.told_keepers(hub, now, further), for_keepers);
        }
        if self.recipients.is_keeper() && !for_followers.is_empty() {
            send_notices(hub, &self.recipients.followers(now), for_followers);
        }
    }

    fn take_notices(&self, audience: NoticeAudience) -> HostNotices {
        HostNotices {
            quarantine: self.quarantine.take_changes(audience),
            poison: self.poison.take_changes(audience),
        }
    }

    /// Sends all that is known of suspected parts and requests.
    pub(super) fn send_whole_quarantine(&self, hub: &PeerHub, now: MonotonicTime) {
        let notices = HostNotices {
            quarantine: self.quarantine.full_notice(),
            poison: self.poison.full_notice(),
        };
        if notices.is_empty() {
            return;
        }
        let mut hosts = self.told_keepers(hub, now, 0);
        if self.recipients.is_keeper() {
            hosts.extend(self.recipients.followers(now));
        }
        send_notices(hub, &hosts, notices);
    }

    /// Keepers that this host tells; with a fixed list of peers, all hosts.
    fn told_keepers(&self, hub: &PeerHub, now: MonotonicTime, further: usize) -> Vec<HostName> {
        let Some(discovery) = hub.discovery() else {
            return hub.hosts();
        };
        if self.recipients.is_keeper() {
            return self.recipients.other_keepers(hub);
        }
        let mut keepers: Vec<HostName> = self.recipients.hosts(hub, now).into_keys().collect();
        let others = hub.up_hosts().into_iter();
        let others: Vec<HostName> = others
            .filter(|host| discovery.is_keeper(host) && !keepers.contains(host))
            .collect();
        let others = others.into_iter();
        keepers.extend(others.sample(&mut rand::rng(), further));
        keepers
    }
}

fn count(hosts: usize) -> u32 {
    u32::try_from(hosts).unwrap_or(u32::MAX)
}

/// Notices for the same hosts, which go into one frame.
struct HostNotices {
    quarantine: QuarantineNotice,
    poison: PoisonNotice,
}

impl HostNotices {
    fn is_empty(&self) -> bool {
        self.quarantine.is_empty() && self.poison.is_empty()
    }
}

fn send_notices(hub: &PeerHub, hosts: &[HostName], notices: HostNotices) {
    if hosts.is_empty() {
        return;
    }
    let HostNotices { quarantine, poison } = notices;
    let frame = PeerFrame::Survey {
        notes: Vec::new(),
        pass_on: false,
        rates: None,
        partition: None,
        quarantine: Some(quarantine).filter(|notice| !notice.is_empty()),
        poison: Some(Box::new(poison)).filter(|notice| !notice.is_empty()),
        demand: None,
    };
    hub.send_to(hosts, &frame);
}
