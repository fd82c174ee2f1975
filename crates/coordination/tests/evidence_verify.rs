//! Offline verification of exports: tampering, known heads, retention and malformed input.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use pollendrift_coordination::evidence::{
    ChainHead, EvidenceBatch, HeadTable, OutcomeKind, SealedRecord, VerifyReport, verify,
};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};

mod evidence_support;

use evidence_support::{
    anchor, begun, busy_chain, chain, export, export_after, finished, retention,
};

fn verify_lines(lines: &[String], known: &[ChainHead]) -> VerifyReport {
    verify("export.jsonl", lines.iter().map(String::as_str), known)
}

/// Two chains of three requests each: records 1..=6 of brest-1 on lines 1 to 6, of brest-2 on 7
/// to 12, heads on 13 and 14, the end on 15.
fn sample() -> Vec<String> {
    export(&[busy_chain("brest-1", 3), busy_chain("brest-2", 3)])
}

fn head_of(records: &[SealedRecord]) -> ChainHead {
    records.last().unwrap().head()
}

/// Replaces the end with one that has the new number of lines, as a careful forger would.
fn with_new_end(mut lines: Vec<String>) -> Vec<String> {
    lines.pop();
    let end = format!(
        r#"{{"end":{{"lines":{},"time":1764640000000}}}}"#,
        lines.len()
    );
    lines.push(end);
    lines
}

// Guards against findings in an unmodified export with a known head.
#[test]
fn a_complete_export_has_no_findings() {
    let report = verify_lines(&sample(), &[head_of(&busy_chain("brest-1", 2))]);
    assert_eq!(report.findings.to_string(), "");
    let chains: Vec<_> = report
        .chains
        .iter()
        .map(|chain| format!("{}: {} records", chain.head.writer, chain.records))
        .collect();
    assert_eq!(chains, ["brest-1/7: 6 records", "brest-2/7: 6 records"]);
}

