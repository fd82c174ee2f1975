//! Commands of the replicated log and their answers.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{Incarnation, MonotonicTime, Revision, WallTime};
use pollendrift_coordination::claims::{
    AnswerBody, ClaimOutcome, ClaimState, RequestDigest, SettleAnswer, SettleClaim, TakeAnswer,
    TakeClaim,
};
use pollendrift_coordination::configuration::{
    ChangeAnswer, ChangeRequest, ConfigurationDigest, DocumentChange, EditRequest,
};
use pollendrift_coordination::replicated::{
    CommandAnswer, CommandStamp, EvidenceAnswer, EvidencePosition, GrantOrderRight, IndexedRecord,
    OrderHolder, OrderRightAnswer, ProcessNonce, ReplicatedCommand, ReplicatedEvidenceBatch,
    StampedCommand, StartHost,
};

use crate::encoded_text::cbor;
use crate::samples::{answer, conflict, document_keys, findings, scope, ticket};

fn changes() -> [ReplicatedCommand; 2] {
    let [.., source] = document_keys();
    [
        ReplicatedCommand::ChangeConfiguration(ChangeRequest {
            change_id: "c5".into(),
            based_on: Revision(5),
            operator: "anna".into(),
            text: "kind: selector\nname: s1\nmodel: m\n".into(),
        }),
        ReplicatedCommand::EditConfiguration(EditRequest {
            change_id: "c6".into(),
            based_on: Revision(6),
            operator: "bert".into(),
            changes: vec![DocumentChange {
                key: source,
                text: Some("kind: source\nversion: 2\ntext: \"{}\"\n".into()),
                edit: None,
            }],
            digest: ConfigurationDigest([0xcd; 32]),
        }),
    ]
}

fn settle(outcome: ClaimOutcome) -> ReplicatedCommand {
    ReplicatedCommand::SettleClaim(SettleClaim {
        scope: scope(),
        ticket: ticket(),
        outcome,
    })
}

fn claims() -> Vec<ReplicatedCommand> {
    let bodies = [
        AnswerBody::Whole(b"booked".to_vec()),
        AnswerBody::TooLong { bytes: 70_000 },
    ];
    let take = ReplicatedCommand::TakeClaim(TakeClaim {
        scope: scope(),
        digest: RequestDigest([0x5a; 32]),
        request: "r1".into(),
        ticket: ticket(),
    });
    let finished = bodies.map(|body| settle(ClaimOutcome::Finished(answer(body))));
    let others = [ClaimOutcome::Unknown, ClaimOutcome::NotRun].map(settle);
    std::iter::once(take)
        .chain(finished)
        .chain(others)
        .collect()
}

fn holder() -> OrderHolder {
    OrderHolder {
        host: "h1".into(),
        incarnation: Incarnation(8),
    }
}

fn commands() -> Vec<ReplicatedCommand> {
    let mut commands = Vec::from(changes());
    commands.extend(claims());
    commands.extend([
        ReplicatedCommand::RecordEvidence(ReplicatedEvidenceBatch {
            writer: "h1".into(),
            incarnation: Incarnation(8),
            first: 3.into(),
            records: vec![Arc::from([1, 2]), Arc::from([0xff])],
        }),
        ReplicatedCommand::GrantOrderRight(GrantOrderRight {
            server: "b1".into(),
            holder: holder(),
            lease: Duration::from_millis(1_500),
        }),
        ReplicatedCommand::StartHost(StartHost {
            host: "h1".into(),
            nonce: ProcessNonce(99),
        }),
        ReplicatedCommand::EndHost {
            host: "h1".into(),
            incarnation: Incarnation(8),
        },
        ReplicatedCommand::Tick,
    ]);
    commands
}

