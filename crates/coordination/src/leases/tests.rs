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

// The caller sees requests fail on a server that had said goodbye, if order of arrival decided.
// Announcements of one server reach one entry through several others, late, twice and swapped.
// Only (incarnation, sequence) may order them, and a leave ends its incarnation.
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

// The caller would wait for a dead server. The server falls silent; nobody says so. Each entry
// ends the lease by its own clock, also when the news reached it through another entry.
#[test]
fn a_silent_server_gets_no_work_after_its_lease() {
    let server = ServerName::from("engine-1");
    let mut first = table();
    let mut second = table();
    first.merge(at(0), AnnounceBuilder::new(1, 1).0);
    let (deltas, cursor) = first.delta(at(400), Default::default(), 10);
    for delta in deltas {
        // The second host started 10 s earlier: the hosts' clocks share nothing.
        second.merge_delta(at(10_400), delta, Duration::from_millis(100));
    }
    let mut seen = Vec::new();
    for millis in [2_400, 2_899, 2_900, 2_999, 3_000] {
        let own = first.may_take_work(at(millis), &server);
        let told = second.may_take_work(at(10_000 + millis), &server);
        seen.push(format!("{millis}: {own} {told}"));
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

// An entry that was cut off replays old deltas when the link heals. Their age says that the lease
// is over, so a server that died meanwhile does not come back to life.
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

// The receiver restarted a moment ago, so the delta is older than its process. The lease must end
// by the delta's age, not a whole lease after the restart.
#[test]
fn a_delta_older_than_the_receiver_holds_only_for_its_rest() {
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

#[test]
fn a_full_table_refuses_new_servers_and_still_renews_known_ones() {
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

fn spread(from: &LeaseTable, to: &mut LeaseTable, now: u64, cursor: &mut DeltaCursor) -> String {
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

// The caller would find no server, or one by an offer that it no longer makes. A host gets renewals
// of an announcement that it never got in full: its process or the sender's link restarted, or the
// frame was dropped. It must ask, hold nothing meanwhile, and end up with the present content.
#[test]
fn a_renewal_of_content_that_is_not_held_is_asked_for() {
    let server = ServerName::from("engine-1");
    let mut own = table();
    let mut peer = table();
    let mut cursor = DeltaCursor::default();
    let mut seen = Vec::new();
    let mut note = |name: &str, verdicts: String| seen.push(format!("{name}: {verdicts}"));

    own.merge(at(0), AnnounceBuilder::new(1, 1).0);
    note("first", spread(&own, &mut peer, 0, &mut cursor));
    own.merge(at(1_000), AnnounceBuilder::new(1, 2).0);
    note("heartbeat", spread(&own, &mut peer, 1_000, &mut cursor));
    own.merge(at(2_000), AnnounceBuilder::new(1, 3).offering("other").0);
    own.delta(at(2_000), cursor, 10).1.clone_into(&mut cursor);
    own.merge(at(3_000), AnnounceBuilder::new(1, 4).offering("other").0);
    note("change lost", spread(&own, &mut peer, 3_000, &mut cursor));
    let held = peer.get(&server).map(|lease| lease.announce.sequence);
    assert_eq!(held, Some(SequenceNumber(2)), "an old offer is not renewed");
    for delta in own.full_deltas(at(3_100), std::slice::from_ref(&server)) {
        let verdict = peer.merge_delta(at(3_100), delta, Duration::ZERO);
        note("asked", format!("{verdict:?}"));
    }
    let mut peer = table();
    own.merge(at(4_000), AnnounceBuilder::new(1, 5).offering("other").0);
    note(
        "receiver restarted",
        spread(&own, &mut peer, 4_000, &mut cursor),
    );
    assert!(peer.is_empty());
    cursor = DeltaCursor::default();
    note(
        "link restarted",
        spread(&own, &mut peer, 4_100, &mut cursor),
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

// The caller would be sent to a server that said goodbye. One entry hears the leave while another
// still spreads renewals with higher numbers of the same life, or an old process lives on.
#[test]
fn no_renewal_brings_back_a_server_that_left() {
    let server = ServerName::from("engine-1");
    let mut other = table();
    other.merge(at(0), AnnounceBuilder::new(1, 1).0);
    let mut cursor = other.delta(at(0), DeltaCursor::default(), 10).1;
    let mut peer = table();
    peer.merge(at(0), AnnounceBuilder::new(1, 2).leaving().0);
    let mut seen = Vec::new();
    other.merge(at(100), AnnounceBuilder::new(1, 3).0);
    seen.push(spread(&other, &mut peer, 100, &mut cursor));
    assert!(!peer.may_take_work(at(200), &server));
    peer.merge(at(200), AnnounceBuilder::new(2, 1).0);
    other.merge(at(300), AnnounceBuilder::new(1, 4).0);
    seen.push(spread(&other, &mut peer, 300, &mut cursor));
    let held = peer.get(&server).map(|lease| lease.announce.incarnation);
    assert_eq!(held, Some(Incarnation(2)));
    insta::assert_snapshot!(seen.join("\n"), @r"
    renewal: Left
    renewal: Stale
    ");
}

#[test]
fn load_is_told_only_when_it_moved_by_a_step() {
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
        let verdicts = spread(&own, &mut peer, now, &mut cursor);
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

// The caller would wait at a busy server, or be sent past an idle one. Two entries hear neighbouring
// heartbeats before either learns of the other's, so the later renewal carries no load. The third
// entry holds the earlier load only until the next heartbeat that tells its load in any case.
#[test]
fn a_load_that_was_held_wrongly_is_mended_within_eight_heartbeats() {
    let mut entries = [table(), table()];
    let mut cursors = [DeltaCursor::default(); 2];
    let mut third = table();
    let mut seen = Vec::new();
    for (entry, sequence, running) in [(0, 5, 20), (1, 5, 20), (0, 6, 90), (1, 7, 20), (1, 8, 20)] {
        let now = sequence * 100;
        let announce = AnnounceBuilder::new(1, sequence).running(running).0;
        entries[entry].merge(at(now), announce);
        spread(&entries[entry], &mut third, now, &mut cursors[entry]);
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

// The caller finds no server: a host that just came up gets renewals of servers that it was never
// told of. The leases take several frames, and those of the later frames changed before some of
// the earlier ones did. All of them must travel in full, and only once.
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
    assert_eq!(spread(&own, &mut peer, 20, &mut cursor), "renewal: Renewed");
}
