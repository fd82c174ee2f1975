//! Size and processing time of claims and evidence records by number of stored ones.

use pollendrift_coordination::agreement::{LogIndex, StateMachine};
use pollendrift_coordination::base::{Incarnation, MonotonicTime, SequenceNumber, WallTime};
use pollendrift_coordination::claims::{
    AnswerBody, ClaimOutcome, ClaimScope, ClaimTicket, RequestDigest, SettleClaim, StoredAnswer,
    TakeClaim,
};
use pollendrift_coordination::evidence::{
    BodyDigest, BufferSettings, ChainWriter, DecisionTrace, EvidenceBuffer, EvidenceEvent,
    RequestBegun,
};
use pollendrift_coordination::replicated::{
    CommandStamp, ReplicatedCommand, ReplicatedSettings, ReplicatedState, StampedCommand,
};

use crate::clock::micros_per_call;
use crate::fail;
use crate::series::Series;

const CLAIM_SIZES: [u64; 3] = [1_000, 10_000, 100_000];
const RECORD_SIZES: [u64; 3] = [100, 1_000, 4_000];

pub(crate) fn run(_seed: u64) -> Vec<Series> {
    let mut measured = measure_claims();
    measured.extend(measure_evidence());
    measured
}

fn measure_claims() -> Vec<Series> {
    let mut snapshot = Series::new("snapshot of settled claims", "claims", "bytes");
    let mut duration = Series::new("take and settle a claim", "claims", "us");
    let mut command = Series::new("commands of one claim, encoded", "claims", "bytes");
    for size in CLAIM_SIZES {
        let mut state = ReplicatedState::new(ReplicatedSettings::default());
        (0..size).for_each(|number| claim(&mut state, number));
        snapshot.add(count(size), state.snapshot().map_or(0, |b| b.len()) as f64);
        command.add(count(size), command_bytes(size) as f64);
        let mut number = size;
        let micros = micros_per_call(|| {
            claim(&mut state, number);
            number += 1;
        });
        duration.add(count(size), micros);
    }
    vec![snapshot, command, duration]
}

fn count(size: u64) -> usize {
    usize::try_from(size).unwrap_or(usize::MAX)
}

fn commands(number: u64) -> [StampedCommand; 2] {
    let take = TakeClaim {
        scope: ClaimScope {
            customer: format!("customer-{}", number % 1_600).into(),
            service: "permits".into(),
            key: format!("key-{number:016}").into(),
        },
        digest: RequestDigest([7; 32]),
        request: format!("request-{number:016}").into(),
        ticket: ClaimTicket {
            host: "host-1".into(),
            incarnation: Incarnation(1),
            sequence: SequenceNumber(number),
        },
    };
    let settle = SettleClaim {
        scope: take.scope.clone(),
        ticket: take.ticket.clone(),
        outcome: ClaimOutcome::Finished(StoredAnswer {
            status: 201,
            headers: Vec::new(),
            body: AnswerBody::Whole(vec![b'x'; 256]),
        }),
    };
    [
        ReplicatedCommand::TakeClaim(take),
        ReplicatedCommand::SettleClaim(settle),
    ]
    .map(|command| StampedCommand {
        stamp: CommandStamp {
            host: "keeper-1".into(),
            incarnation: Incarnation(1),
            uptime: MonotonicTime::START,
            wall: WallTime(0),
        },
        command,
    })
}

fn claim(state: &mut ReplicatedState, number: u64) {
    for command in commands(number) {
        state.apply_command(LogIndex(0), &command);
    }
}

fn command_bytes(number: u64) -> usize {
    let bytes = |command: &StampedCommand| {
        let mut bytes = Vec::new();
        match ciborium::into_writer(command, &mut bytes) {
            Ok(()) => bytes.len(),
            Err(error) => fail(&error.to_string()),
        }
    };
    commands(number).iter().map(bytes).sum()
}

fn measure_evidence() -> Vec<Series> {
    let mut bytes = Series::new("evidence of so many requests begun", "records", "bytes");
    let mut micros = Series::new("record of so many requests begun", "records", "us");
    for size in RECORD_SIZES {
        let lines = || {
            let mut buffer = filled_buffer(size);
            let due = buffer.due_batches(MonotonicTime::from_millis(100), WallTime(0));
            let batches = due.ok().unwrap_or_default();
            let lines = batches.first().map(|due| due.batch.lines.clone());
            lines.unwrap_or_default()
        };
        let total: usize = lines().iter().map(|line| line.len()).sum();
        if lines().len() < count(size) {
            fail("records are missing from their batch");
        }
        bytes.add(count(size), total as f64);
        micros.add(count(size), micros_per_call(|| filled_buffer(size)));
    }
    vec![bytes, micros]
}

fn filled_buffer(records: u64) -> EvidenceBuffer {
    let writer = ChainWriter {
        host: "host-1".into(),
        incarnation: Incarnation(7),
    };
    let settings = BufferSettings {
        max_batch_records: usize::MAX,
        ..BufferSettings::default()
    };
    let mut buffer = EvidenceBuffer::new(writer, settings, ["keeper-1".into()]);
    for number in 0..records {
        let event = EvidenceEvent::RequestBegun(RequestBegun {
            request: format!("host-1-7-{number:06}").into(),
            customer: "customer-7".into(),
            operation: "POST /v1/completions".into(),
            key: None,
            body: BodyDigest::of(&[b'x'; 512]),
            revision: 4.into(),
            decision: DecisionTrace {
                selector: Some("drafts".into()),
                labels: [("tier".into(), "large".into())].into(),
                considered: Vec::new(),
            },
        });
        if buffer
            .begin(MonotonicTime::START, WallTime(0), event)
            .is_err()
        {
            fail("the evidence buffer is too small for the experiment");
        }
    }
    buffer
}
