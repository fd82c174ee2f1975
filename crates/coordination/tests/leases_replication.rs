//! Replication of leases from the host that receives a server's heartbeats, over keepers, to the
//! hosts that follow those keepers.

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

/// Maximum number of leases by name in one batch.
const BATCH_LIMIT: usize = 256;
/// Assumed maximum transit time of a batch.
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

/// A host's lease table and its cursors for the other hosts.
struct LeaseHost {
    name: HostName,
    table: LeaseTable,
    cursors: BTreeMap<HostName, DeltaCursor>,
    /// Form of the first batches to a host.
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

    /// Returns the batches that `to` has not been sent.
    fn batches(&mut self, now: u64, to: &HostName, scope: LeaseScope) -> Vec<LeaseBatch> {
        let first = self.first;
        let cursor = self.cursors.entry(to.clone()).or_default();
        let mut batches = Vec::new();
        loop {
            let (batch, reached) = self
                .table
                .batch(at(now), *cursor, BATCH_LIMIT, scope, first);
            *cursor = reached;
            let is_full = batch.named.len() >= BATCH_LIMIT;
            batches.push(batch);
            if !is_full {
                return batches;
            }
        }
    }

    /// Sends `other` the new batches and the leases that it requests in reply. Returns the number
    /// of encoded bytes.
    fn replicate(
        &mut self,
        now: u64,
        other: &mut Self,
        scope: LeaseScope,
        from: LeaseSource,
    ) -> usize {
        let mut batches = self.batches(now, &other.name, scope);
        let mut bytes = 0;
        while let Some(batch) = batches.pop() {
            bytes += encoded_size(&batch);
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
                        renewals: PackedRenewals::default(),
                        receipt: None,
                    });
                }
            }
        }
        bytes
    }

    fn serving_count(&self, now: u64) -> usize {
        let leases = self.table.iter();
        leases.filter(|lease| lease.is_serving(at(now))).count()
    }
}

fn encoded_size(batch: &LeaseBatch) -> usize {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(batch, &mut bytes);
    assert!(written.is_ok(), "the batch can't be encoded");
    bytes.len()
}

// Guards against heartbeats whose cost at a keeper grows with every host. Each of 3,000 servers sends
// a heartbeat every 1.2 s, to an entry or a keeper, and a keeper sends all of them to each follower.
#[test]
fn heartbeat_fan_out_takes_a_few_bytes_per_server_and_follower() {
    const SERVERS: usize = 3_000;
    let mut first_keeper = LeaseHost::new("keeper-1");
    let mut second_keeper = LeaseHost::new("keeper-2");
    let mut entry = LeaseHost::new("entry-1");
    let mut follower = LeaseHost::new("entry-2");
    for server in 0..SERVERS {
        first_keeper.table.merge(at(0), announce(server, 1));
    }
    first_keeper.replicate(
        100,
        &mut second_keeper,
        LeaseScope::OwnAndFollowers,
        LeaseSource::Keeper,
    );
    second_keeper.replicate(200, &mut entry, LeaseScope::All, LeaseSource::Keeper);
    second_keeper.replicate(200, &mut follower, LeaseScope::All, LeaseSource::Keeper);
    // The entry sends its servers to its keeper by name once.
    for server in (0..SERVERS).step_by(100) {
        entry.table.merge(at(600), announce(server, 2));
    }
    entry.replicate(700, &mut second_keeper, LeaseScope::Own, LeaseSource::Peer);
    let mut bytes = (0, 0);
    for round in 1..=10 {
        let now = 1_200 * round;
        for server in 0..SERVERS {
            // One server in a hundred heartbeats to this entry; the others stand for the servers of
            // hundreds of such entries.
            let receiver = if server % 100 == 0 {
                &mut entry
            } else {
                &mut first_keeper
            };
            let verdict = receiver.table.merge(at(now), announce(server, 2 + round));
            assert_eq!(verdict, MergeVerdict::Renewed);
        }
        bytes.0 += entry.replicate(
            now + 100,
            &mut second_keeper,
            LeaseScope::Own,
            LeaseSource::Peer,
        );
        first_keeper.replicate(
            now + 100,
            &mut second_keeper,
            LeaseScope::OwnAndFollowers,
            LeaseSource::Keeper,
        );
        bytes.1 += second_keeper.replicate(
            now + 300,
            &mut follower,
            LeaseScope::All,
            LeaseSource::Keeper,
        );
    }
    assert_eq!(follower.serving_count(12_300), SERVERS);
    let (up, down) = (bytes.0 / 10, bytes.1 / 10);
    assert!(up <= 30 * 6 + 100, "{up} bytes per round from 30 servers");
    assert!(down <= SERVERS * 5, "{down} bytes per round to a follower");
}

