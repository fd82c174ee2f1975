//! Tests of the choice among the copies of a stream.
#![allow(clippy::unwrap_used, reason = "a helper that fails is a failed test")]

use pollendrift_coordination::base::{AttemptNumber, TokenPosition};
use pollendrift_coordination::ledger::GeneratedToken;
use pollendrift_coordination::streams::{
    LookUpAnswer, ResumeQuery, ResumeVerdict, StreamRecord, StreamSearch,
};

fn copy(attempt: u32, tokens: u64) -> StreamRecord {
    let token = |id| GeneratedToken {
        id,
        text: id.to_string().into(),
    };
    StreamRecord {
        customer: "federation".into(),
        digest: [7; 32],
        version: "v1".into(),
        model_layers: 8,
        attempt: AttemptNumber(attempt),
        tokens: (0..tokens).map(token).collect(),
        finish: None,
    }
}

fn found(attempt: u32, tokens: u64) -> LookUpAnswer {
    LookUpAnswer::Copy(copy(attempt, tokens))
}

fn silent() -> LookUpAnswer {
    LookUpAnswer::Unreachable {
        reason: "no answer in time".to_owned(),
    }
}

fn gone() -> LookUpAnswer {
    LookUpAnswer::Gone {
        reason: "connection refused".to_owned(),
    }
}

/// Verdict about a caller that continues at position `from`.
fn verdict(from: u32, answers: Vec<LookUpAnswer>) -> String {
    let mut search = StreamSearch::new(ResumeQuery {
        customer: "federation".into(),
        digest: [7; 32],
        from: TokenPosition(from),
    });
    for (index, answer) in answers.into_iter().enumerate() {
        search.record(format!("host-{index}").into(), answer);
    }
    assert_eq!(
        search.is_resumable(),
        matches!(search.verdict(), ResumeVerdict::Resumable(_))
    );
    match search.verdict() {
        ResumeVerdict::Resumable(record) => {
            let (tokens, attempt) = (record.tokens.len(), record.attempt);
            format!("resumable with {tokens} tokens of attempt {attempt}")
        }
        other => format!("{other:?}"),
    }
}

// Guards against a resume from an older copy than another host has, against one that joins the
// tokens of two runs, and against a stream that counts as lost while a host with a copy is silent.
#[test]
fn the_longest_copy_of_the_last_run_is_chosen() {
    let mut complete = copy(1, 40);
    complete.finish = Some("stop".to_owned());
    let mut foreign = copy(1, 40);
    foreign.digest = [8; 32];
    let foreign = LookUpAnswer::Copy(foreign);
    let cases = [
        ("no host", 9, vec![]),
        ("no copy", 9, vec![LookUpAnswer::NoCopy]),
        ("not reachable", 9, vec![silent(), LookUpAnswer::NoCopy]),
        ("gone", 9, vec![gone(), LookUpAnswer::NoCopy]),
        (
            "too short, another not reachable",
            39,
            vec![found(1, 28), silent()],
        ),
        ("too short, another gone", 39, vec![found(1, 28), gone()]),
        (
            "long enough, another not reachable",
            9,
            vec![found(1, 28), silent()],
        ),
        ("one copy", 9, vec![LookUpAnswer::NoCopy, found(1, 12)]),
        ("exactly as long", 12, vec![found(1, 12)]),
        ("short first", 39, vec![found(1, 28), found(1, 56)]),
        ("short last", 39, vec![found(1, 56), found(1, 28)]),
        ("later attempt", 39, vec![found(1, 28), found(3, 56)]),
        (
            "longer earlier run",
            39,
            vec![found(2, 60), found(1002, 45)],
        ),
        (
            "later run too short",
            50,
            vec![found(2, 60), found(1002, 45)],
        ),
        ("all too short", 39, vec![found(1, 28), found(1, 12)]),
        (
            "beyond its end",
            60,
            vec![LookUpAnswer::Copy(complete.clone())],
        ),
        (
            "beyond its end, another not reachable",
            60,
            vec![LookUpAnswer::Copy(complete.clone()), silent()],
        ),
        (
            "other draft, another not reachable",
            9,
            vec![foreign.clone(), silent()],
        ),
        (
            "other draft",
            9,
            vec![foreign.clone(), LookUpAnswer::NoCopy],
        ),
        ("other draft elsewhere", 9, vec![foreign, found(1, 12)]),
    ];
    let seen = cases.map(|(name, from, answers)| format!("{name}: {}", verdict(from, answers)));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    no host: Unknown
    no copy: Unknown
    not reachable: Unreachable { hosts: [HostName("host-0")] }
    gone: Unknown
    too short, another not reachable: Unreachable { hosts: [HostName("host-1")] }
    too short, another gone: Lost { stored: 28 }
    long enough, another not reachable: resumable with 28 tokens of attempt 1
    one copy: resumable with 12 tokens of attempt 1
    exactly as long: resumable with 12 tokens of attempt 1
    short first: resumable with 56 tokens of attempt 1
    short last: resumable with 56 tokens of attempt 1
    later attempt: resumable with 56 tokens of attempt 3
    longer earlier run: resumable with 45 tokens of attempt 1002
    later run too short: Lost { stored: 45 }
    all too short: Lost { stored: 28 }
    beyond its end: BeyondEnd
    beyond its end, another not reachable: BeyondEnd
    other draft, another not reachable: OtherDraft
    other draft: OtherDraft
    other draft elsewhere: resumable with 12 tokens of attempt 1
    "#);
}

// Guards against a log line that grows with the number of hosts, and against one that hides the
// host with the copy among those without.
#[test]
fn the_text_of_a_search_lists_a_bounded_number_of_hosts() {
    let mut search = StreamSearch::new(ResumeQuery {
        customer: "federation".into(),
        digest: [7; 32],
        from: TokenPosition(9),
    });
    for index in 0..300 {
        let answer = match index {
            8 => gone(),
            299 => found(2, 28),
            250.. => silent(),
            _ => LookUpAnswer::NoCopy,
        };
        search.record(format!("host-{index:03}").into(), answer);
    }
    let text = search.to_string();
    let ends = [text.get(..90), text.get(text.len() - 80..)].map(Option::unwrap);
    insta::assert_snapshot!(ends.join(" ... "), @"host-299: 28 tokens of attempt 2; host-008: gone, connection refused; host-250: not reacha ... wer in time; host-263: not reachable, no answer in time; 35 more; no copy at 249");
    assert!(text.len() < 1_000, "{}", text.len());
}
