//! Evidence in the replicated state: retention and readable formats.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

mod replicated_support;

use ciborium::Value;
use pollendrift_coordination::agreement::{LogIndex, StateMachine};
use pollendrift_coordination::replicated::{
    EvidencePosition, EvidenceRetention, ReplicatedCommand, ReplicatedSettings, ReplicatedState,
};

use replicated_support::{batch, stamped};

// Guards against snapshots with records that keepers copied to their files long ago: operators and
// callers wait for a restarting keeper while it reads its snapshot. Hosts record twenty records per
// second. With limits by number and bytes alone, each snapshot would contain all records of a day
// with little traffic.
#[test]
fn snapshot_contains_only_recent_evidence() {
    let mut state = ReplicatedState::new(ReplicatedSettings::default());
    let mut seen = Vec::new();
    for second in 0..=600 {
        for writer in 0..20 {
            let command = ReplicatedCommand::RecordEvidence(batch(writer, 1, second, 1));
            state.apply_command(LogIndex(second + 1), &stamped(second, command));
        }
        if second % 200 == 60 {
            let kept = state.evidence().since(EvidencePosition(0)).count();
            let bytes = state.snapshot().expect("encodes").len();
            seen.push(format!(
                "{second} s: {kept} records, under 100 kB: {}",
                bytes < 100_000
            ));
        }
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    60 s: 620 records, under 100 kB: true
    260 s: 620 records, under 100 kB: true
    460 s: 620 records, under 100 kB: true
    ");
}

// Guards against a keeper that cannot read, or never drops, the records of a snapshot of the
// previous version, in which records are lists of numbers without a time of arrival.
#[test]
fn snapshot_of_the_previous_format_is_read() {
    let mut state = ReplicatedState::new(ReplicatedSettings::default());
    let command = ReplicatedCommand::RecordEvidence(batch(1, 1, 0, 3));
    state.apply_command(LogIndex(1), &stamped(0, command));
    let mut tables: Value = ciborium::from_reader(&state.snapshot().unwrap()[..]).unwrap();
    for unknown in [0, 3] {
        *field(&mut tables, "format") = Value::from(unknown);
        let mut bytes = Vec::new();
        ciborium::into_writer(&tables, &mut bytes).unwrap();
        assert!(
            ReplicatedState::default().restore(&bytes).is_err(),
            "{unknown}"
        );
    }
    *field(&mut tables, "format") = Value::from(1);
    let evidence = field(&mut tables, "evidence");
    for record in field(evidence, "recent").as_array_mut().unwrap() {
        let bytes = field(record, "record");
        let numbers = bytes
            .as_bytes()
            .unwrap()
            .iter()
            .map(|byte| Value::from(*byte));
        *bytes = Value::Array(numbers.collect());
    }
    remove_field(evidence, "arrivals");
    remove_field(field(evidence, "retention"), "age");
    let mut old = Vec::new();
    ciborium::into_writer(&tables, &mut old).unwrap();
    let mut restored = ReplicatedState::default();
    restored.restore(&old).unwrap();
    assert_eq!(restored.evidence().since(EvidencePosition(0)).count(), 3);
    for (first, second) in [(0, 1), (1, 40)] {
        let command = ReplicatedCommand::RecordEvidence(batch(2, 1, first, 1));
        restored.apply_command(LogIndex(second + 1), &stamped(second, command));
    }
    assert_eq!(restored.evidence().since(EvidencePosition(0)).count(), 1);
}

fn field<'map>(map: &'map mut Value, name: &str) -> &'map mut Value {
    let entries = map.as_map_mut().unwrap().iter_mut();
    let mut found = entries.filter(|(key, _)| key.as_text() == Some(name));
    &mut found.next().unwrap().1
}

fn remove_field(map: &mut Value, name: &str) {
    let entries = map.as_map_mut().unwrap();
    entries.retain(|(key, _)| key.as_text() != Some(name));
}

// Guards against memory and snapshots of keepers that grow with the number of batches, because each
// batch leaves an arrival time. Writers resend recorded batches, or send more than the limits keep.
#[test]
fn arrival_marks_are_limited_by_the_number_of_records() {
    let retention = EvidenceRetention {
        records: 10,
        ..EvidenceRetention::default()
    };
    let settings = ReplicatedSettings {
        evidence: retention,
        ..ReplicatedSettings::default()
    };
    let mut state = ReplicatedState::new(settings);
    for number in 0..1_000 {
        for _ in 0..3 {
            let command = ReplicatedCommand::RecordEvidence(batch(1, 1, number, 1));
            state.apply_command(LogIndex(number + 1), &stamped(0, command));
        }
    }
    let mut tables: Value = ciborium::from_reader(&state.snapshot().unwrap()[..]).unwrap();
    let arrivals = field(field(&mut tables, "evidence"), "arrivals");
    let count = arrivals.as_array().unwrap().len();
    assert!(count <= 11, "{count}");
}
