//! Leases on their way from the host that hears a server, over keepers, to the hosts that follow those.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use pollendrift_coordination::base::{
    HostName, Incarnation, MonotonicTime, SequenceNumber, ServerName,
};
use pollendrift_coordination::leases::{
    AnnouncedLoad, AssignmentSettings, AssignmentTable, BackendLeaseSettings, DeltaCursor,
    HeartbeatHost, InitialSync, LeaseBatch, LeaseNumber, LeaseScope, LeaseSource, LeaseTable,
    MergeVerdict, NumberedRenewal, PackedRenewals, ServerAnnounce, ServerState,
};
use proptest::prelude::{any, prop, proptest};

/// Leases by name in one batch.
const BATCH: usize = 256;
/// Longest time that a batch is taken to have travelled.
const TRANSIT: Duration = Duration::from_millis(200);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn announce(server: usize, sequence: u64) -> ServerAnnounce {
    ServerAnnounce {
        server: format!("engine-{server:04}").into(),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(sequence),
        address: format!("10.0.{}.{}:8080", server / 200, server % 200).into(),
        data_centre: "dc-a".into(),
        state: ServerState::Serving,
        checks_fencing: true,
        offer: "{\"service\":\"drafts\",\"slots\":192,\"layers\":{\"from\":0,\"to\":20}}".into(),
        load: AnnouncedLoad::default(),
    }
}

/// A host's table, and how far it has told others.
struct LeaseHost {
    name: HostName,
    table: LeaseTable,
    cursors: BTreeMap<HostName, DeltaCursor>,
    /// How it tells hosts that it has not told anything.
    first: InitialSync,
}

impl LeaseHost {
    fn new(name: &str) -> Self {
        let settings = BackendLeaseSettings {
            lease: Duration::from_secs(5),
            ..BackendLeaseSettings::default()
        };
        Self {
            name: name.into(),
            table: LeaseTable::with_incarnation(settings, Incarnation(7)),
            cursors: BTreeMap::new(),
            first: InitialSync::Full,
        }
    }

    /// The batches that `to` has not been told.
    fn batches(&mut self, now: u64, to: &HostName, scope: LeaseScope) -> Vec<LeaseBatch> {
        let first = self.first;
        let cursor = self.cursors.entry(to.clone()).or_default();
        let mut batches = Vec::new();
        loop {
            let (batch, reached) = self.table.batch(at(now), *cursor, BATCH, scope, first);
            *cursor = reached;
            let is_full = batch.named.len() >= BATCH;
            batches.push(batch);
            if !is_full {
                return batches;
            }
        }
    }

    /// Tells `other` what is new, and answers what it asks for in return; returns the encoded bytes.
    fn tell(&mut self, now: u64, other: &mut Self, scope: LeaseScope, from: LeaseSource) -> usize {
        let mut batches = self.batches(now, &other.name, scope);
        let mut bytes = 0;
        while let Some(batch) = batches.pop() {
            bytes += encoded(&batch);
            let sender = (&self.name, from);
            let outcome = other.table.merge_batch(at(now), sender, batch, TRANSIT);
            let named = self.table.full_leases(at(now), &outcome.unknown_servers);
            let numbered = self
                .table
                .leases_by_number(at(now), &outcome.unknown_numbers);
            for named in [named, numbered] {
                if !named.is_empty() {
                    batches.push(LeaseBatch {
                        table: self.table.table_incarnation(),
                        named,
                        heard: PackedRenewals::default(),
                    });
                }
            }
        }
        bytes
    }

    fn serving(&self, now: u64) -> usize {
        let leases = self.table.iter();
        leases.filter(|lease| lease.is_serving(at(now))).count()
    }
}

fn encoded(batch: &LeaseBatch) -> usize {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(batch, &mut bytes);
    assert!(written.is_ok(), "a batch is encoded");
    bytes.len()
}

