//! The replicated state: snapshots, the replicated clock, evidence and order rights.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

mod replicated_support;

use std::time::Duration;

use pollendrift_coordination::agreement::{LogIndex, StateMachine};
use pollendrift_coordination::base::{
    ChangeId, Incarnation, MonotonicTime, Revision, SequenceNumber, WallTime,
};
use pollendrift_coordination::claims::{
    AnswerBody, ClaimOutcome, ClaimScope, ClaimTicket, RequestDigest, SettleClaim, StoredAnswer,
    TakeClaim,
};
use pollendrift_coordination::configuration::{ChangeAnswer, ChangeRequest};
use pollendrift_coordination::replicated::{
    CommandAnswer, CommandStamp, EvidenceAnswer, EvidencePosition, GrantOrderRight, OrderHolder,
    OrderRightAnswer, ProcessNonce, ReplicatedClock, ReplicatedCommand, ReplicatedSettings,
    ReplicatedState, StampedCommand, StartHost,
};
use proptest::prelude::{Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

use replicated_support::{batch, stamped};

fn change(id: &str, based_on: u64, weight: u32) -> ReplicatedCommand {
    let text = format!(
        "kind: labels\non: customer\nname: c{}\nlabels: {{weight: {}}}\n",
        weight % 7,
        1 + weight
    );
    ReplicatedCommand::ChangeConfiguration(ChangeRequest {
        change_id: id.into(),
        based_on: Revision(based_on),
        operator: "anna".into(),
        text: text.into(),
    })
}

fn ticket(host: u8, sequence: u64) -> ClaimTicket {
    ClaimTicket {
        host: format!("h{host}").into(),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(sequence),
    }
}

fn scope(key: u8) -> ClaimScope {
    ClaimScope {
        customer: "plant".into(),
        service: "permits".into(),
        key: format!("{key}").into(),
    }
}

fn grant(holder: u8, lease: u64) -> ReplicatedCommand {
    ReplicatedCommand::GrantOrderRight(GrantOrderRight {
        server: "e1".into(),
        holder: OrderHolder {
            host: format!("h{holder}").into(),
            incarnation: Incarnation(1),
        },
        lease: Duration::from_secs(lease),
    })
}

fn any_command() -> impl Strategy<Value = ReplicatedCommand> {
    prop_oneof![
        (0..20_u8, 0..6_u64, 0..60_u32).prop_map(|(id, based_on, weight)| change(
            &format!("c{id}"),
            based_on,
            weight
        )),
        (0..6_u8, 0..3_u8, 0..9_u64, any::<bool>()).prop_map(|(key, host, sequence, body)| {
            ReplicatedCommand::TakeClaim(TakeClaim {
                scope: scope(key),
                digest: RequestDigest([u8::from(body); 32]),
                request: format!("r{sequence}").into(),
                ticket: ticket(host, sequence),
            })
        }),
        (0..6_u8, 0..3_u8, 0..9_u64, 0..3_u8).prop_map(|(key, host, sequence, outcome)| {
            let answer = StoredAnswer {
                status: 201,
                headers: Vec::new(),
                body: AnswerBody::Whole(vec![key]),
            };
            ReplicatedCommand::SettleClaim(SettleClaim {
                scope: scope(key),
                ticket: ticket(host, sequence),
                outcome: match outcome {
                    0 => ClaimOutcome::Finished(answer),
                    1 => ClaimOutcome::Unknown,
                    _ => ClaimOutcome::NotRun,
                },
            })
        }),
        (0..3_u8, 1..3_u64, 0..5_u64, 0..4_u8).prop_map(|(writer, incarnation, first, count)| {
            ReplicatedCommand::RecordEvidence(batch(writer, incarnation, first, count))
        }),
        (0..3_u8, 0..90_u64).prop_map(|(holder, lease)| grant(holder, lease)),
        (0..3_u8, 0..3_u64).prop_map(|(host, nonce)| ReplicatedCommand::StartHost(StartHost {
            host: format!("h{host}").into(),
            nonce: ProcessNonce(nonce),
        })),
        (0..3_u8).prop_map(|host| ReplicatedCommand::EndHost {
            host: format!("h{host}").into(),
            incarnation: Incarnation(1),
        }),
        proptest::strategy::Just(ReplicatedCommand::Tick),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 128,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    // Guards against a keeper that answers resent commands differently after a restart. Restored
    // from a snapshot taken at any point, it must give the same answers as a keeper that never
    // stopped, and end in the same state byte for byte.
    #[test]
    fn restored_keeper_answers_like_one_that_never_stopped(
        commands in proptest::collection::vec((any_command(), 0..50_000_u64), 1..80),
        snapshot_at in 0..80_usize,
    ) {
        let mut kept = ReplicatedState::new(ReplicatedSettings::default());
        let mut restored = None;
        let mut seconds = 0;
        for (index, (command, passed)) in commands.into_iter().enumerate() {
            if index == snapshot_at {
                let mut state = ReplicatedState::new(ReplicatedSettings::default());
                state.restore(&kept.snapshot().unwrap()).unwrap();
                restored = Some(state);
            }
            seconds += passed / 10;
            let bytes = stamped(seconds, command).encode().unwrap();
            let index = LogIndex(index as u64 + 1);
            let answer = kept.apply(index, &bytes).unwrap();
            if let Some(state) = &mut restored {
                assert_eq!(state.apply(index, &bytes).unwrap(), answer);
            }
        }
        if let Some(state) = &restored {
            assert_eq!(state.snapshot().unwrap(), kept.snapshot().unwrap());
            assert_eq!(state.configuration().digest(), kept.configuration().digest());
            assert_eq!(state.configuration().revision(), kept.configuration().revision());
        }
    }
}

// Guards against a restart that loses changes or the answers to them. After a restart following
// hundreds of changes, the configuration must be the last accepted one, and a resent change must
// get its first answer.
#[test]
fn restart_keeps_hundreds_of_changes_and_their_answers() {
    let mut state = ReplicatedState::new(ReplicatedSettings::default());
    let commands: Vec<StampedCommand> = (0..600_u64)
        .map(|number| stamped(number, change(&format!("c{number}"), number, number as u32)))
        .collect();
    let mut answers = Vec::new();
    for (index, command) in commands.iter().enumerate() {
        answers.push(state.apply_command(LogIndex(index as u64 + 1), command));
    }
    let mut restarted = ReplicatedState::new(ReplicatedSettings::default());
    restarted.restore(&state.snapshot().unwrap()).unwrap();
    assert_eq!(restarted.configuration().revision(), Revision(600));
    assert_eq!(
        restarted.configuration().digest(),
        state.configuration().digest()
    );
    for (index, command) in commands.iter().enumerate() {
        let resent = restarted.apply_command(LogIndex(601 + index as u64), command);
        assert_eq!(resent, answers[index]);
    }
    assert_eq!(restarted.configuration().revision(), Revision(600));
    let first = restarted.changes().answer(&ChangeId::from("c0")).unwrap();
    assert!(matches!(
        first,
        ChangeAnswer::Accepted {
            revision: Revision(1),
            ..
        }
    ));
}

// Guards against a command or snapshot that can't be decoded but changes the state. It must cause
// an error only.
#[test]
fn undecodable_input_changes_nothing() {
    let mut state = ReplicatedState::new(ReplicatedSettings::default());
    state.apply_command(LogIndex(1), &stamped(1, change("c", 0, 1)));
    let before = state.snapshot().unwrap();
    let truncated = &before[..before.len() / 2];
    assert!(state.apply(LogIndex(2), b"no command").is_err());
    assert!(state.restore(truncated).is_err());
    assert!(state.restore(b"").is_err());
    assert_eq!(state.snapshot().unwrap(), before);
}

/// Leader host, incarnation, uptime and wall clock in seconds.
type Stamp = (&'static str, u64, u64, u64);

// Guards against claims that expire early: the replicated clock gains more between two entries than
// real time, or runs backwards, when wall clocks jump, leaders alternate or one leader's stamps
// repeat. A clock that kept one offset per leader would jump by 6 s at the third stamp of the second
// case.
#[test]
fn replicated_clock_follows_uptime() {
    let cases: [(&str, &[Stamp], &[u64]); 3] = [
        (
            "wall clock a year ahead and back, then a restart",
            &[
                ("k1", 1, 10, 0),
                ("k1", 1, 11, 31_536_000),
                ("k1", 1, 12, 0),
                ("k1", 2, 0, 0),
                ("k1", 2, 5, 0),
            ],
            &[0, 1, 2, 2, 7],
        ),
        (
            "leaders alternate",
            &[
                ("k1", 1, 0, 0),
                ("k2", 1, 5, 5),
                ("k1", 1, 6, 6),
                ("k1", 1, 8, 8),
            ],
            &[0, 0, 0, 2],
        ),
        (
            "stamps doubled and late",
            &[
                ("k1", 1, 0, 0),
                ("k1", 1, 9, 9),
                ("k1", 1, 4, 4),
                ("k1", 1, 9, 9),
            ],
            &[0, 9, 9, 9],
        ),
    ];
    for (name, stamps, expected) in cases {
        let mut clock = ReplicatedClock::default();
        let seconds: Vec<u64> = stamps
            .iter()
            .map(|(host, incarnation, uptime, wall)| {
                let stamp = CommandStamp {
                    host: (*host).into(),
                    incarnation: Incarnation(*incarnation),
                    uptime: MonotonicTime::from_millis(uptime * 1_000),
                    wall: WallTime(wall * 1_000),
                };
                clock.observe(&stamp).as_micros() / 1_000_000
            })
            .collect();
        assert_eq!(seconds, expected, "{name}");
    }
}

// Guards against records stored twice or skipped. Writers resend evidence after lost answers, with
// overlaps and out of order. Each record must be recorded once, and a writer that skipped records
// must receive the number of the first one.
#[test]
fn each_evidence_record_is_recorded_once() {
    let mut state = ReplicatedState::new(ReplicatedSettings::default());
    let batches = [
        batch(1, 1, 0, 2),
        batch(1, 1, 0, 2),
        batch(1, 1, 1, 3),
        batch(1, 1, 6, 1),
        batch(2, 1, 0, 1),
        batch(1, 2, 0, 1),
        batch(1, 1, 4, 1),
    ];
    let answers: Vec<EvidenceAnswer> = batches
        .into_iter()
        .map(|batch| {
            let command = stamped(0, ReplicatedCommand::RecordEvidence(batch));
            match state.apply_command(LogIndex(1), &command) {
                CommandAnswer::Evidence(answer) => answer,
                other => panic!("{other:?}"),
            }
        })
        .collect();
    insta::assert_debug_snapshot!(answers, @r#"
    [
        Recorded {
            next: SequenceNumber(
                2,
            ),
        },
        Recorded {
            next: SequenceNumber(
                2,
            ),
        },
        Recorded {
            next: SequenceNumber(
                4,
            ),
        },
        Gap {
            expected: SequenceNumber(
                4,
            ),
        },
        Recorded {
            next: SequenceNumber(
                1,
            ),
        },
        Recorded {
            next: SequenceNumber(
                1,
            ),
        },
        Superseded,
    ]
    "#);
    let kept: Vec<String> = state
        .evidence()
        .since(EvidencePosition(1))
        .map(|record| {
            format!(
                "{} {}#{}/{}",
                record.position, record.writer, record.incarnation, record.sequence
            )
        })
        .collect();
    insta::assert_debug_snapshot!(kept, @r#"
    [
        "1 h1#1/1",
        "2 h1#1/2",
        "3 h1#1/3",
        "4 h2#1/0",
        "5 h1#2/0",
    ]
    "#);
}

// Guards against two hosts that give contradictory orders to one backend server. Only one holds the
// right at a time, each new holder's number is higher, and a renewal keeps its number.
#[test]
fn order_rights_have_one_holder_and_increasing_numbers() {
    let mut state = ReplicatedState::new(ReplicatedSettings::default());
    let calls = [
        (0, 1),
        (1, 2),
        (8, 1),
        (17, 2),
        (18, 2),
        (19, 2),
        (20, 1),
        (29, 1),
        (30, 1),
    ];
    let mut report = Vec::new();
    for (second, holder) in calls {
        let command = stamped(second, grant(holder, 10));
        let answer = match state.apply_command(LogIndex(1), &command) {
            CommandAnswer::OrderRight(OrderRightAnswer::Granted { fencing, .. }) => {
                format!("granted under {fencing}")
            }
            CommandAnswer::OrderRight(OrderRightAnswer::Held { holder, remaining }) => {
                format!("held by {holder} for {remaining:?}")
            }
            other => panic!("{other:?}"),
        };
        report.push(format!("{second} s, h{holder}: {answer}"));
    }
    insta::assert_debug_snapshot!(report, @r#"
    [
        "0 s, h1: granted under 1",
        "1 s, h2: held by h1#1 for 9s",
        "8 s, h1: granted under 1",
        "17 s, h2: held by h1#1 for 1s",
        "18 s, h2: held by h1#1 for 0ns",
        "19 s, h2: granted under 2",
        "20 s, h1: held by h2#1 for 9s",
        "29 s, h1: held by h2#1 for 0ns",
        "30 s, h1: granted under 3",
    ]
    "#);
}

// Guards against an incarnation that is used twice. A host without a disk that restarts must get a
// higher one; a request that is resent after a lost answer must not increase it again.
#[test]
fn each_process_start_gets_a_higher_incarnation() {
    let mut state = ReplicatedState::new(ReplicatedSettings::default());
    let given: Vec<u64> = [7, 7, 8, 8, 9]
        .into_iter()
        .map(|nonce| {
            let start = ReplicatedCommand::StartHost(StartHost {
                host: "h1".into(),
                nonce: ProcessNonce(nonce),
            });
            match state.apply_command(LogIndex(1), &stamped(0, start)) {
                CommandAnswer::Started(incarnation) => incarnation.0,
                other => panic!("{other:?}"),
            }
        })
        .collect();
    assert_eq!(given, [1, 1, 2, 2, 3]);
}
