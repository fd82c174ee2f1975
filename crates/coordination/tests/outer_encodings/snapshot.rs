//! Snapshots of the replicated state, as keepers store them and send them to lagging keepers.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::agreement::{LogIndex, StateMachine};
use pollendrift_coordination::base::{Incarnation, MonotonicTime, Revision, WallTime};
use pollendrift_coordination::claims::{
    AnswerBody, ClaimOutcome, ClaimScope, ClaimSettings, ClaimTicket, RequestDigest, SettleClaim,
    TakeClaim,
};
use pollendrift_coordination::configuration::{
    ChangeRequest, ChangeRetention, PublishedSource, source_document,
};
use pollendrift_coordination::replicated::{
    CommandStamp, EvidenceRetention, GrantOrderRight, OrderHolder, ProcessNonce, ReplicatedCommand,
    ReplicatedEvidenceBatch, ReplicatedSettings, ReplicatedState, StampedCommand, StartHost,
};
use pollendrift_coordination::routes::SourceVersion;

use crate::encoded_text::bytes_as_text;
use crate::samples::{answer, scope};

fn settings() -> ReplicatedSettings {
    ReplicatedSettings {
        changes: ChangeRetention {
            answers: 101,
            answer_age: Duration::from_secs(102),
            history: 103,
            history_age: Duration::from_secs(104),
            history_bytes: 10_500,
        },
        claims: ClaimSettings {
            retention: Duration::from_secs(201),
            max_claims: 202,
            max_customer_claims: 203,
            max_body_bytes: 204,
            max_header_bytes: 205,
            max_stored_bytes: 20_600,
        },
        evidence: EvidenceRetention {
            records: 301,
            bytes: 30_200,
            age: Duration::from_secs(303),
        },
    }
}

fn change(id: &str, based_on: u64, version: u64) -> ReplicatedCommand {
    let routes: Vec<String> = (0..9)
        .map(|name| format!(r#"{{"name":"r-{name}","prefix":"/p{name}/"}}"#))
        .collect();
    let source = PublishedSource {
        version: SourceVersion(version),
        text: format!(r#"{{"routes":[{}],"version":{version}}}"#, routes.join(",")).into(),
    };
    let rule = "kind: labels\non: customer\nname: ponant\nlabels: {weight: 3}\n";
    ReplicatedCommand::ChangeConfiguration(ChangeRequest {
        change_id: id.into(),
        based_on: Revision(based_on),
        operator: "anna".into(),
        text: format!("{rule}---\n{}", source_document(&source)).into(),
    })
}

fn claim(key: &str) -> ClaimScope {
    ClaimScope {
        key: key.into(),
        ..scope()
    }
}

fn ticket(sequence: u64) -> ClaimTicket {
    ClaimTicket {
        host: "h1".into(),
        incarnation: Incarnation(1),
        sequence: sequence.into(),
    }
}

fn claims() -> Vec<ReplicatedCommand> {
    let finished = [
        AnswerBody::Whole(b"booked".to_vec()),
        AnswerBody::TooLong { bytes: 70_000 },
    ]
    .map(|body| ClaimOutcome::Finished(answer(body)));
    let [whole, long] = finished;
    let outcomes = [
        None,
        Some(whole),
        Some(long),
        Some(ClaimOutcome::Unknown),
        Some(ClaimOutcome::NotRun),
    ];
    let mut commands = Vec::new();
    for (sequence, outcome) in (1..).zip(outcomes) {
        let scope = claim(&format!("key-{sequence}"));
        commands.push(ReplicatedCommand::TakeClaim(TakeClaim {
            scope: scope.clone(),
            digest: RequestDigest([0x5a; 32]),
            request: format!("r{sequence}").into(),
            ticket: ticket(sequence),
        }));
        let settle = |outcome| {
            ReplicatedCommand::SettleClaim(SettleClaim {
                scope,
                ticket: ticket(sequence),
                outcome,
            })
        };
        commands.extend(outcome.map(settle));
    }
    commands
}

fn commands() -> Vec<ReplicatedCommand> {
    let mut commands = vec![
        ReplicatedCommand::StartHost(StartHost {
            host: "h1".into(),
            nonce: ProcessNonce(99),
        }),
        change("c1", 0, 1),
        change("c2", 1, 2),
        change("c3", 1, 3),
    ];
    commands.extend(claims());
    commands.push(ReplicatedCommand::RecordEvidence(ReplicatedEvidenceBatch {
        writer: "h1".into(),
        incarnation: Incarnation(1),
        first: 0.into(),
        records: vec![Arc::from([1, 2]), Arc::from([0xff])],
    }));
    commands.push(ReplicatedCommand::GrantOrderRight(GrantOrderRight {
        server: "b1".into(),
        holder: OrderHolder {
            host: "h1".into(),
            incarnation: Incarnation(1),
        },
        lease: Duration::from_secs(50),
    }));
    commands
}

fn stamped(second: u64, command: ReplicatedCommand) -> StampedCommand {
    StampedCommand {
        stamp: CommandStamp {
            host: "k1".into(),
            incarnation: Incarnation(11),
            uptime: MonotonicTime::from_millis(second * 1_000),
            wall: WallTime(second * 1_000),
        },
        command,
    }
}

fn filled() -> ReplicatedState {
    let mut state = ReplicatedState::new(settings());
    for (second, command) in (1..).zip(commands()) {
        state.apply_command(LogIndex(second + 100), &stamped(second, command));
    }
    state
}

// Guards against a renamed field or variant: a keeper could not start from the snapshot on its disk,
// and a lagging keeper would be unable to install the leader's.
#[test]
fn snapshots_of_the_replicated_state_keep_their_encoding() {
    let bytes = filled().snapshot().expect("it encodes");
    let mut restored = ReplicatedState::default();
    restored.restore(&bytes).expect("own snapshot");
    assert_eq!(restored.snapshot().expect("it encodes"), bytes);
    insta::assert_snapshot!(bytes_as_text(&bytes));
}