// Guards against a crashed server whose lease hosts keep renewing for each other. Each host sends the
// age of a renewal with it, so that forwarded renewals expire.
#[test]
fn the_lease_of_a_crashed_server_expires_on_every_host() {
    let mut entry = LeaseHost::new("entry-1");
    let mut first_keeper = LeaseHost::new("keeper-1");
    let mut second_keeper = LeaseHost::new("keeper-2");
    let mut follower = LeaseHost::new("entry-2");
    first_keeper.table.merge(at(0), announce(1, 1));
    for now in (200..12_000).step_by(200) {
        first_keeper.replicate(now, &mut entry, LeaseScope::All, LeaseSource::Keeper);
        if now == 1_200 {
            entry.table.merge(at(now), announce(1, 2));
        }
        entry.replicate(now, &mut first_keeper, LeaseScope::Own, LeaseSource::Peer);
        first_keeper.replicate(
            now,
            &mut second_keeper,
            LeaseScope::OwnAndFollowers,
            LeaseSource::Keeper,
        );
        second_keeper.replicate(
            now,
            &mut first_keeper,
            LeaseScope::OwnAndFollowers,
            LeaseSource::Keeper,
        );
        second_keeper.replicate(now, &mut follower, LeaseScope::All, LeaseSource::Keeper);
        let hosts = [&entry, &first_keeper, &second_keeper, &follower];
        let serving: Vec<usize> = hosts.map(|host| host.serving_count(now)).to_vec();
        if now < 5_000 {
            assert!(now <= 200 || serving == [1, 1, 1, 1], "{now}: {serving:?}");
        }
        if now > 6_200 {
            assert_eq!(serving, [0, 0, 0, 0], "{now}");
        }
        for host in [
            &mut entry,
            &mut first_keeper,
            &mut second_keeper,
            &mut follower,
        ] {
            host.table.tick(at(now));
        }
    }
}

// Guards against leases that expire when a host follows another keeper, whose lease numbers it does
// not know yet.
#[test]
fn a_host_keeps_its_leases_when_it_follows_another_keeper() {
    const SERVERS: usize = 600;
    let mut first = LeaseHost::new("keeper-1");
    let mut second = LeaseHost::new("keeper-2");
    second.first = InitialSync::NamesOnly;
    let mut follower = LeaseHost::new("entry-1");
    let mut bytes = Vec::new();
    for round in 0..8 {
        let now = 1_200 * round;
        for server in 0..SERVERS {
            first.table.merge(at(now), announce(server, 1 + round));
        }
        first.replicate(
            now + 100,
            &mut second,
            LeaseScope::OwnAndFollowers,
            LeaseSource::Keeper,
        );
        let followed = if round < 4 { &mut first } else { &mut second };
        let sent = followed.replicate(
            now + 200,
            &mut follower,
            LeaseScope::All,
            LeaseSource::Keeper,
        );
        bytes.push(sent);
        assert_eq!(
            follower.serving_count(now + 1_199),
            SERVERS,
            "round {round}"
        );
    }
    // The follower already has the contents, so the second keeper sends only names.
    assert!(bytes[4] < bytes[0] / 2, "{bytes:?}");
    assert!(bytes[5] < bytes[4] / 4, "{bytes:?}");
}

// Guards against work for a leaving server, sent by a host whose own keeper hangs. A keeper sends
// each leaving announcement to every host, and only once.
#[test]
fn a_leaving_announcement_is_sent_once_to_every_host() {
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
    let mut other = LeaseHost::new("entry-1");
    other.table.merge(at(0), announce(1, 1));
    let batch = LeaseBatch {
        table: keeper.table.table_incarnation(),
        named: left,
        renewals: PackedRenewals::default(),
        receipt: None,
    };
    let sender = (&keeper.name, LeaseSource::Keeper);
    other.table.merge_batch(at(400), sender, batch, TRANSIT);
    assert_eq!(other.serving_count(400), 0);
    assert_eq!(keeper.table.leaving_since(at(500), version).0, []);
}

