use super::{HolderSettings, HolderTable, StreamSettings, StreamTable, StreamUpdate, rank_hosts};
use crate::base::{AttemptNumber, HostName, MonotonicTime, RequestId, TokenPosition};
use crate::ledger::GeneratedToken;

fn update(first: u32, count: u32) -> StreamUpdate {
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
        replaces: false,
        receipt: None,
    }
}

fn entry() -> HostName {
    "entry-1".into()
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn stored_tokens(table: &StreamTable) -> String {
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

// Guards against a resumed answer that misses or repeats a token, and against the loss of confirmed
// tokens. Updates can arrive late or twice, overlap, or get lost on a broken link. An update behind a
// gap is not stored, and what was stored before stays.
#[test]
fn a_stream_has_every_token_up_to_a_gap() {
    let cases: [(&str, &[(u32, u32)]); 7] = [
        ("in order", &[(0, 2), (2, 2)]),
        ("twice", &[(0, 2), (0, 2), (2, 1)]),
        ("overlapping", &[(0, 3), (1, 4)]),
        ("one lost", &[(0, 2), (3, 1)]),
        ("one lost, then more", &[(0, 2), (3, 1), (4, 1)]),
        ("one lost, then all", &[(0, 2), (3, 1), (0, 4)]),
        ("begun elsewhere", &[(2, 1)]),
    ];
    let mut seen = Vec::new();
    for (name, updates) in cases {
        let mut table = StreamTable::new(StreamSettings::default());
        for (first, count) in updates {
            table.record(at(1), &entry(), update(*first, *count));
        }
        seen.push(format!("{name}: {}", stored_tokens(&table)));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    in order: 0 1 2 3
    twice: 0 1 2
    overlapping: 0 1 2 3 4
    one lost: 0 1
    one lost, then more: 0 1
    one lost, then all: 0 1 2 3
    begun elsewhere: unknown
    ");
}

// Guards against streams of callers that never resume, which fill the memory of the host. They are
// removed after the retention, and above the byte limit the oldest ones are removed first.
#[test]
fn streams_are_removed_by_age_and_by_bytes() {
    let mut table = StreamTable::new(StreamSettings::default());
    table.record(at(0), &entry(), update(0, 2));
    table.tick(at(59_999));
    assert_eq!(table.len(), 1);
    table.tick(at(60_000));
    assert!(table.is_empty());
    let mut small = StreamTable::new(StreamSettings {
        max_bytes: 2_000,
        ..StreamSettings::default()
    });
    for number in 0..50 {
        let mut update = update(0, 2);
        update.request = number.to_string().into();
        small.record(at(number), &entry(), update);
    }
    assert!(
        small.len() * size_of::<super::StoredStream>() <= 2_000,
        "{}",
        small.len()
    );
    assert!(small.look_up(&"49".into()).is_some());
}

// Guards against a request that reads the tokens of another answer: a request id can be used again
// by another customer or for another draft.
#[test]
fn an_update_of_another_request_replaces_the_stream() {
    let mut table = StreamTable::new(StreamSettings::default());
    table.record(at(0), &entry(), update(0, 3));
    let mut other = update(0, 1);
    other.customer = "someone-else".into();
    table.record(at(1), &entry(), other);
    assert_eq!(stored_tokens(&table), "0");
}

// Guards against hosts that rank differently, so that a lookup does not find the stream, and an
// uneven ranking, which stores most streams on few hosts.
#[test]
fn every_host_computes_the_same_ranking_and_requests_spread() {
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

// Guards against callers that wait again and again for a host that confirms no copy, and against a
// copy on a host that can't be reached.
#[test]
fn a_host_that_confirms_no_copy_is_avoided_for_a_while() {
    let mut table = HolderTable::new(HolderSettings::default());
    let hosts: Vec<HostName> = ["a", "b", "c"].map(HostName::from).into();
    let request = RequestId::from("request-1");
    let ranked: Vec<HostName> = rank_hosts(&request, &hosts).into_iter().cloned().collect();
    let chosen = |table: &mut HolderTable, millis, hosts: &[HostName]| {
        table.choose(at(millis), &request, hosts).cloned()
    };
    assert_eq!(chosen(&mut table, 0, &hosts).as_ref(), ranked.first());
    assert_eq!(chosen(&mut table, 0, &ranked[1..]).as_ref(), ranked.get(1));
    table.record_unconfirmed(at(10), &ranked[0]);
    assert_eq!(chosen(&mut table, 30_009, &hosts).as_ref(), ranked.get(1));
    assert_eq!(chosen(&mut table, 30_010, &hosts).as_ref(), ranked.first());
    for host in &ranked {
        table.record_unconfirmed(at(40_000), host);
    }
    assert_eq!(chosen(&mut table, 40_001, &hosts), None);
}

// Guards against the confirmation of a copy that lacks tokens or was removed at once.
#[test]
fn only_a_stored_update_is_confirmed() {
    let mut table = StreamTable::new(StreamSettings::default());
    assert!(table.record(at(0), &entry(), update(0, 2)));
    assert!(!table.record(at(1), &entry(), update(3, 1)));
    let mut full = StreamTable::new(StreamSettings {
        max_bytes: 1,
        ..StreamSettings::default()
    });
    assert!(!full.record(at(0), &entry(), update(0, 2)));
}

/// Entry, attempt, first position, number of tokens, and whether it replaces an earlier answer.
type RunUpdate = (&'static str, u32, u32, u32, bool);

// Guards against a copy that joins the tokens of two runs. A caller resumes a stream at another entry
// while the first one still sends, or sends a new draft with the id of an earlier one.
#[test]
fn a_copy_has_the_tokens_of_one_run() {
    let old = |first, count| ("entry-1", 1, first, count, false);
    let resumed = |first, count| ("entry-2", 1_002, first, count, false);
    let anew = |first, count| ("entry-3", 1, first, count, true);
    let cases: [(&str, &[RunUpdate]); 8] = [
        (
            "resumed elsewhere",
            &[old(0, 3), resumed(0, 3), resumed(3, 2)],
        ),
        (
            "first entry goes on",
            &[old(0, 3), resumed(0, 3), old(3, 2), resumed(3, 2)],
        ),
        (
            "first entry copies again",
            &[resumed(0, 3), old(0, 5), resumed(3, 2)],
        ),
        (
            "first entry was ahead",
            &[old(0, 5), resumed(0, 3), resumed(3, 1)],
        ),
        ("resumed, complete copy lost", &[old(0, 3), resumed(3, 2)]),
        (
            "resumed twice at once",
            &[
                resumed(0, 3),
                ("entry-4", 1_002, 0, 4, false),
                resumed(3, 1),
            ],
        ),
        (
            "new draft",
            &[old(0, 4), anew(0, 2), ("entry-3", 1, 2, 1, false)],
        ),
        (
            "new draft after a resume",
            &[resumed(0, 4), anew(0, 2), resumed(4, 1)],
        ),
    ];
    let mut seen = Vec::new();
    for (name, updates) in cases {
        let mut table = StreamTable::new(StreamSettings::default());
        let mut stored = Vec::new();
        for (from, attempt, first, count, replaces) in updates {
            let mut update = update(*first, *count);
            update.attempt = AttemptNumber(*attempt);
            update.replaces = *replaces;
            for token in &mut update.tokens {
                // Tokens that tell which entry sent them: its number before the position.
                token.id += from.trim_start_matches("entry-").parse::<u64>().unwrap() * 10;
            }
            stored.push(table.record(at(1), &HostName::from(*from), update));
        }
        seen.push(format!(
            "{name}: {}, stored {stored:?}",
            stored_tokens(&table)
        ));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    resumed elsewhere: 20 21 22 23 24, stored [true, true, true]
    first entry goes on: 20 21 22 23 24, stored [true, true, false, true]
    first entry copies again: 20 21 22 23 24, stored [true, false, true]
    first entry was ahead: 20 21 22 23, stored [true, true, true]
    resumed, complete copy lost: 10 11 12, stored [true, false]
    resumed twice at once: 20 21 22 23, stored [true, false, true]
    new draft: 30 31 32, stored [true, true, true]
    new draft after a resume: 30 31, stored [true, true, false]
    ");
}
