use std::time::Duration;

use super::{
    AnnouncedLoad, BackendLeaseSettings, DeltaCursor, FullLease, LeaseDelta, LeaseTable,
    MergeVerdict, ServerAnnounce, ServerState,
};
use crate::base::{Incarnation, MonotonicTime, SequenceNumber, ServerName};

struct AnnounceBuilder(ServerAnnounce);

impl AnnounceBuilder {
    fn new(incarnation: u64, sequence: u64) -> Self {
        Self(ServerAnnounce {
            server: "engine-1".into(),
            incarnation: Incarnation(incarnation),
            sequence: SequenceNumber(sequence),
            address: "127.0.0.1:1".into(),
            data_centre: "dc-a".into(),
            state: ServerState::Serving,
            checks_fencing: true,
            offer: "offer".into(),
            load: AnnouncedLoad::default(),
        })
    }

    fn offering(mut self, offer: &str) -> Self {
        self.0.offer = offer.into();
        self
    }

    fn running(mut self, running: u32) -> Self {
        self.0.load.running = running;
        self
    }

    fn leaving(mut self) -> Self {
        self.0.state = ServerState::Leaving;
        self
    }
}

fn table() -> LeaseTable {
    LeaseTable::new(BackendLeaseSettings::default())
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

// Guards against requests to a server that has left, because the order of arrival decides.
// Announcements of one server can reach an entry through several others, late, twice or swapped.
// Only (incarnation, sequence) orders announcements, and a leaving announcement is final for its
// incarnation.
#[test]
fn announcements_are_ordered_by_incarnation_and_sequence() {
    let cases = [
        (
            "in order",
            vec![(1, 1, false), (1, 2, false)],
            "Changed Renewed",
            true,
        ),
        (
            "twice",
            vec![(1, 1, false), (1, 1, false)],
            "Changed Stale",
            true,
        ),
        (
            "late heartbeat after leave",
            vec![(1, 3, true), (1, 2, false)],
            "Changed Stale",
            false,
        ),
        (
            "raced heartbeat after leave",
            vec![(1, 3, true), (1, 4, false)],
            "Changed Left",
            false,
        ),
        (
            "restart after leave",
            vec![(1, 3, true), (2, 1, false)],
            "Changed Changed",
            true,
        ),
        (
            "old process after restart",
            vec![(2, 1, false), (1, 99, true)],
            "Changed Stale",
            true,
        ),
        (
            "leave",
            vec![(1, 1, false), (1, 2, true)],
            "Changed Changed",
            false,
        ),
    ];
    for (name, announces, verdicts, serving) in cases {
        let mut table = table();
        let mut seen = Vec::new();
        for (incarnation, sequence, leaving) in announces {
            let builder = AnnounceBuilder::new(incarnation, sequence);
            let builder = if leaving { builder.leaving() } else { builder };
            seen.push(format!("{:?}", table.merge(at(10), builder.0)));
        }
        assert_eq!(seen.join(" "), verdicts, "{name}");
        assert_eq!(
            table.may_take_work(at(20), &ServerName::from("engine-1")),
            serving,
            "{name}"
        );
    }
}

// Guards against callers that wait for a server that crashed without a leaving announcement. Each
// entry ends the lease by its own clock, also when the last announcement reached it through another
// entry.
#[test]
fn a_server_gets_no_work_after_its_lease_expires() {
    let server = ServerName::from("engine-1");
    let mut first = table();
    let mut second = table();
    first.merge(at(0), AnnounceBuilder::new(1, 1).0);
    let (deltas, cursor) = first.delta(at(400), Default::default(), 10);
    for delta in deltas {
        // The second host started 10 s earlier: the hosts' clocks are independent.
        second.merge_delta(at(10_400), delta, Duration::from_millis(100));
    }
    let mut seen = Vec::new();
    for millis in [2_400, 2_899, 2_900, 2_999, 3_000] {
        let first_serves = first.may_take_work(at(millis), &server);
        let second_serves = second.may_take_work(at(10_000 + millis), &server);
        seen.push(format!("{millis}: {first_serves} {second_serves}"));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    2400: true true
    2899: true true
    2900: true false
    2999: true false
    3000: false false
    ");
    assert!(first.delta(at(500), cursor, 10).0.is_empty());
    assert_eq!(first.tick(at(3_000)).len(), 1);
    assert_eq!(
        first.merge(at(3_001), AnnounceBuilder::new(1, 2).0),
        MergeVerdict::Changed
    );
    assert!(first.may_take_work(at(3_002), &server));
}

// Guards against old deltas that renew the lease of a server that crashed in the meantime. After a
// partition an entry replays deltas whose age exceeds the lease.
#[test]
fn a_delta_older_than_the_lease_renews_nothing() {
    let mut table = table();
    let verdict = table.merge_delta(
        at(9_000),
        LeaseDelta::Full(FullLease {
            announce: AnnounceBuilder::new(1, 5).0,
            age: Duration::from_secs(3),
        }),
        Duration::ZERO,
    );
    assert_eq!(verdict, MergeVerdict::Stale);
    assert!(!table.may_take_work(at(9_000), &ServerName::from("engine-1")));
}

// Guards against a lease that lasts a full duration after a restart of the receiver, which makes
// the delta older than the process. The lease must end by the age of the delta and not a full lease
// duration after the restart.
#[test]
fn a_delta_older_than_the_receiver_grants_only_the_remaining_lease() {
    let mut table = table();
    table.merge_delta(
        at(100),
        LeaseDelta::Full(FullLease {
            announce: AnnounceBuilder::new(1, 5).0,
            age: Duration::from_millis(2_900),
        }),
        Duration::ZERO,
    );
    let server = ServerName::from("engine-1");
    assert!(table.may_take_work(at(199), &server));
    assert!(!table.may_take_work(at(200), &server));
}

// Guards against a flood of new server names that ends the leases of known servers.
#[test]
fn a_full_table_refuses_new_servers_and_renews_known_ones() {
    let mut table = LeaseTable::new(BackendLeaseSettings {
        max_servers: 1,
        ..Default::default()
    });
    table.merge(at(0), AnnounceBuilder::new(1, 1).0);
    let mut other = AnnounceBuilder::new(1, 1).0;
    other.server = "engine-2".into();
    assert_eq!(table.merge(at(1), other), MergeVerdict::Full);
    assert_eq!(
        table.merge(at(1), AnnounceBuilder::new(1, 2).0),
        MergeVerdict::Renewed
    );
}

/// Sends the deltas after `cursor` from one table to another; returns their forms and verdicts.
fn replicate(from: &LeaseTable, to: &mut LeaseTable, now: u64, cursor: &mut DeltaCursor) -> String {
    let (deltas, reached) = from.delta(at(now), *cursor, 10);
    *cursor = reached;
    let verdicts = deltas.into_iter().map(|delta| {
        let form = match &delta {
            LeaseDelta::Full(_) => "full",
            LeaseDelta::Renewal(renewal) if renewal.load.is_some() => "renewal with load",
            LeaseDelta::Renewal(_) => "renewal",
        };
        let verdict = to.merge_delta(at(now), delta, Duration::ZERO);
        format!("{form}: {verdict:?}")
    });
    verdicts.collect::<Vec<_>>().join(", ")
}

// Guards against callers that find no server or an outdated offer. A host gets renewals of an
// announcement that it never got in full, because its process or the sender's link restarted or a
// frame was lost. The host must request the content, store nothing until then, and end up with the
// current content.
#[test]
fn a_renewal_of_unknown_content_makes_the_receiver_request_it() {
    let server = ServerName::from("engine-1");
    let mut own = table();
    let mut peer = table();
    let mut cursor = DeltaCursor::default();
    let mut seen = Vec::new();
    let mut record = |name: &str, verdicts: String| seen.push(format!("{name}: {verdicts}"));

    own.merge(at(0), AnnounceBuilder::new(1, 1).0);
    record("first", replicate(&own, &mut peer, 0, &mut cursor));
    own.merge(at(1_000), AnnounceBuilder::new(1, 2).0);
    record("heartbeat", replicate(&own, &mut peer, 1_000, &mut cursor));
    own.merge(at(2_000), AnnounceBuilder::new(1, 3).offering("other").0);
    own.delta(at(2_000), cursor, 10).1.clone_into(&mut cursor);
    own.merge(at(3_000), AnnounceBuilder::new(1, 4).offering("other").0);
    record(
        "change lost",
        replicate(&own, &mut peer, 3_000, &mut cursor),
    );
    let held = peer.get(&server).map(|lease| lease.announce.sequence);
    assert_eq!(held, Some(SequenceNumber(2)), "an old offer is not renewed");
    for delta in own.full_deltas(at(3_100), std::slice::from_ref(&server)) {
        let verdict = peer.merge_delta(at(3_100), delta, Duration::ZERO);
        record("asked", format!("{verdict:?}"));
    }
    let mut peer = table();
    own.merge(at(4_000), AnnounceBuilder::new(1, 5).offering("other").0);
    record(
        "receiver restarted",
        replicate(&own, &mut peer, 4_000, &mut cursor),
    );
    assert!(peer.is_empty());
    cursor = DeltaCursor::default();
    record(
        "link restarted",
        replicate(&own, &mut peer, 4_100, &mut cursor),
    );
    assert!(peer.may_take_work(at(6_999), &server));
    assert!(!peer.may_take_work(at(7_000), &server), "age counts");
    insta::assert_snapshot!(seen.join("\n"), @r"
    first: full: Changed
    heartbeat: renewal: Renewed
    change lost: renewal: Unknown
    asked: Changed
    receiver restarted: renewal: Unknown
    link restarted: full: Changed
    ");
}

// Guards against callers that are sent to a server that has left. One entry receives its leaving
// announcement while another entry still sends renewals of the same incarnation with higher
// sequence numbers, or the old process still runs.
#[test]
fn no_renewal_revives_a_server_that_left() {
    let server = ServerName::from("engine-1");
    let mut other = table();
    other.merge(at(0), AnnounceBuilder::new(1, 1).0);
    let mut cursor = other.delta(at(0), DeltaCursor::default(), 10).1;
    let mut peer = table();
    peer.merge(at(0), AnnounceBuilder::new(1, 2).leaving().0);
    let mut seen = Vec::new();
    other.merge(at(100), AnnounceBuilder::new(1, 3).0);
    seen.push(replicate(&other, &mut peer, 100, &mut cursor));
    assert!(!peer.may_take_work(at(200), &server));
    peer.merge(at(200), AnnounceBuilder::new(2, 1).0);
    other.merge(at(300), AnnounceBuilder::new(1, 4).0);
    seen.push(replicate(&other, &mut peer, 300, &mut cursor));
    let held = peer.get(&server).map(|lease| lease.announce.incarnation);
    assert_eq!(held, Some(Incarnation(2)));
    insta::assert_snapshot!(seen.join("\n"), @r"
    renewal: Left
    renewal: Stale
    ");
}

// Guards against renewals that carry the load after every small change, and against a receiver
// whose stored load stays off by more than a step.
#[test]
fn load_is_sent_only_after_a_change_of_more_than_a_step() {
    let mut own = table();
    let mut peer = table();
    let mut cursor = DeltaCursor::default();
    let mut seen = Vec::new();
    for (sequence, running) in [(1, 40), (2, 42), (3, 44), (4, 47), (5, 46), (6, 40)] {
        let now = sequence * 100;
        own.merge(
            at(now),
            AnnounceBuilder::new(1, sequence).running(running).0,
        );
        let verdicts = replicate(&own, &mut peer, now, &mut cursor);
        let held = peer
            .get(&"engine-1".into())
            .map(|lease| lease.announce.load.running);
        seen.push(format!("{running}: {verdicts}, held {}", held.unwrap()));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    40: full: Changed, held 40
    42: renewal: Renewed, held 40
    44: renewal: Renewed, held 40
    47: renewal with load: Renewed, held 47
    46: renewal: Renewed, held 47
    40: renewal with load: Renewed, held 40
    ");
}

// Guards against callers that wait at a busy server or miss an idle one. Two entries receive
// consecutive heartbeats before either gets the other's, so the later renewal carries no load and a
// third entry keeps a wrong load. The next heartbeat that always includes its load corrects the
// value.
#[test]
fn a_wrong_load_is_corrected_within_eight_heartbeats() {
    let mut entries = [table(), table()];
    let mut cursors = [DeltaCursor::default(); 2];
    let mut third = table();
    let mut seen = Vec::new();
    for (entry, sequence, running) in [(0, 5, 20), (1, 5, 20), (0, 6, 90), (1, 7, 20), (1, 8, 20)] {
        let now = sequence * 100;
        let announce = AnnounceBuilder::new(1, sequence).running(running).0;
        entries[entry].merge(at(now), announce);
        replicate(&entries[entry], &mut third, now, &mut cursors[entry]);
        let held = third.get(&"engine-1".into()).unwrap();
        seen.push(format!(
            "{sequence}: {running}, held {}",
            held.announce.load.running
        ));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    5: 20, held 20
    5: 20, held 20
    6: 90, held 90
    7: 20, held 90
    8: 20, held 20
    ");
}

// Guards against callers that find no server on a host that has just started. The leases for it
// take several frames, and leases of a later frame may have changed before those of an earlier one.
// Sent as renewals, they would be unknown to the host. Every lease must be sent in full, and only
// once.
#[test]
fn a_new_receiver_gets_every_lease_in_full_over_several_frames() {
    let mut own = table();
    for sequence in 1..=2 {
        for index in 0..5 {
            let mut announce = AnnounceBuilder::new(1, sequence).0;
            announce.server = format!("engine-{index}").into();
            own.merge(at(sequence), announce);
        }
    }
    let mut peer = table();
    let mut cursor = DeltaCursor::default();
    let mut seen = Vec::new();
    for _ in 0..3 {
        let (deltas, reached) = own.delta(at(10), cursor, 2);
        cursor = reached;
        for delta in deltas {
            let is_full = matches!(delta, LeaseDelta::Full(_));
            let verdict = peer.merge_delta(at(10), delta, Duration::ZERO);
            seen.push(format!("full {is_full}: {verdict:?}"));
        }
    }
    assert_eq!(seen, vec!["full true: Changed"; 5]);
    own.merge(at(20), AnnounceBuilder::new(1, 3).0);
    assert_eq!(
        replicate(&own, &mut peer, 20, &mut cursor),
        "renewal: Renewed"
    );
}