// Guards against heartbeats that cost a keeper more with every host: 3,000 servers are heard each 1.2 s,
// by entries and by keepers, and each follower of a keeper is told of all of them.
#[test]
fn heartbeat_fan_out_costs_a_follower_a_few_bytes_a_server() {
    const SERVERS: usize = 3_000;
    let mut near = LeaseHost::new("keeper-1");
    let mut far = LeaseHost::new("keeper-2");
    let mut entry = LeaseHost::new("entry-1");
    let mut follower = LeaseHost::new("entry-2");
    for server in 0..SERVERS {
        near.table.merge(at(0), announce(server, 1));
    }
    near.tell(
        100,
        &mut far,
        LeaseScope::OwnAndFollowers,
        LeaseSource::Keeper,
    );
    far.tell(200, &mut entry, LeaseScope::All, LeaseSource::Keeper);
    far.tell(200, &mut follower, LeaseScope::All, LeaseSource::Keeper);
    // The entry's servers are named to its keeper once.
    for server in (0..SERVERS).step_by(100) {
        entry.table.merge(at(600), announce(server, 2));
    }
    entry.tell(700, &mut far, LeaseScope::Own, LeaseSource::Peer);
    let mut bytes = (0, 0);
    for beat in 1..=10 {
        let now = 1_200 * beat;
        for server in 0..SERVERS {
            // One server in a hundred goes to the entry, as the others go to hundreds like it.
            let hearer = if server % 100 == 0 {
                &mut entry
            } else {
                &mut near
            };
            let verdict = hearer.table.merge(at(now), announce(server, 2 + beat));
            assert_eq!(verdict, MergeVerdict::Renewed);
        }
        bytes.0 += entry.tell(now + 100, &mut far, LeaseScope::Own, LeaseSource::Peer);
        near.tell(
            now + 100,
            &mut far,
            LeaseScope::OwnAndFollowers,
            LeaseSource::Keeper,
        );
        bytes.1 += far.tell(
            now + 300,
            &mut follower,
            LeaseScope::All,
            LeaseSource::Keeper,
        );
    }
    assert_eq!(follower.serving(12_300), SERVERS);
    let (up, down) = (bytes.0 / 10, bytes.1 / 10);
    assert!(up <= 30 * 6 + 100, "{up} bytes a round from 30 servers");
    assert!(down <= SERVERS * 5, "{down} bytes a round to a follower");
}

// Guards against a dead server that stays alive by hearsay: each host adds the age that a word has.
#[test]
fn a_silent_server_ends_everywhere_within_its_lease() {
    let mut entry = LeaseHost::new("entry-1");
    let mut near = LeaseHost::new("keeper-1");
    let mut far = LeaseHost::new("keeper-2");
    let mut follower = LeaseHost::new("entry-2");
    near.table.merge(at(0), announce(1, 1));
    for now in (200..12_000).step_by(200) {
        near.tell(now, &mut entry, LeaseScope::All, LeaseSource::Keeper);
        if now == 1_200 {
            entry.table.merge(at(now), announce(1, 2));
        }
        entry.tell(now, &mut near, LeaseScope::Own, LeaseSource::Peer);
        near.tell(
            now,
            &mut far,
            LeaseScope::OwnAndFollowers,
            LeaseSource::Keeper,
        );
        far.tell(
            now,
            &mut near,
            LeaseScope::OwnAndFollowers,
            LeaseSource::Keeper,
        );
        far.tell(now, &mut follower, LeaseScope::All, LeaseSource::Keeper);
        let hosts = [&entry, &near, &far, &follower];
        let serving: Vec<usize> = hosts.map(|host| host.serving(now)).to_vec();
        if now < 5_000 {
            assert!(now <= 200 || serving == [1, 1, 1, 1], "{now}: {serving:?}");
        }
        if now > 6_200 {
            assert_eq!(serving, [0, 0, 0, 0], "{now}");
        }
        for host in [&mut entry, &mut near, &mut far, &mut follower] {
            host.table.tick(at(now));
        }
    }
}

// Guards against leases that end while a host turns to another keeper, whose numbers it does not know.
#[test]
fn a_host_that_follows_another_keeper_keeps_its_leases() {
    const SERVERS: usize = 600;
    let mut first = LeaseHost::new("keeper-1");
    let mut second = LeaseHost::new("keeper-2");
    second.first = InitialSync::NamesOnly;
    let mut follower = LeaseHost::new("entry-1");
    let mut bytes = Vec::new();
    for beat in 0..8 {
        let now = 1_200 * beat;
        for server in 0..SERVERS {
            first.table.merge(at(now), announce(server, 1 + beat));
        }
        first.tell(
            now + 100,
            &mut second,
            LeaseScope::OwnAndFollowers,
            LeaseSource::Keeper,
        );
        let followed = if beat < 4 { &mut first } else { &mut second };
        let told = followed.tell(
            now + 200,
            &mut follower,
            LeaseScope::All,
            LeaseSource::Keeper,
        );
        bytes.push(told);
        assert_eq!(follower.serving(now + 1_199), SERVERS, "beat {beat}");
    }
    // The contents are held already, so the other keeper tells names alone.
    assert!(bytes[4] < bytes[0] / 2, "{bytes:?}");
    assert!(bytes[5] < bytes[4] / 4, "{bytes:?}");
}

