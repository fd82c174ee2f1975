//! Contract of the writer's buffer, the keepers' head table and retention, with fault cases.

use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime, SequenceNumber, WallTime};
use pollendrift_coordination::evidence::{
    BatchRefusal, BufferSettings, EvidenceBatch, EvidenceBuffer, EvidenceEvent, HeadTable,
    KeeperBatch, OutcomeKind, RetentionPolicy, RevisionInForce, SealedRecord, StoredSpan,
    spans_to_drop,
};

mod evidence_support;

use evidence_support::{anchor, begun, busy_chain, chain, finished, refused, writer};

const WALL: WallTime = WallTime(1_764_633_600_000);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn keeper(name: &str) -> HostName {
    HostName::from(name)
}

fn buffer_of(max_records: usize, keepers: &[&str]) -> EvidenceBuffer {
    let settings = BufferSettings {
        max_records,
        max_batch_records: 4,
        batch_delay: Duration::from_millis(5),
        resend_delay: Duration::from_millis(100),
        ..BufferSettings::default()
    };
    EvidenceBuffer::new(
        writer("brest-1"),
        settings,
        keepers.iter().copied().map(keeper),
    )
}

fn show(batches: &[KeeperBatch]) -> String {
    let lines = batches.iter().map(|sent| {
        let first = sent.batch.first;
        format!("{}: {} from {first}", sent.keeper, sent.batch.lines.len())
    });
    lines.collect::<Vec<_>>().join(", ")
}

fn batch_of(records: &[SealedRecord]) -> EvidenceBatch {
    EvidenceBatch {
        writer: records[0].record.writer.clone(),
        first: records[0].record.sequence,
        lines: records.iter().map(|sealed| sealed.line.clone()).collect(),
    }
}

fn stored(table: &mut HeadTable, records: &[SealedRecord]) -> Result<usize, BatchRefusal> {
    let accepted = table.check(&batch_of(records))?;
    table.commit(&accepted.records);
    Ok(accepted.records.len())
}

