use super::{StreamSettings, StreamTable, StreamUpdate, rank_hosts};
use crate::base::{AttemptNumber, HostName, MonotonicTime, RequestId, TokenPosition};
use crate::ledger::GeneratedToken;

fn note(first: u32, count: u32) -> StreamUpdate {
    let token = |id: u32| GeneratedToken {
        id: u64::from(id),
        text: id.to_string().into(),
    };
    StreamUpdate {
        request: "request-1".into(),
        customer: "federation".into(),
        digest: [7; 32],
        version: "v1".into(),
        model_layers: 8,
        attempt: AttemptNumber(1),
        first: TokenPosition(first),
        tokens: (first..first + count).map(token).collect(),
        finish: None,
    }
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn known(table: &StreamTable) -> String {
    match table.look_up(&RequestId::from("request-1")) {
        None => "unknown".to_owned(),
        Some(record) => record
            .tokens
            .iter()
            .map(|token| token.id.to_string())
            .collect::<Vec<_>>()
            .join(" "),
    }
}

// The caller would read an answer with a hole or a word twice. Notes come late, twice, overlap or
// are lost on a link that broke. Only a gap makes the stream unknown; the caller is then told so.
#[test]
fn a_stream_is_known_without_gaps_or_not_at_all() {
    let cases: [(&str, &[(u32, u32)]); 5] = [
        ("in order", &[(0, 2), (2, 2)]),
        ("twice", &[(0, 2), (0, 2), (2, 1)]),
        ("overlapping", &[(0, 3), (1, 4)]),
        ("one lost", &[(0, 2), (3, 1)]),
        ("begun elsewhere", &[(2, 1)]),
    ];
    let mut seen = Vec::new();
    for (name, notes) in cases {
        let mut table = StreamTable::new(StreamSettings::default());
        for (first, count) in notes {
            table.record(at(1), note(*first, *count));
        }
        seen.push(format!("{name}: {}", known(&table)));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    in order: 0 1 2 3
    twice: 0 1 2
    overlapping: 0 1 2 3 4
    one lost: unknown
    begun elsewhere: unknown
    ");
}

#[test]
fn streams_are_forgotten_by_age_and_by_bytes() {
    let mut table = StreamTable::new(StreamSettings::default());
    table.record(at(0), note(0, 2));
    table.tick(at(59_999));
    assert_eq!(table.len(), 1);
    table.tick(at(60_000));
    assert!(table.is_empty());
    let mut small = StreamTable::new(StreamSettings {
        max_bytes: 2_000,
        ..StreamSettings::default()
    });
    for number in 0..50 {
        let mut note = note(0, 2);
        note.request = number.to_string().into();
        small.record(at(number), note);
    }
    assert!(
        small.len() * size_of::<super::HeldStream>() <= 2_000,
        "{}",
        small.len()
    );
    assert!(small.look_up(&"49".into()).is_some());
}

// Another customer, or another draft under the same request id, must not read what it did not ask.
#[test]
fn a_note_of_another_draft_replaces_the_stream() {
    let mut table = StreamTable::new(StreamSettings::default());
    table.record(at(0), note(0, 3));
    let mut other = note(0, 1);
    other.customer = "someone-else".into();
    table.record(at(1), other);
    assert_eq!(known(&table), "0");
}

#[test]
fn every_host_ranks_alike_and_requests_spread() {
    let hosts: Vec<HostName> = (0..9)
        .map(|number| HostName::from(format!("host-{number}")))
        .collect();
    let mut firsts = std::collections::BTreeMap::new();
    for number in 0..900 {
        let request = RequestId::from(number.to_string());
        let forward = rank_hosts(&request, &hosts);
        let backward = rank_hosts(&request, hosts.iter().rev());
        assert_eq!(forward, backward);
        *firsts.entry(forward[0].clone()).or_insert(0) += 1;
    }
    assert_eq!(firsts.len(), 9);
    assert!(
        firsts.values().all(|count| (60..=140).contains(count)),
        "{firsts:?}"
    );
}
