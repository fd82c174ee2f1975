//! Decides from the ends of servers whether a request caused them.

use std::collections::{BTreeMap, BTreeSet};

use super::chance::chance_of;
use super::digest::ContentDigest;
use super::interface::SendNumber;
use super::losses::{LossRecord, LossTable};
use super::settings::PoisonSettings;
use crate::base::MonotonicTime;

/// Ends of servers under one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Evidence {
    /// Sends under which servers ended. A send all of whose servers ended, and no others beside them,
    /// counts once for each server.
    pub(super) ends: u32,
    /// The same, with each send counted once.
    pub(super) sends: u32,
    /// Servers that ended under it.
    pub(super) servers: u32,
    /// Further sends under which servers are silent.
    pub(super) unsure: u32,
    /// Servers that ended at the same time, did not have it, and had no request that is stopped.
    pub(super) others: u32,
    /// Most servers that one of these sends was to.
    pub(super) most_servers: u16,
}

impl Evidence {
    /// Collects the ends of servers under a request since its last whole answer, at `cleared_at`;
    /// `None` if there are none.
    pub(super) fn collect(
        losses: &LossTable,
        settings: &PoisonSettings,
        digest: ContentDigest,
        cleared_at: Option<MonotonicTime>,
    ) -> Option<Self> {
        let own = losses.records_under(digest);
        let own: Vec<&LossRecord> = own
            .filter(|record| cleared_at.is_none_or(|cleared_at| record.at > cleared_at))
            .collect();
        if own.is_empty() {
            return None;
        }
        let (own, silent): (Vec<&LossRecord>, Vec<&LossRecord>) =
            own.into_iter().partition(|record| record.is_sure());
        let unsure = unsure_sends(digest, &own, &silent);
        // The usual case by far, in which the other ends decide nothing.
        if own.len() < 2 {
            let ends = count(own.len());
            return Some(Self {
                ends,
                sends: ends,
                servers: ends,
                unsure,
                ..Self::default()
            });
        }
        let is_beside = |record: &LossRecord, own: &LossRecord| {
            let apart = record.at.since(own.at).max(own.at.since(record.at));
            apart <= settings.common_reason_time && record.service == own.service
        };
        let others: Vec<&LossRecord> = losses
            .records()
            .map(|(_, record)| record)
            .filter(|record| record.stopped.is_empty())
            .filter(|record| own.iter().any(|own| is_beside(record, own)))
            .filter(|record| !record.has(digest))
            .collect();
        let mut sends: BTreeMap<SendNumber, SendLosses<'_>> = BTreeMap::new();
        for record in &own {
            for (send, servers) in record.sends(digest) {
                let of_send = sends.entry(send).or_default();
                of_send.servers = servers;
                of_send.lost.push(record);
            }
        }
        let ends = sends.values().map(|send| {
            let has_others = send
                .lost
                .iter()
                .any(|own| others.iter().any(|other| is_beside(other, own)));
            if send.is_complete() && !has_others {
                count(send.lost.len())
            } else {
                1
            }
        });
        let servers = count(own.len());
        Some(Self {
            ends: ends.sum::<u32>().min(servers),
            sends: count(sends.len()).min(servers),
            servers,
            unsure,
            others: count(others.len()),
            most_servers: sends.values().map(|send| send.servers).max().unwrap_or(0),
        })
    }

    /// Sends that may have ended servers.
    pub(super) fn possible_sends(&self) -> u32 {
        self.sends.saturating_add(self.unsure)
    }

    /// Ends that count if all silent servers turn out to have ended.
    pub(super) fn possible_ends(&self) -> u32 {
        self.ends.saturating_add(self.unsure)
    }

    /// Whether the request must not be sent any more. Its service has `known_servers`; 0 if that is not
    /// known.
    pub(super) fn is_conclusive(&self, settings: &PoisonSettings, known_servers: u32) -> bool {
        if self.ends < settings.max_ends {
            return false;
        }
        let share = f64::from(self.most_servers) / f64::from(known_servers.max(1));
        let is_coincidence =
            self.others > 0 && known_servers > 0 && chance_of(self, share) > settings.max_chance;
        let is_excused = self.servers <= self.others && self.sends < settings.max_excused_ends;
        !is_coincidence && !is_excused
    }
}

/// Servers of one send that ended.
#[derive(Default)]
struct SendLosses<'losses> {
    servers: u16,
    lost: Vec<&'losses LossRecord>,
}

impl SendLosses<'_> {
    fn is_complete(&self) -> bool {
        self.lost.len() >= usize::from(self.servers)
    }
}

/// Number of sends under which servers are silent and none has certainly ended.
fn unsure_sends(digest: ContentDigest, sure: &[&LossRecord], silent: &[&LossRecord]) -> u32 {
    let sends_of = |records: &[&LossRecord]| -> BTreeSet<SendNumber> {
        let sends = records.iter().flat_map(|record| record.sends(digest));
        sends.map(|(send, _)| send).collect()
    };
    let (sure, silent) = (sends_of(sure), sends_of(silent));
    count(silent.difference(&sure).count())
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
