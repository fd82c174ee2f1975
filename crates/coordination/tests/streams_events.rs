//! Forwarded event streams that arrive in arbitrary parts and come from several engines in turn.

use pollendrift_coordination::streams::{EventFramer, EventId, EventProgress, EventVerdict};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Name of the case, last event that the caller has, and numbers of the received events.
type EventCase = (&'static str, Option<u64>, &'static [Option<u64>]);

fn event(number: u64, end: &str) -> String {
    let line = &end[..end.len() / 2];
    format!("id: {number}{line}data: token {number}{end}")
}

// Guards against an event that is forwarded in part, which another engine could not complete. The
// network can split the bytes of a stream anywhere, so the framer returns only complete events,
// each once.
#[test]
fn events_are_complete_for_any_split_of_the_bytes() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end = if seed % 2 == 0 { "\n\n" } else { "\r\n\r\n" };
        let events: Vec<String> = (1..=20).map(|number| event(number, end)).collect();
        let stream = events.concat();
        let mut rest = stream.as_bytes();
        let mut framer = EventFramer::default();
        let mut seen = Vec::new();
        while !rest.is_empty() {
            let length = random.random_range(1..=rest.len().min(40));
            let (part, tail) = rest.split_at(length);
            rest = tail;
            framer.push(part);
            while let Some(event) = framer.next_event().expect("short events") {
                let text = String::from_utf8(event.bytes.to_vec()).expect("text");
                seen.push((event.id.expect("numbered").0, text));
            }
        }
        let expected: Vec<(u64, String)> = (1..).zip(events).collect();
        assert_eq!(seen, expected, "seed {seed}");
        assert!(!framer.has_partial_event(), "seed {seed}");
    }
}

// Guards against events that the caller gets twice, and gaps that it does not notice. The second
// engine of a draft may repeat, skip or not number events. Repeated events are omitted. A gap must
// be reported, because the caller would take the following event for the next token.
#[test]
fn a_caller_gets_each_event_once_and_in_order() {
    let cases: [EventCase; 5] = [
        ("from the start", None, &[Some(1), Some(2), Some(3)]),
        ("continues", Some(7), &[Some(8), Some(9)]),
        (
            "starts again",
            Some(2),
            &[Some(1), Some(2), Some(3), Some(4)],
        ),
        ("skips one", Some(2), &[Some(3), Some(5), Some(4)]),
        ("event without number", None, &[Some(1), None, Some(2)]),
    ];
    let mut lines = Vec::new();
    for (case, held, numbers) in cases {
        let mut progress = EventProgress::after(held.map(EventId));
        let verdicts = numbers.iter().map(|number| {
            let verdict = progress.take(number.map(EventId));
            format!("{number:?} {verdict:?}")
        });
        let verdicts: Vec<String> = verdicts.collect();
        lines.push(format!("{case}: {}", verdicts.join(", ")));
    }
    insta::assert_snapshot!(lines.join("\n"), @"
    from the start: Some(1) Deliver, Some(2) Deliver, Some(3) Deliver
    continues: Some(8) Deliver, Some(9) Deliver
    starts again: Some(1) Seen, Some(2) Seen, Some(3) Deliver, Some(4) Deliver
    skips one: Some(3) Deliver, Some(5) Gap, Some(4) Deliver
    event without number: Some(1) Deliver, None Gap, Some(2) Deliver
    ");
    let mut progress = EventProgress::after(None);
    assert_eq!(progress.take(None), EventVerdict::Deliver);
    let mut progress = EventProgress::resumable_after(None);
    assert_eq!(progress.take(None), EventVerdict::Gap);
    assert_eq!(progress.take(Some(EventId(1))), EventVerdict::Deliver);
}

// Guards against an engine that fills the memory of the host with an event without an end.
#[test]
fn an_event_above_the_maximum_size_is_refused() {
    let mut framer = EventFramer::default();
    let error = loop {
        framer.push(&[b'x'; 4_096]);
        match framer.next_event() {
            Ok(event) => assert_eq!(event, None),
            Err(error) => break error,
        }
    };
    insta::assert_snapshot!(error.to_string(), @"event of more than 32768 bytes");
}

// Guards against whole events that count as delivered and are dropped with the fault behind them.
#[test]
fn a_batch_has_the_whole_events_before_a_fault() {
    let too_long = "id: 4\ndata: ".to_owned() + &"x".repeat(40_000);
    let cases: [(&str, &str); 9] = [
        ("no fault", ""),
        ("skipped", "id: 5\ndata: token 5\n\n"),
        ("unreadable number", "id: 4x\ndata: token 4\n\n"),
        ("no number", "data: token 4\n\n"),
        ("too long", &too_long),
        ("a part of an event", "id: 4\nda"),
        ("seen", "id: 2\ndata: token 2\n\n"),
        ("seen, skipped", "id: 3\n\nid: 6\n\n"),
        ("skipped, next", "id: 5\n\nid: 4\n\n"),
    ];
    let mut lines = Vec::new();
    for (case, rest) in cases {
        let mut framer = EventFramer::default();
        framer.push((event(1, "\n\n") + &event(2, "\n\n") + &event(3, "\n\n") + rest).as_bytes());
        let batch = framer.next_batch(EventProgress::after(Some(EventId(1))));
        let text = String::from_utf8(batch.bytes.to_vec()).expect("text");
        let ids: Vec<&str> = text.lines().filter(|line| line.starts_with("id")).collect();
        let fault = batch
            .fault
            .map_or("none".to_owned(), |fault| fault.to_string());
        let last = batch.progress.last().map_or(0, |last| last.0);
        lines.push(format!(
            "{case}: {}, last {last}, fault: {fault}",
            ids.join(" ")
        ));
    }
    insta::assert_snapshot!(lines.join("\n"), @"
    no fault: id: 2 id: 3, last 3, fault: none
    skipped: id: 2 id: 3, last 3, fault: the chain skipped events
    unreadable number: id: 2 id: 3, last 3, fault: the chain skipped events
    no number: id: 2 id: 3, last 3, fault: the chain skipped events
    too long: id: 2 id: 3, last 3, fault: event of more than 32768 bytes
    a part of an event: id: 2 id: 3, last 3, fault: none
    seen: id: 2 id: 3, last 3, fault: none
    seen, skipped: id: 2 id: 3, last 3, fault: the chain skipped events
    skipped, next: id: 2 id: 3, last 3, fault: the chain skipped events
    ");
}