// Guards against tampering that verification misses or reports at the wrong line. Each case
// modifies the complete export and, where a forger could, adapts the end line.
#[test]
fn every_modification_is_reported_with_its_line() {
    let edit = |from: &str, to: &str| {
        let mut lines = sample();
        lines[3] = lines[3].replacen(from, to, 1);
        lines
    };
    let mut removed = sample();
    removed.remove(2);
    let mut reordered = sample();
    reordered.swap(2, 3);
    let mut repeated = sample();
    let copy = repeated[4].clone();
    repeated.insert(5, copy);
    let mut tail = sample();
    tail.drain(4..6);
    let mut tail_and_head = tail.clone();
    tail_and_head.remove(10);
    let mut front = sample();
    front.drain(0..2);
    let mut chain_gone = sample();
    chain_gone.drain(0..6);
    let mut forged_front = front.clone();
    let dropped = &busy_chain("brest-1", 1)[1];
    forged_front.insert(0, export_after(Some(anchor(dropped)), &[])[0].clone());
    let mut other = busy_chain("brest-1", 2);
    other.extend(chain("brest-1", vec![begun("x"); 6]).drain(4..));
    let replaced = export(&[other, busy_chain("brest-2", 3)]);
    let mut cut = sample();
    cut.truncate(9);
    let mut longer = sample();
    longer.push(longer[0].clone());
    let mut garbage = sample();
    garbage[1] = "{\"record\":{}".into();
    let table = [
        ("outcome edited", edit("complete", "not-run")),
        ("time edited", edit("1764633600003", "1764633600004")),
        (
            "key written twice",
            edit("\"sequence\"", "\"sequence\":9,\"sequence\""),
        ),
        (
            "key added",
            edit("{\"record\":{", "{\"record\":{\"note\":\"x\","),
        ),
        ("space added", edit("\"sequence\":", "\"sequence\": ")),
        ("record removed", with_new_end(removed)),
        ("records swapped", reordered),
        ("record repeated", with_new_end(repeated)),
        ("tail removed", with_new_end(tail)),
        ("tail and head removed", with_new_end(tail_and_head)),
        ("front removed", with_new_end(front)),
        ("front removed, anchor forged", with_new_end(forged_front)),
        ("chain removed, head left", with_new_end(chain_gone)),
        ("two records of another history", replaced),
        ("cut off", cut),
        ("line added after the end", longer),
        ("line damaged", garbage),
    ];
    let lines: Vec<_> = table
        .iter()
        .map(|(name, lines)| format!("{name}:\n{}", verify_lines(lines, &[]).findings))
        .collect();
    insta::assert_snapshot!(lines.join(""), @"
    outcome edited:
    export.jsonl:4:1: error: edited: the digest is not that of the record (accepted: the line as it was exported)
    time edited:
    export.jsonl:4:1: error: edited: the digest is not that of the record (accepted: the line as it was exported)
    key written twice:
    export.jsonl:4:1: error: damaged: not readable: duplicate field `sequence` at line 1 column 78 (accepted: the line as it was exported)
    export.jsonl:5:1: error: gap: records 4..=4 of brest-1/7 are missing before this line (accepted: every record, or an anchor where retention dropped the first ones)
    key added:
    export.jsonl:4:1: error: edited: the line is not in canonical form (accepted: the line as it was exported)
    space added:
    export.jsonl:4:1: error: edited: the line is not in canonical form (accepted: the line as it was exported)
    record removed:
    export.jsonl:3:1: error: gap: records 3..=3 of brest-1/7 are missing before this line (accepted: every record, or an anchor where retention dropped the first ones)
    records swapped:
    export.jsonl:4:1: error: reordered: record 3 of brest-1/7 comes after record 4 (accepted: record 5 of brest-1/7)
    record repeated:
    export.jsonl:6:1: error: repeated: record 5 of brest-1/7 occurs twice (accepted: record 6 of brest-1/7)
    tail removed:
    export.jsonl:11:1: error: removed tail: records 5..=6 of brest-1/7 are missing (accepted: every record up to the head)
    tail and head removed:
    export.jsonl:0:0: error: removed: brest-1/7 has no head (accepted: a `head` line for each chain)
    front removed:
    export.jsonl:1:1: error: gap: records 1..=2 of brest-1/7 are missing before this line (accepted: every record, or an anchor where retention dropped the first ones)
    front removed, anchor forged:
    export.jsonl:1:1: error: removed: no keeper recorded that brest-1/7 was dropped through 2 (accepted: a record `retention-applied` for the anchor)
    chain removed, head left:
    export.jsonl:7:1: error: removed tail: records 1..=6 of brest-1/7 are missing (accepted: every record up to the head)
    two records of another history:
    export.jsonl:5:1: error: replaced: record 5 of brest-1/7 does not follow the record before it (accepted: records as their writer chained them)
    cut off:
    export.jsonl:9:1: error: cut off: the export has no end (accepted: a last line `end`)
    export.jsonl:0:0: error: removed: brest-1/7 has no head (accepted: a `head` line for each chain)
    export.jsonl:0:0: error: removed: brest-2/7 has no head (accepted: a `head` line for each chain)
    line added after the end:
    export.jsonl:16:1: error: a line after the end of the export (accepted: no line after `end`)
    line damaged:
    export.jsonl:2:1: error: damaged: not readable: missing field `writer` at line 1 column 12 (accepted: the line as it was exported)
    export.jsonl:3:1: error: gap: records 2..=2 of brest-1/7 are missing before this line (accepted: every record, or an anchor where retention dropped the first ones)
    ");
}

// Guards against an undetected rewrite of a chain. The forger changes an old outcome and seals all
// later records and the head again, or removes the newest records and adapts the head. Such an
// export is consistent; only a head that was known earlier outside the system reveals the change.
#[test]
fn a_known_head_reveals_a_chain_rewritten_with_new_digests() {
    let honest = busy_chain("brest-1", 3);
    let mut events: Vec<_> = honest
        .iter()
        .map(|sealed| sealed.record.event.clone())
        .collect();
    events[1] = finished("brest-1-r0", OutcomeKind::NotRun);
    let rewritten = export(&[chain("brest-1", events)]);
    let shortened = export(&[busy_chain("brest-1", 2)]);
    let known = [head_of(&honest)];
    let table = [rewritten, shortened, export(&[honest])];
    let lines = table.map(|lines| {
        let alone = verify_lines(&lines, &[]).findings.has_errors();
        let with_head = verify_lines(&lines, &known).findings;
        format!("alone: {alone}, with the head: {with_head}")
    });
    insta::assert_snapshot!(lines.join("\n"), @"
    alone: false, with the head: export.jsonl:0:0: error: the known head brest-1/7/6/9b21a58d70c9f9d87e1d4929ea85c53d7c9dbd5fef6326a36d5ed7a7ac131201 is not in the export (accepted: every record that existed when the head was stored)

    alone: false, with the head: export.jsonl:0:0: error: the known head brest-1/7/6/9b21a58d70c9f9d87e1d4929ea85c53d7c9dbd5fef6326a36d5ed7a7ac131201 is not in the export (accepted: every record that existed when the head was stored)

    alone: false, with the head:
    ");
}

// Guards against findings for records that retention dropped, with known heads before, at and after
// the anchor.
#[test]
fn an_export_after_retention_has_no_findings() {
    let records = busy_chain("brest-1", 3);
    let dropped = records[3].clone();
    let keeper = chain("brest-2", vec![retention("brest-2", &dropped)]);
    let known = [records[1].head(), dropped.head(), head_of(&records)];
    let remaining = records[4..].to_vec();
    let lines = export_after(Some(anchor(&dropped)), &[remaining, keeper]);
    assert_eq!(verify_lines(&lines, &known).findings.to_string(), "");
}

// Guards against a head whose text an auditor stores and the parser then rejects, and against
// malformed heads that it accepts.
#[test]
fn a_head_parses_from_its_text_and_a_malformed_one_is_rejected() {
    let head = head_of(&busy_chain("brest-1", 1));
    assert_eq!(head.to_string().parse(), Ok(head.clone()));
    for text in ["", "brest-1/7/2", "brest-1/7/two/00", "/7/2/zz"] {
        assert!(text.parse::<ChainHead>().is_err(), "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against a change of any single byte of an export that verification misses.
    #[test]
    fn every_changed_byte_is_detected(position in any::<prop::sample::Index>(), byte in b' '..=b'~') {
        let text = sample().join("\n");
        let index = position.index(text.len());
        let mut bytes = text.clone().into_bytes();
        bytes[index] = byte;
        let changed = String::from_utf8_lossy(&bytes).into_owned();
        let lines: Vec<_> = changed.split('\n').map(str::to_owned).collect();
        // Digests cover everything but the time of the end line, which nothing depends on.
        let end_time = text.rfind("\"time\":").unwrap();
        let covered = index < end_time && changed != text;
        prop_assert!(!covered || verify_lines(&lines, &[]).findings.has_errors());
    }

    // Guards against untrusted input that a keeper stores as a batch without a valid chain.
    #[test]
    fn arbitrary_batches_are_refused(lines in prop::collection::vec("[{}\\[\\]\",:a-z0-9]{0,64}", 0..4), bytes in any::<Vec<u8>>()) {
        let batch = EvidenceBatch {
            writer: evidence_support::writer("brest-1"),
            first: 1.into(),
            lines: lines.into_iter().map(Into::into).collect(),
        };
        prop_assert!(HeadTable::default().check(&batch).is_err());
        let decoded: Result<EvidenceBatch, _> = ciborium::from_reader(bytes.as_slice());
        prop_assert!(decoded.is_err());
    }

    // Guards against untrusted text that makes verification panic or passes without a finding.
    #[test]
    fn arbitrary_text_has_findings(text in any::<String>(), tail in "[{}\\[\\]\",:a-z0-9]{0,64}") {
        let lines = [text, format!("{{\"record\":{tail}"), format!("{{\"head\":{tail}")];
        prop_assert!(verify_lines(&lines, &[]).findings.has_errors());
    }
}