// Guards against records that count as durable before two keepers stored them, and against batches
// that are sent again after their records are durable.
#[test]
fn records_are_durable_after_two_keepers_stored_them() {
    let mut buffer = buffer_of(64, &["k1", "k2", "k3"]);
    for request in ["a", "b", "c"] {
        buffer.begin(at(0), WALL, begun(request)).unwrap();
    }
    let own = writer("brest-1");
    let mut log = Vec::new();
    log.push(format!(
        "1 ms: {}",
        show(&buffer.due_batches(at(1), WALL).unwrap())
    ));
    log.push(format!(
        "5 ms: {}",
        show(&buffer.due_batches(at(5), WALL).unwrap())
    ));
    buffer.acknowledge(&keeper("k1"), &own, SequenceNumber(3));
    log.push(format!("k1 stored: durable {}", buffer.durable()));
    buffer.acknowledge(&keeper("k2"), &own, SequenceNumber(2));
    log.push(format!("k2 stored 2: durable {}", buffer.durable()));
    log.push(format!(
        "105 ms: {}",
        show(&buffer.due_batches(at(105), WALL).unwrap())
    ));
    buffer.acknowledge(&keeper("k3"), &own, SequenceNumber(3));
    log.push(format!("k3 stored: durable {}", buffer.durable()));
    log.push(format!("next due: {:?}", buffer.next_due()));
    insta::assert_snapshot!(log.join("\n"), @"
    1 ms: 
    5 ms: k1: 3 from 1, k2: 3 from 1, k3: 3 from 1
    k1 stored: durable 0
    k2 stored 2: durable 2
    105 ms: k2: 1 from 3, k3: 1 from 3
    k3 stored: durable 3
    next due: None
    ");
}

// Guards against lost records: an acknowledgement for an earlier incarnation of the process, for
// records that were never written, or of a host that is not a keeper must not count as a copy.
#[test]
fn invalid_acknowledgements_drop_no_records() {
    let mut buffer = buffer_of(64, &["k1", "k2"]);
    buffer.begin(at(0), WALL, begun("a")).unwrap();
    let own = writer("brest-1");
    let mut earlier = own.clone();
    earlier.incarnation = 6.into();
    for name in ["k1", "k2"] {
        buffer.acknowledge(&keeper(name), &earlier, SequenceNumber(1));
        buffer.acknowledge(&keeper(name), &own, SequenceNumber(2));
    }
    buffer.acknowledge(&keeper("k1"), &own, SequenceNumber(1));
    buffer.acknowledge(&keeper("k9"), &own, SequenceNumber(1));
    assert_eq!(buffer.durable(), SequenceNumber(0));
    buffer.acknowledge(&keeper("k2"), &own, SequenceNumber(1));
    assert_eq!(buffer.durable(), SequenceNumber(1));
}

// Guards against a buffer that exceeds its limit or loses the ends of running requests while
// keepers store nothing. New requests are refused as not run, and the number of refusals is
// recorded as soon as keepers answer again.
#[test]
fn a_full_buffer_refuses_new_requests_and_accepts_ends_of_running_ones() {
    let mut buffer = buffer_of(8, &["k1", "k2"]);
    let mut log = Vec::new();
    for request in 0..6 {
        let result = buffer.begin(at(0), WALL, begun(&format!("r{request}")));
        match result {
            Ok(sequence) => log.push(format!("begun as {sequence}")),
            Err(error) => log.push(format!("refused: {error}")),
        }
    }
    for request in 0..1_000 {
        let event = refused(&format!("x{request}"));
        assert_eq!(buffer.refuse(at(1), WALL, event), Ok(None));
    }
    for request in 0..4 {
        let event = finished(&format!("r{request}"), OutcomeKind::Complete);
        buffer.finish(at(2), WALL, event).unwrap();
    }
    let status = buffer.status();
    log.push(format!(
        "{} waiting, {} reserved",
        status.records, status.reserved
    ));
    for name in ["k1", "k2"] {
        buffer.acknowledge(&keeper(name), &writer("brest-1"), SequenceNumber(8));
    }
    let batches = buffer.due_batches(at(10), WALL).unwrap();
    log.push(format!("after the keepers answered: {}", show(&batches)));
    buffer.due_batches(at(15), WALL).unwrap();
    let batches = buffer.due_batches(at(200), WALL).unwrap();
    log.push(batches[0].batch.lines[0].to_string());
    insta::assert_snapshot!(log.join("\n"), @r#"
    begun as 1
    begun as 2
    begun as 3
    begun as 4
    refused: 8 records in 2212 bytes wait for the keepers
    refused: 8 records in 2212 bytes wait for the keepers
    8 waiting, 0 reserved
    after the keepers answered: 
    {"record":{"writer":{"host":"brest-1","incarnation":7},"sequence":9,"previous":"3345d9e4ef8af522da3ff1fff0c25e899fa8dcf57a5b5c6335d3fad28d53658c","time":1764633600000,"event":{"kind":"refusals-omitted","detail":{"count":1000,"first":1764633600000,"last":1764633600000}}},"digest":"2a61353e26b47787dea95143b630a01d95728c2ec7ebae49772ed72006c9a21a"}
    "#);
}

// Guards against duplicate records and forked chains on a keeper. Lost acknowledgements cause
// repeated batches, complete or in part, and a batch arrives after a gap when the entry continued
// with the other keepers. A record that conflicts with a stored one is refused, also at a gap, and
// records dropped by retention are not stored again.
#[test]
fn keepers_store_each_record_once_and_refuse_forks() {
    let records = busy_chain("brest-1", 5);
    let mut other = records[..3].to_vec();
    let fork: Vec<_> = (0..7).map(|number| begun(&format!("f{number}"))).collect();
    other.extend(chain("brest-1", fork).drain(3..));
    let mut swapped = records[4..6].to_vec();
    swapped.reverse();
    let mut table = HeadTable::default();
    let mut log = Vec::new();
    for (name, batch) in [
        ("first", &records[0..4]),
        ("again", &records[0..4]),
        ("a part again", &records[1..3]),
        ("overlapping", &records[2..5]),
        ("after a gap", &records[7..9]),
        ("another history at the head", &other[4..6]),
        ("swapped", &swapped[..]),
        ("contradicting the end of the gap", &other[5..7]),
        ("filling the gap", &records[5..7]),
        ("the rest", &records[9..10]),
    ] {
        let result = match stored(&mut table, batch) {
            Ok(count) => format!("{count} stored"),
            Err(error) => error.to_string(),
        };
        let missing: Vec<_> = table.missing().iter().map(ToString::to_string).collect();
        log.push(format!("{name}: {result}; missing {missing:?}"));
    }
    let heads: Vec<_> = table.heads().map(|head| head.sequence.0).collect();
    log.push(format!("heads {heads:?}"));
    table.truncate(&anchor(&records[6]));
    let resent = stored(&mut table, &records[6..8]);
    log.push(format!("after retention, 7..=8 again: {resent:?} stored"));
    table.truncate(&anchor(&records[9]));
    let heads: Vec<_> = table.heads().map(|head| head.sequence.0).collect();
    log.push(format!("everything dropped: heads {heads:?}"));
    table.remove_empty(&writer("brest-1"));
    log.push(format!("removed: {} heads", table.heads().count()));
    insta::assert_snapshot!(log.join("\n"), @r#"
    first: 4 stored; missing []
    again: 0 stored; missing []
    a part again: 0 stored; missing []
    overlapping: 1 stored; missing []
    after a gap: 2 stored; missing ["brest-1/7: 6..=7"]
    another history at the head: record 5 contradicts the stored chain; missing ["brest-1/7: 6..=7"]
    swapped: line 1 of the batch is another record than 7; missing ["brest-1/7: 6..=7"]
    contradicting the end of the gap: record 6 contradicts the stored chain; missing ["brest-1/7: 6..=7"]
    filling the gap: 2 stored; missing []
    the rest: 1 stored; missing []
    heads [10]
    after retention, 7..=8 again: Ok(0) stored
    everything dropped: heads [10]
    removed: 0 heads
    "#);
}

// Guards against a gap in a chain after retention: a clock that was set back makes a later span
// look older than the spans before it.
#[test]
fn retention_drops_only_the_first_spans_of_a_chain_if_the_clock_was_set_back() {
    let records = busy_chain("brest-1", 4);
    let span = |index: usize, newest: u64| StoredSpan {
        anchor: anchor(&records[index]),
        newest: WallTime(newest),
        bytes: 100,
    };
    let day = 86_400_000;
    // The second span was written after the clock had been set back by five days.
    let spans = [
        span(1, 10 * day),
        span(3, 5 * day),
        span(5, 11 * day),
        span(7, 12 * day),
    ];
    let dropped = |days: u64, max_bytes: u64, now: u64| {
        let policy = RetentionPolicy {
            max_age: Duration::from_secs(days * 86_400),
            max_bytes,
        };
        let spans = spans_to_drop(WallTime(now * day), &policy, &spans);
        let through = spans.iter().map(|span| span.anchor.through.0);
        through.collect::<Vec<_>>()
    };
    let table = [
        ("nothing is old", dropped(10, 1_000, 12)),
        ("only the set-back span looks old", dropped(6, 1_000, 12)),
        ("the first two are old", dropped(1, 1_000, 12)),
        ("too many bytes", dropped(100, 250, 12)),
        ("no bytes at all: the head stays", dropped(100, 0, 12)),
        ("a chain that ended long ago", dropped(1, 1_000, 30)),
        ("a clock before every record", dropped(1, 1_000, 0)),
    ];
    let lines = table.map(|(name, through)| format!("{name}: {through:?}"));
    insta::assert_snapshot!(lines.join("\n"), @"
    nothing is old: []
    only the set-back span looks old: []
    the first two are old: [2, 4]
    too many bytes: [2, 4]
    no bytes at all: the head stays: [2, 4, 6]
    a chain that ended long ago: [2, 4, 6, 8]
    a clock before every record: []
    ");
}

fn in_force(revision: u64) -> EvidenceEvent {
    EvidenceEvent::RevisionInForce(RevisionInForce {
        revision: revision.into(),
    })
}

// Guards against changes that are slow because every host sends the keepers a command for each
// revision that it puts in force. No caller waits for these records, so the records of one second
// share a batch. They are sent earlier with a request's record, when a caller waits for them, or
// when the host shuts down.
#[test]
fn records_without_a_waiting_caller_share_a_batch() {
    let mut buffer = buffer_of(100, &["k1"]);
    let mut seen = Vec::new();
    for now in (0..4_000).step_by(10) {
        if now < 2_400 && now % 800 == 0 {
            let event = in_force(now);
            buffer.record_in_background(at(now), WALL, event).unwrap();
        }
        if now == 2_000 {
            let event = refused("r1");
            buffer.refuse(at(now), WALL, event).unwrap();
        }
        if now == 3_200 {
            let event = in_force(now);
            buffer.record_in_background(at(now), WALL, event).unwrap();
            buffer.make_all_due(at(now));
        }
        if now == 3_300 {
            buffer.flush_for_shutdown(at(now));
        }
        if now == 3_400 {
            let event = in_force(now);
            buffer.record_in_background(at(now), WALL, event).unwrap();
        }
        for sent in buffer.due_batches(at(now), WALL).unwrap() {
            seen.push(format!("{now} ms: {}", show(std::slice::from_ref(&sent))));
            let last = sent.batch.first.0 + sent.batch.lines.len() as u64 - 1;
            buffer.acknowledge(&keeper("k1"), &sent.batch.writer, SequenceNumber(last));
        }
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    1000 ms: k1: 2 from 1
    2010 ms: k1: 2 from 3
    3200 ms: k1: 1 from 5
    3410 ms: k1: 1 from 6
    ");
}
