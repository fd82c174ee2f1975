//! Assignment of backend servers to entries, for a fleet in which an entry cannot use every
//! server.
//!
//! With rendezvous hashing every host computes the same result from the same list of hosts, a host
//! that joins or leaves moves only its own servers, and no host stores a table. Each server gets
//! `entries_per_server` entries of its own region.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::base::{DataCentreName, HostName, ServerName};

/// Settings of the assignment of servers to entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubsetSettings {
    /// Number of entries that send requests to each server.
    #[serde(rename = "overlap")]
    pub entries_per_server: usize,
    /// Number of hosts up to which each host sends requests to every server.
    #[serde(rename = "whole_up_to")]
    pub all_servers_up_to: usize,
}

impl Default for SubsetSettings {
    fn default() -> Self {
        Self {
            entries_per_server: 4,
            all_servers_up_to: 32,
        }
    }
}

/// An entry to which servers can be assigned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetHost {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Region of the data centre; servers are assigned only to hosts of their own region.
    pub region: DataCentreName,
}

/// Returns the entries that send requests to `server`, best first: up to `entries_per_server`
/// entries of its region, one per data centre before any data centre gets a second.
///
/// With at most `all_servers_up_to` hosts it returns all of them, regardless of their region.
pub fn entries_of<'hosts>(
    settings: &SubsetSettings,
    server: &ServerName,
    region: &DataCentreName,
    hosts: &'hosts [SubsetHost],
) -> Vec<&'hosts SubsetHost> {
    if hosts.len() <= settings.all_servers_up_to {
        return hosts.iter().collect();
    }
    let local = hosts.iter().filter(|host| host.region == *region);
    let mut ranked: Vec<_> = local
        .map(|host| (weight(server, &host.host), host))
        .collect();
    ranked.sort_by(|one, other| {
        (Reverse(one.0), &one.1.host).cmp(&(Reverse(other.0), &other.1.host))
    });
    // The loss of one data centre must not remove all entries of a server.
    let mut rounds: Vec<(usize, &SubsetHost)> = Vec::with_capacity(ranked.len());
    for (_, host) in ranked {
        let same = |(_, other): &&(usize, &SubsetHost)| other.data_centre == host.data_centre;
        rounds.push((rounds.iter().filter(same).count(), host));
    }
    rounds.sort_by_key(|(round, _)| *round);
    let selected = rounds.into_iter().map(|(_, host)| host);
    selected.take(settings.entries_per_server).collect()
}

/// Whether `host` sends requests to `server`.
pub fn may_use_server(
    settings: &SubsetSettings,
    host: &HostName,
    server: &ServerName,
    region: &DataCentreName,
    hosts: &[SubsetHost],
) -> bool {
    let entries = entries_of(settings, server, region, hosts);
    entries.iter().any(|entry| entry.host == *host)
}

/// Weight of a server and a host in rendezvous hashing; the host with the highest weight wins.
fn weight(server: &ServerName, host: &HostName) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update((server.as_str().len() as u64).to_be_bytes());
    hasher.update(server.as_str().as_bytes());
    hasher.update(host.as_str().as_bytes());
    let bytes: [u8; 32] = hasher.finalize().into();
    let (first, _) = bytes.split_at(8);
    first
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;

    fn hosts(count: usize) -> Vec<SubsetHost> {
        let host = |index: usize| SubsetHost {
            host: format!("host-{index}").into(),
            data_centre: format!("dc-{}", index % 14).into(),
            region: format!("region-{}", index % 14 % 4).into(),
        };
        (0..count).map(host).collect()
    }

    fn server(index: usize) -> (ServerName, DataCentreName) {
        let region = format!("region-{}", index % 4).into();
        (format!("engine-{index}").into(), region)
    }

    // Guards against servers whose entries are all in one data centre and are lost with it, and
    // uneven hashing, which overloads some entries. Checks the spread over data centres and
    // entries.
    #[test]
    fn servers_spread_evenly_over_data_centres_of_their_region() {
        let settings = SubsetSettings::default();
        let hosts = hosts(400);
        let mut shares = BTreeMap::new();
        for index in 0..2_000 {
            let (server, region) = server(index);
            let entries = entries_of(&settings, &server, &region, &hosts);
            let mut centres: Vec<_> = entries.iter().map(|e| &e.data_centre).collect();
            centres.sort();
            centres.dedup();
            assert_eq!(
                (entries.len(), centres.len()),
                (
                    4,
                    entries
                        .len()
                        .min(if matches!(index % 4, 0 | 1) { 4 } else { 3 })
                )
            );
            assert!(entries.iter().all(|entry| entry.region == region));
            for entry in entries {
                *shares.entry(&entry.host).or_insert(0_u32) += 1;
            }
        }
        let span = (shares.values().min(), shares.values().max());
        insta::assert_snapshot!(format!("{} hosts, {span:?}", shares.len()), @"400 hosts, (Some(9), Some(35))");
    }

    // Guards against the loss of an entry that moves servers of other entries: callers would lose
    // many engines at once. Two of 400 entries are lost; only the servers assigned to them get new
    // entries.
    #[test]
    fn losing_an_entry_moves_only_its_own_servers() {
        let settings = SubsetSettings::default();
        let all = hosts(400);
        let left: Vec<_> = all
            .iter()
            .filter(|h| !["host-7", "host-8"].contains(&h.host.as_str()))
            .cloned()
            .collect();
        let mut moved = 0;
        for index in 0..2_000 {
            let (server, region) = server(index);
            let before = entries_of(&settings, &server, &region, &all);
            let after = entries_of(&settings, &server, &region, &left);
            let kept = before.iter().filter(|entry| after.contains(entry)).count();
            let lost = before.iter().filter(|entry| !left.contains(entry)).count();
            assert_eq!(kept + lost, before.len(), "{server}");
            moved += lost;
        }
        insta::assert_snapshot!(format!("{moved} of 8000"), @"37 of 8000");
    }

    // Guards against a small installation in which a server has only a few entries, although every
    // host can use all servers.
    #[test]
    fn few_hosts_work_with_every_server() {
        let settings = SubsetSettings::default();
        let hosts = hosts(9);
        let (server, region) = server(3);
        assert!(
            hosts
                .iter()
                .all(|h| may_use_server(&settings, &h.host, &server, &region, &hosts))
        );
    }
}
