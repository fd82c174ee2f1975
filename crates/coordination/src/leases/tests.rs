use std::time::Duration;

use super::{
    BackendLeaseSettings, LeaseDelta, LeaseTable, MergeVerdict, ServerAnnounce, ServerState,
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
            load: "".into(),
        })
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
        LeaseDelta {
            announce: AnnounceBuilder::new(1, 5).0,
            age: Duration::from_secs(3),
        },
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
        LeaseDelta {
            announce: AnnounceBuilder::new(1, 5).0,
            age: Duration::from_millis(2_900),
        },
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