fn taken() -> Vec<TakeAnswer> {
    let already = |state| TakeAnswer::AlreadyTaken {
        request: "r1".into(),
        state,
    };
    let body = AnswerBody::Whole(b"booked".to_vec());
    vec![
        TakeAnswer::Taken,
        already(ClaimState::InProgress),
        already(ClaimState::Finished(answer(body))),
        already(ClaimState::Unknown),
        TakeAnswer::BodyDiffers {
            request: "r1".into(),
        },
        TakeAnswer::Full,
        TakeAnswer::TicketSpent,
    ]
}

fn change_answers() -> [ChangeAnswer; 4] {
    [
        ChangeAnswer::Accepted {
            revision: Revision(6),
            warnings: findings(),
        },
        ChangeAnswer::Conflict(Box::new(conflict())),
        ChangeAnswer::Refused {
            findings: findings(),
        },
        ChangeAnswer::ChangeIdReused,
    ]
}

fn evidence_answers() -> [EvidenceAnswer; 3] {
    [
        EvidenceAnswer::Recorded { next: 5.into() },
        EvidenceAnswer::Gap { expected: 2.into() },
        EvidenceAnswer::Superseded,
    ]
}

fn right_answers() -> [OrderRightAnswer; 2] {
    [
        OrderRightAnswer::Granted {
            fencing: 12.into(),
            lease: Duration::from_millis(1_500),
        },
        OrderRightAnswer::Held {
            holder: holder(),
            remaining: Duration::from_millis(700),
        },
    ]
}

fn answers() -> Vec<CommandAnswer> {
    let settled = [
        SettleAnswer::Settled,
        SettleAnswer::AlreadySettled,
        SettleAnswer::NotHeld,
    ];
    let mut answers: Vec<CommandAnswer> = change_answers().map(CommandAnswer::Change).into();
    answers.extend(taken().into_iter().map(CommandAnswer::Taken));
    answers.extend(settled.map(CommandAnswer::Settled));
    answers.extend(evidence_answers().map(CommandAnswer::Evidence));
    answers.extend(right_answers().map(CommandAnswer::OrderRight));
    answers.extend([
        CommandAnswer::Started(Incarnation(9)),
        CommandAnswer::Ended { claims: 4 },
        CommandAnswer::Ticked,
    ]);
    answers
}

// Guards against a renamed field or variant: keepers could not apply the commands of other builds or
// those in their logs.
#[test]
fn replicated_commands_keep_their_encoding() {
    let shown = |command: &ReplicatedCommand| {
        let bytes = command.encode().expect("it encodes");
        assert_eq!(ReplicatedCommand::decode(&bytes).as_ref(), Ok(command));
        cbor(command)
    };
    let shown: Vec<String> = commands().iter().map(shown).collect();
    insta::assert_snapshot!(shown.join("\n"));
}

// Guards against a renamed field of the stamp: a keeper could not replay its log.
#[test]
fn stamped_commands_keep_their_encoding() {
    let stamped = StampedCommand {
        stamp: CommandStamp {
            host: "k1".into(),
            incarnation: Incarnation(11),
            uptime: MonotonicTime::from_micros(3_000_000),
            wall: WallTime(1_700),
        },
        command: ReplicatedCommand::Tick,
    };
    insta::assert_snapshot!(cbor(&stamped));
}

// Guards against a renamed field or variant: hosts could not read the answers of keepers of other
// builds.
#[test]
fn command_answers_keep_their_encoding() {
    let shown: Vec<String> = answers().iter().map(cbor).collect();
    insta::assert_snapshot!(shown.join("\n"));
}

// Guards against a renamed field: hosts could not read the evidence that keepers send.
#[test]
fn indexed_records_keep_their_encoding() {
    let record = IndexedRecord {
        position: EvidencePosition(31),
        writer: "h1".into(),
        incarnation: Incarnation(8),
        sequence: 3.into(),
        record: Arc::from([1, 2]),
    };
    insta::assert_snapshot!(cbor(&record));
}

// Guards against changed texts in logs and status pages.
#[test]
fn names_of_claims_and_rights_keep_their_text() {
    let texts = [
        scope().to_string(),
        ticket().to_string(),
        holder().to_string(),
        conflict().to_string(),
        findings().to_string(),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}