// Guards against renewals by lease numbers of an earlier process. After a restart of the sender the
// same numbers refer to other leases.
#[test]
fn lease_numbers_of_an_earlier_process_renew_nothing() {
    let mut sender = LeaseHost::new("keeper-1");
    let mut receiver = LeaseHost::new("entry-1");
    sender.table.merge(at(0), announce(1, 1));
    sender.replicate(100, &mut receiver, LeaseScope::Own, LeaseSource::Keeper);
    let batch = LeaseBatch {
        table: Incarnation(8),
        named: Vec::new(),
        renewals: PackedRenewals::pack(vec![NumberedRenewal {
            number: LeaseNumber(1),
            age: Duration::ZERO,
        }]),
        receipt: None,
    };
    let from = (&sender.name, LeaseSource::Keeper);
    let outcome = receiver.table.merge_batch(at(4_000), from, batch, TRANSIT);
    assert_eq!(outcome.merged, []);
    assert_eq!(outcome.unknown_numbers, [LeaseNumber(1)]);
    assert_eq!(receiver.serving_count(5_500), 0);
}

fn hosts(count: usize) -> Vec<HeartbeatHost> {
    let host = |index: usize| HeartbeatHost {
        host: format!("entry-{index:03}").into(),
        data_centre: format!("dc-{}", index % 3).as_str().into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
    };
    (0..count).map(host).collect()
}

// Guards against a server that is assigned the same unreachable host repeatedly, and against one
// host that gets most of the heartbeats of a data centre.
#[test]
fn heartbeats_are_spread_and_avoid_an_unreachable_host() {
    let hosts = hosts(291);
    let mut keeper = AssignmentTable::new(AssignmentSettings::default());
    let mut shares: BTreeMap<&HostName, u32> = BTreeMap::new();
    for server in 0..3_000 {
        let name = ServerName::from(format!("engine-{server}"));
        let data_centre = format!("dc-{}", server % 3).as_str().into();
        let assigned = keeper.assign(at(0), &name, &data_centre, false, &hosts);
        let assigned = assigned.expect("a host of the data centre");
        assert_eq!(assigned.data_centre, data_centre);
        *shares.entry(&assigned.host).or_default() += 1;
    }
    assert!(shares.values().all(|share| *share <= 30), "{shares:?}");

    let (server, data_centre) = (ServerName::from("engine-1"), "dc-1".into());
    let mut seen = Vec::new();
    for attempt in 0..5 {
        let now = at(10_000 + attempt * 1_200);
        let assigned = keeper.assign(now, &server, &data_centre, attempt > 0, &hosts);
        seen.push(assigned.map(|host| host.host.clone()));
    }
    let mut distinct = seen.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), 5, "{seen:?}");
    let later = keeper.assign(at(60_000), &server, &data_centre, false, &hosts);
    assert_eq!(later.map(|host| host.host.clone()), seen[0]);
    let unassigned = keeper.assign(at(60_000), &server, &"dc-9".into(), false, &hosts);
    assert_eq!(unassigned, None);
}

proptest! {
    // Guards against a packed list that loses a heartbeat or decodes it with a smaller age.
    #[test]
    fn heartbeats_survive_packing(renewals in prop::collection::btree_map(any::<u32>(), 0_u64..10_000, 0..64)) {
        let leases = renewals.iter().map(|(number, age)| NumberedRenewal {
            number: LeaseNumber(*number),
            age: Duration::from_millis(*age),
        });
        let unpacked = PackedRenewals::pack(leases.clone().collect()).unpack().expect("its own bytes");
        assert_eq!(unpacked.len(), renewals.len());
        for (lease, unpacked) in leases.zip(unpacked) {
            assert_eq!(lease.number, unpacked.number);
            assert!(unpacked.age >= lease.age && unpacked.age < lease.age + Duration::from_millis(10));
        }
    }

    // Guards against untrusted bytes that make the process panic.
    #[test]
    fn untrusted_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut encoded = Vec::new();
        ciborium::into_writer(&ciborium::Value::Bytes(bytes), &mut encoded).expect("bytes");
        let leases: PackedRenewals = ciborium::from_reader(encoded.as_slice()).expect("a byte string");
        let _ = leases.unpack();
    }
}

