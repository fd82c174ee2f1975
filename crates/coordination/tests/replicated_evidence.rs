//! Evidence in the replicated state: how much of it is kept, and in which formats it is read.
#![allow(clippy::unwrap_used, reason = "a test that can not go on must stop")]

mod replicated_support;

use ciborium::Value;
use pollendrift_coordination::agreement::{LogIndex, StateMachine};
use pollendrift_coordination::replicated::{
    EvidencePosition, EvidenceRetention, ReplicatedCommand, ReplicatedSettings, ReplicatedState,
};

use replicated_support::{batch, stamped};

// Operators and callers wait for keepers that start again for as long as those read their snapshot.
// Hosts record what they serve by, twenty of them each second, and keepers have copied it to their
// files long before. Kept by number and bytes alone, all of a quiet day lay in each snapshot.
#[test]
fn a_snapshot_holds_the_evidence_of_the_last_moments() {
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

// Operators see: a keeper of this version starts from the snapshot that the version before it left, in
// which records were lists of numbers without a time of arrival, and drops them in time.
#[test]
fn a_snapshot_of_the_format_before_is_read() {
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

// Operators see: keepers' memory and snapshots grow with the batches of a busy minute. Writers send again
// what was recorded, or more than the bounds keep; what is kept of them is bounded all the same.
#[test]
fn marks_of_arrival_are_bounded_by_the_records() {
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
