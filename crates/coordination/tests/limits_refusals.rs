//! Tests of the records of refusals for lack of capacity.

use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, RequestId};
use pollendrift_coordination::limits::{
    AdmissionRefusal, CapacityInputs, CapacityRefusal, RefusalLog, RefusalLogSettings,
    RefusalRecord, RequestPriority,
};

fn refusal(request: &str, at_ms: u64) -> RefusalRecord {
    RefusalRecord {
        request: request.into(),
        service: "writers".into(),
        customer: Some("plant-inn".into()),
        priority: RequestPriority::Urgent,
        tokens: 900,
        reason: CapacityRefusal::NotAdmitted {
            reason: AdmissionRefusal::DeadlineUnreachable,
            is_return: false,
        },
        refused_at: MonotonicTime::from_millis(at_ms),
        waited: Duration::from_millis(120),
        retry_after: Duration::from_millis(700),
        capacity_tokens: Some(4_000),
        held_tokens: 3_900,
        inputs: Some(CapacityInputs {
            total: 90_000,
            free: -120,
            share: 0.02,
            held: 3_000,
            measured_at: MonotonicTime::from_millis(at_ms.saturating_sub(300)),
        }),
    }
}

// Guards against memory that grows with the refusals: with 1,000 of them per second, only the last
// ones are kept, and after the lifetime none is.
#[test]
fn the_oldest_refusals_are_dropped() {
    let mut log = RefusalLog::new(RefusalLogSettings::default());
    for number in 0..2_000_u64 {
        log.record(refusal(&number.to_string(), number));
    }
    let mut known = |at_ms: u64| {
        let now = MonotonicTime::from_millis(at_ms);
        let is_known = |number: &u64| {
            let id = RequestId::from(number.to_string());
            !log.find(now, &id).is_empty()
        };
        let known: Vec<u64> = (0..2_000).filter(is_known).collect();
        (known.first().copied(), known.len())
    };
    assert_eq!(known(2_000), (Some(1_488), 512));
    assert_eq!(known(61_600), (Some(1_600), 400));
    assert_eq!(known(62_000), (None, 0));
}

// Guards against a record without the figures of the decision or their age, and against one refusal
// of a request that hides another.
#[test]
fn a_request_is_found_with_all_its_refusals() {
    let mut log = RefusalLog::new(RefusalLogSettings::default());
    log.record(refusal("d-1", 1_000));
    log.record(refusal("d-2", 1_100));
    let returned = RefusalRecord {
        reason: CapacityRefusal::NoServer,
        inputs: None,
        capacity_tokens: None,
        ..refusal("d-1", 1_700)
    };
    log.record(returned);
    let found = log.find(MonotonicTime::from_millis(2_000), &"d-1".into());
    let lines: Vec<String> = found.iter().map(|view| format!("{view:?}")).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    RefusalView { request: RequestId("d-1"), service: ServiceName("writers"), customer: Some(CustomerName("plant-inn")), priority: Urgent, is_return: Some(false), tokens: 900, reason: "deadline cannot be met", refused_ms_ago: 1000, waited_ms: 120, retry_after_ms: 700, capacity_tokens: Some(4000), held_tokens: 3900, inputs: Some(RefusalInputs { total_tokens: 90000, free_tokens: -120, share: 0.02, age_ms: 300 }) }
    RefusalView { request: RequestId("d-1"), service: ServiceName("writers"), customer: Some(CustomerName("plant-inn")), priority: Urgent, is_return: None, tokens: 900, reason: "admitted, but no engine took it", refused_ms_ago: 300, waited_ms: 120, retry_after_ms: 700, capacity_tokens: None, held_tokens: 3900, inputs: None }
    "#);
}
