//! Retention and limits of the claim table.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use std::time::Duration;

use pollendrift_coordination::base::{Incarnation, SequenceNumber};
use pollendrift_coordination::claims::{
    AnswerBody, AnswerHeader, ClaimOutcome, ClaimScope, ClaimSettings, ClaimState, ClaimTable,
    ClaimTicket, RequestDigest, SettleAnswer, SettleClaim, StoredAnswer, TakeAnswer, TakeClaim,
};
use pollendrift_coordination::replicated::ReplicatedTime;

const NOW: ReplicatedTime = ReplicatedTime::from_micros(0);
const RETENTION: Duration = Duration::from_secs(60);

fn table() -> ClaimTable {
    ClaimTable::new(ClaimSettings {
        retention: RETENTION,
        max_claims: 4,
        max_customer_claims: 2,
        max_body_bytes: 8,
        max_header_bytes: 8,
        max_stored_bytes: 20,
    })
}

fn take(customer: &str, key: u64) -> TakeClaim {
    TakeClaim {
        scope: ClaimScope {
            customer: customer.into(),
            service: "permits".into(),
            key: format!("{key}").into(),
        },
        digest: RequestDigest([0; 32]),
        request: format!("r{key}").into(),
        ticket: ClaimTicket {
            host: "h".into(),
            incarnation: Incarnation(1),
            sequence: SequenceNumber(key),
        },
    }
}

fn settle(take: &TakeClaim, body: &[u8], header: &str) -> SettleClaim {
    SettleClaim {
        scope: take.scope.clone(),
        ticket: take.ticket.clone(),
        outcome: ClaimOutcome::Finished(StoredAnswer {
            status: 201,
            headers: vec![AnswerHeader {
                name: "etag".into(),
                value: header.into(),
            }],
            body: AnswerBody::Whole(body.to_vec()),
        }),
    }
}

// Guards against a full table that evicts claims in progress, and against one customer that fills
// the table. Takes over the limit are refused before anything is sent.
#[test]
fn a_full_table_refuses_takes_and_keeps_its_claims() {
    let mut table = table();
    let outcomes: Vec<TakeAnswer> = [("a", 1), ("a", 2), ("a", 3), ("b", 4), ("c", 5), ("d", 6)]
        .into_iter()
        .map(|(customer, key)| table.take(&take(customer, key), NOW))
        .collect();
    insta::assert_debug_snapshot!(outcomes, @r#"
    [
        Taken,
        Taken,
        Full,
        Taken,
        Taken,
        Full,
    ]
    "#);
    assert_eq!(table.counts().in_progress, 4);
}

// Guards against claims that expire too early: a settled claim is kept for the retention time after it
// was settled, and a claim in progress does not expire.
#[test]
fn retention_starts_when_a_claim_is_settled() {
    let mut table = table();
    let settled = take("a", 1);
    let held = take("b", 2);
    table.take(&settled, NOW);
    table.take(&held, NOW);
    let later = NOW.after(Duration::from_secs(100));
    table.settle(&settle(&settled, b"ok", "1"), later);
    table.expire(later.after(RETENTION));
    assert!(matches!(
        table.look_up(&settled.scope),
        Some((_, ClaimState::Finished(_)))
    ));
    table.expire(later.after(RETENTION + Duration::from_micros(1)));
    assert!(table.look_up(&settled.scope).is_none());
    assert!(matches!(
        table.look_up(&held.scope),
        Some((_, ClaimState::InProgress))
    ));
}

// Guards against unbounded memory for stored answers: an answer over a limit is stored as
// finished, without its body or headers.
#[test]
fn the_size_of_stored_answers_is_limited() {
    let mut table = table();
    let cases = [
        ("a", 1, "12345678", "1"),
        ("b", 2, "123456789", "1"),
        ("c", 3, "12345678", "long-value"),
        ("d", 4, "1234567", "1"),
    ];
    let mut report = Vec::new();
    for (customer, key, body, header) in cases {
        let take = take(customer, key);
        table.take(&take, NOW);
        let settle = settle(&take, body.as_bytes(), header);
        assert_eq!(table.settle(&settle, NOW), SettleAnswer::Settled);
        assert_eq!(table.settle(&settle, NOW), SettleAnswer::AlreadySettled);
        if let Some((_, ClaimState::Finished(answer))) = table.look_up(&take.scope) {
            report.push(format!(
                "{:?}, {} headers",
                answer.body,
                answer.headers.len()
            ));
        }
    }
    report.push(format!("{} bytes stored", table.counts().stored_bytes));
    insta::assert_debug_snapshot!(report, @r#"
    [
        "Whole([49, 50, 51, 52, 53, 54, 55, 56]), 1 headers",
        "TooLong { bytes: 9 }, 1 headers",
        "TooLong { bytes: 8 }, 0 headers",
        "TooLong { bytes: 7 }, 0 headers",
        "18 bytes stored",
    ]
    "#);
}