// Guards against work for a server that leaves, sent by a host whose keeper stands still.
#[test]
fn a_leave_is_told_once_to_every_host() {
    let mut keeper = LeaseHost::new("keeper-1");
    for server in 0..3 {
        keeper.table.merge(at(0), announce(server, 1));
    }
    let (left, version) = keeper.table.leaving_since(at(100), 0);
    assert_eq!(left, []);
    let leaving = ServerAnnounce {
        state: ServerState::Leaving,
        ..announce(1, 2)
    };
    keeper.table.merge(at(200), leaving);
    let (left, version) = keeper.table.leaving_since(at(300), version);
    let servers: Vec<&ServerName> = left.iter().map(|named| named.delta.server()).collect();
    assert_eq!(servers, [&ServerName::from("engine-0001")]);
    let mut stranger = LeaseHost::new("entry-1");
    stranger.table.merge(at(0), announce(1, 1));
    let batch = LeaseBatch {
        table: keeper.table.table_incarnation(),
        named: left,
        heard: PackedRenewals::default(),
    };
    let sender = (&keeper.name, LeaseSource::Keeper);
    stranger.table.merge_batch(at(400), sender, batch, TRANSIT);
    assert_eq!(stranger.serving(400), 0);
    assert_eq!(keeper.table.leaving_since(at(500), version).0, []);
}

// Guards against numbers of an earlier process: they name other leases than those of the present one.
#[test]
fn numbers_of_an_earlier_process_renew_nothing() {
    let mut sender = LeaseHost::new("keeper-1");
    let mut receiver = LeaseHost::new("entry-1");
    sender.table.merge(at(0), announce(1, 1));
    sender.tell(100, &mut receiver, LeaseScope::Own, LeaseSource::Keeper);
    let batch = LeaseBatch {
        table: Incarnation(8),
        named: Vec::new(),
        heard: PackedRenewals::pack(vec![NumberedRenewal {
            number: LeaseNumber(1),
            age: Duration::ZERO,
        }]),
    };
    let from = (&sender.name, LeaseSource::Keeper);
    let outcome = receiver.table.merge_batch(at(4_000), from, batch, TRANSIT);
    assert_eq!(outcome.merged, []);
    assert_eq!(outcome.unknown_numbers, [LeaseNumber(1)]);
    assert_eq!(receiver.serving(5_500), 0);
}

fn hosts(count: usize) -> Vec<HeartbeatHost> {
    let host = |index: usize| HeartbeatHost {
        host: format!("entry-{index:03}").into(),
        data_centre: format!("dc-{}", index % 3).as_str().into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
    };
    (0..count).map(host).collect()
}

// Guards against a server that is named the same unreachable host again and again, and against one host
// that gets most of the heartbeats of a data centre.
#[test]
fn heartbeats_are_spread_and_move_on_from_a_host_that_is_not_reached() {
    let hosts = hosts(291);
    let mut keeper = AssignmentTable::new(AssignmentSettings::default());
    let mut shares: BTreeMap<&HostName, u32> = BTreeMap::new();
    for server in 0..3_000 {
        let name = ServerName::from(format!("engine-{server}"));
        let centre = format!("dc-{}", server % 3).as_str().into();
        let named = keeper.assign(at(0), &name, &centre, false, &hosts);
        let named = named.expect("a host of the data centre");
        assert_eq!(named.data_centre, centre);
        *shares.entry(&named.host).or_default() += 1;
    }
    assert!(shares.values().all(|share| *share <= 30), "{shares:?}");

    let (server, centre) = (ServerName::from("engine-1"), "dc-1".into());
    let mut seen = Vec::new();
    for back in 0..5 {
        let now = at(10_000 + back * 1_200);
        let named = keeper.assign(now, &server, &centre, back > 0, &hosts);
        seen.push(named.map(|host| host.host.clone()));
    }
    let mut apart = seen.clone();
    apart.sort();
    apart.dedup();
    assert_eq!(apart.len(), 5, "{seen:?}");
    let later = keeper.assign(at(60_000), &server, &centre, false, &hosts);
    assert_eq!(later.map(|host| host.host.clone()), seen[0]);
    let nowhere = keeper.assign(at(60_000), &server, &"dc-9".into(), false, &hosts);
    assert_eq!(nowhere, None);
}

proptest! {
    // Guards against a packed list that loses a heartbeat, or makes one younger than it was.
    #[test]
    fn heartbeats_survive_packing(heard in prop::collection::btree_map(any::<u32>(), 0_u64..10_000, 0..64)) {
        let leases = heard.iter().map(|(number, age)| NumberedRenewal {
            number: LeaseNumber(*number),
            age: Duration::from_millis(*age),
        });
        let unpacked = PackedRenewals::pack(leases.clone().collect()).unpack().expect("its own bytes");
        assert_eq!(unpacked.len(), heard.len());
        for (lease, unpacked) in leases.zip(unpacked) {
            assert_eq!(lease.number, unpacked.number);
            assert!(unpacked.age >= lease.age && unpacked.age < lease.age + Duration::from_millis(10));
        }
    }

    // Guards against bytes of a stranger that end the process.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut encoded = Vec::new();
        ciborium::into_writer(&ciborium::Value::Bytes(bytes), &mut encoded).expect("bytes");
        let leases: PackedRenewals = ciborium::from_reader(encoded.as_slice()).expect("a byte string");
        let _ = leases.unpack();
    }
}