/// What a host knows of `server`, for snapshots.
fn state_of(table: &LeaseTable, now: u64, server: &ServerName) -> &'static str {
    match table.get(server) {
        None => "unknown",
        Some(lease) if lease.is_serving(at(now)) => "used",
        Some(lease) if lease.is_leaving() => "left",
        Some(_) => "ended",
    }
}

const BETWEEN_KEEPERS: LeaseScope = LeaseScope::OwnAndFollowers;

// Guards against a leave that is lost with the keeper that received it: another keeper has it from that
// keeper alone, and must send it to the third one.
#[test]
fn keepers_pass_on_the_leaves_of_other_keepers() {
    let mut keepers = ["k-1", "k-2", "k-3"].map(LeaseHost::new);
    let [first, second, third] = &mut keepers;
    let server = announce(1, 1).server;
    first.table.merge(at(0), announce(1, 1));
    first.replicate(0, second, BETWEEN_KEEPERS, LeaseSource::Keeper);
    first.replicate(0, third, BETWEEN_KEEPERS, LeaseSource::Keeper);
    first.table.leave(at(1_000), &server);
    first.replicate(1_000, second, BETWEEN_KEEPERS, LeaseSource::Keeper);
    assert_eq!(state_of(&third.table, 1_000, &server), "used");
    second.replicate(1_200, third, BETWEEN_KEEPERS, LeaseSource::Keeper);
    assert_eq!(state_of(&third.table, 1_200, &server), "left");
}

// Guards against a server that is used again after its leave: by the stale lease of a host that was cut
// off, by a late heartbeat, or because the host that acknowledged the leave did not know the server.
// A new start of the server under its name is used at once.
#[test]
fn a_leave_is_not_undone() {
    let server = announce(1, 1).server;
    let mut seen = Vec::new();
    for is_known in [true, false] {
        let mut keeper = LeaseHost::new("k-1");
        let mut isolated = LeaseHost::new("k-2");
        let mut third = LeaseHost::new("k-3");
        isolated.table.merge(at(0), announce(1, 1));
        if is_known {
            keeper.table.merge(at(0), announce(1, 1));
        }
        let mut record = |case: &str, now, table: &LeaseTable| {
            let state = state_of(table, now, &server);
            seen.push(format!("known {is_known}, {case}: {state}"));
        };
        keeper.table.leave(at(1_000), &server);
        isolated.table.merge(at(900), announce(1, 2));
        isolated.replicate(1_100, &mut keeper, BETWEEN_KEEPERS, LeaseSource::Keeper);
        record("stale lease of an isolated host", 1_100, &keeper.table);
        keeper.replicate(1_200, &mut third, BETWEEN_KEEPERS, LeaseSource::Keeper);
        record("third host", 1_200, &third.table);
        third.table.merge(at(1_300), announce(1, 3));
        record("late heartbeat at the third host", 1_300, &third.table);
        keeper.table.tick(at(8_000));
        isolated.table.tick(at(8_000));
        keeper.replicate(8_000, &mut isolated, BETWEEN_KEEPERS, LeaseSource::Keeper);
        record("isolated host, after its return", 8_000, &isolated.table);
        isolated.table.merge(at(8_100), announce(1, 3));
        record("late heartbeat at that host", 8_100, &isolated.table);
        let mut restarted = announce(1, 1);
        restarted.incarnation = Incarnation(2);
        isolated.table.merge(at(8_200), restarted);
        record("new start", 8_200, &isolated.table);
        isolated.replicate(8_300, &mut keeper, BETWEEN_KEEPERS, LeaseSource::Keeper);
        record("new start, at the first host", 8_300, &keeper.table);
    }
    insta::assert_snapshot!(seen.join("\n"), @"
    known true, stale lease of an isolated host: left
    known true, third host: left
    known true, late heartbeat at the third host: left
    known true, isolated host, after its return: left
    known true, late heartbeat at that host: left
    known true, new start: used
    known true, new start, at the first host: used
    known false, stale lease of an isolated host: left
    known false, third host: left
    known false, late heartbeat at the third host: left
    known false, isolated host, after its return: left
    known false, late heartbeat at that host: left
    known false, new start: used
    known false, new start, at the first host: used
    ");
}
