//! Exchanges the demand for rate-limited servers between hosts.
//!
//! A host that serves callers reports to the keeper that it follows. Keepers report the sum of
//! their followers to each other, and the sum of all hosts to their followers. Hosts with a fixed
//! list of peers report to all of them.

use pollendrift_coordination::backpressure::{RateBatch, ReportSender};
use pollendrift_coordination::base::{HostName, MonotonicTime};
use pollendrift_coordination::leases::LeaseSource;

use super::LeaseBroadcaster;
use crate::peers::{PeerFrame, PeerHub};

/// Maximum number of reports in one frame.
const FRAME_REPORTS: usize = 512;

impl LeaseBroadcaster {
    /// Applies the reports of the peer `from`.
    pub fn receive_rates(&self, from: &HostName, batch: &RateBatch) {
        let sender = match self.recipients.kind_of(from) {
            LeaseSource::Keeper => ReportSender::Keeper,
            _ => ReportSender::Entry,
        };
        let now = self.clock.now();
        self.fleet.rates().apply_batch(now, from, sender, batch);
    }

    /// Sends reports about rate-limited servers, if there are any. A lost report is corrected by
    /// the next one.
    pub(super) fn send_rates(&self, hub: &PeerHub, now: MonotonicTime) {
        let is_keeper = self.recipients.is_keeper();
        if !is_keeper {
            let batch = self.fleet.rates().report_own(now);
            let hosts: Vec<HostName> = self.recipients.hosts(hub, now).into_keys().collect();
            return send_batch(hub, &hosts, batch);
        }
        let (followers, all) = {
            let mut rates = self.fleet.rates();
            (rates.report_followers(now), rates.report_all(now))
        };
        send_batch(hub, &self.recipients.other_keepers(hub), followers);
        send_batch(hub, &self.recipients.followers(now), all);
    }
}

fn send_batch(hub: &PeerHub, hosts: &[HostName], batch: RateBatch) {
    if hosts.is_empty() {
        return;
    }
    for reports in batch.reports.chunks(FRAME_REPORTS) {
        let rates = RateBatch {
            scope: batch.scope,
            reports: reports.to_vec(),
        };
        let frame = PeerFrame::Survey {
            notes: Vec::new(),
            pass_on: false,
            rates: Some(rates),
            partition: None,
            quarantine: None,
        };
        hub.send_to(hosts, &frame);
    }
}
