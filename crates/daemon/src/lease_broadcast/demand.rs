//! Exchanges the demand for rate-limited servers and for services between hosts.
//!
//! A host that serves callers reports to the keeper that it follows. Keepers report the sum of
//! their followers to each other, and the sum of all hosts to their followers. Hosts with a fixed
//! list of peers report to all of them.

use std::sync::PoisonError;

use pollendrift_coordination::backpressure::RateBatch;
use pollendrift_coordination::base::{HostName, MonotonicTime};
use pollendrift_coordination::demand::{DemandBatch, ReportSender};
use pollendrift_coordination::leases::LeaseSource;

use super::LeaseBroadcaster;
use crate::peers::{PeerFrame, PeerHub};

/// Maximum number of reports about servers in one frame. The table of services is smaller.
const FRAME_REPORTS: usize = 512;

impl LeaseBroadcaster {
    /// Applies the reports of the peer `from` about rate-limited servers.
    pub fn receive_rates(&self, from: &HostName, batch: &RateBatch) {
        let now = self.clock.now();
        let sender = self.sender_of(from);
        self.fleet.rates().apply_batch(now, from, sender, batch);
    }

    /// Applies the reports of the peer `from` about services.
    pub fn receive_demand(&self, from: &HostName, batch: &DemandBatch) {
        let now = self.clock.now();
        let sender = self.sender_of(from);
        let invalid = self.fleet.demand().apply_batch(now, from, sender, batch);
        if let Some(invalid) = invalid {
            log::warn!(host:% = from, reason:% = invalid; "invalid demand reports ignored");
        }
    }

    /// Sends reports about rate-limited servers and services, if there are any. A lost report is
    /// corrected by the next one.
    pub(super) fn send_demand(&self, hub: &PeerHub, now: MonotonicTime) {
        if !self.recipients.is_keeper() {
            let rates = self.fleet.rates().report_own(now);
            let demand = self.fleet.demand().report_own(now);
            let hosts: Vec<HostName> = self.recipients.hosts(hub, now).into_keys().collect();
            self.withdraw_reports(hub, &hosts);
            return send_reports(hub, &hosts, rates, demand);
        }
        let (rates_of_followers, all_rates) = {
            let mut rates = self.fleet.rates();
            (rates.report_followers(now), rates.report_all(now))
        };
        let (demand_of_followers, all_demand) = {
            let mut demand = self.fleet.demand();
            (demand.report_followers(now), demand.report_all(now))
        };
        let keepers = self.recipients.other_keepers(hub);
        send_reports(hub, &keepers, rates_of_followers, demand_of_followers);
        let followers = self.recipients.followers(now);
        send_reports(hub, &followers, all_rates, all_demand);
    }

    /// Withdraws the reports of this host from hosts that got the last ones and don't get the next
    /// ones. If a withdrawal is lost, the reports expire.
    fn withdraw_reports(&self, hub: &PeerHub, hosts: &[HostName]) {
        let mut reported_to = self
            .reported_to
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut former = std::mem::replace(&mut *reported_to, hosts.to_vec());
        drop(reported_to);
        former.retain(|host| !hosts.contains(host));
        if former.is_empty() {
            return;
        }
        let rates = self.fleet.rates().withdrawal();
        let demand = self.fleet.demand().withdrawal();
        send_reports(hub, &former, rates, demand);
    }

    fn sender_of(&self, host: &HostName) -> ReportSender {
        match self.recipients.kind_of(host) {
            LeaseSource::Keeper => ReportSender::Keeper,
            _ => ReportSender::Entry,
        }
    }
}

/// Sends reports to `hosts`, in one frame unless there are many.
fn send_reports(hub: &PeerHub, hosts: &[HostName], rates: RateBatch, demand: DemandBatch) {
    if hosts.is_empty() {
        return;
    }
    let mut demand = Some(demand).filter(|batch| !batch.is_empty());
    let chunks = rates.reports.chunks(FRAME_REPORTS);
    let mut frames: Vec<PeerFrame> = chunks
        .map(|reports| {
            let rates = RateBatch {
                scope: rates.scope,
                reports: reports.to_vec(),
            };
            report_frame(Some(rates), demand.take())
        })
        .collect();
    if demand.is_some() {
        frames.push(report_frame(None, demand));
    }
    for frame in frames {
        hub.send_to(hosts, &frame);
    }
}

fn report_frame(rates: Option<RateBatch>, demand: Option<DemandBatch>) -> PeerFrame {
    PeerFrame::Survey {
        notes: Vec::new(),
        pass_on: false,
        rates,
        partition: None,
        quarantine: None,
        poison: None,
        demand,
    }
}
