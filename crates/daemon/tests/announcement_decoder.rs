//! Decoder tests: the fleet accepts an announcement, or refuses it and adds no routable
//! server.
//!
//! Guards against panics, and against refused announcements that leave a serving server in the
//! fleet. Both can result from malformed JSON that a backend server sends.
#![allow(clippy::unwrap_used, reason = "a helper that fails is a failed test")]

use std::time::Duration;

use pollendrift::fleet::BackendFleet;
use pollendrift_border::{Announcement, AnnouncementState, ServerLoad, ServerOffer};
use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::leases::BackendLeaseSettings;
use pollendrift_coordination::routing::RoutingSettings;
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};
use serde_json::{Value, json};

fn fleet() -> BackendFleet {
    BackendFleet::new(
        BackendLeaseSettings::default(),
        RoutingSettings::default(),
        1,
    )
}

/// Returns a valid announcement; a change of a few values reaches more of the decoder than random
/// text.
fn valid_announcement() -> Value {
    let engine = mixed_engines(&ModelShape::default(), 8).remove(0);
    let announcement = Announcement {
        server: "engine-0".to_owned(),
        incarnation: 1,
        sequence: 1,
        address: "127.0.0.1:9000".to_owned(),
        data_centre: "dc-a".to_owned(),
        state: AnnouncementState::Serving,
        checks_fencing: true,
        offer: ServerOffer::Engine(engine),
        load: ServerLoad {
            running: 0,
            queued: 0,
            kv_used_tokens: 0,
            prefill_tokens: 0,
        },
    };
    serde_json::to_value(announcement).unwrap()
}

fn invalid_value(choice: usize) -> Value {
    let values = [
        json!(null),
        json!(0),
        json!(-1),
        json!(u64::MAX),
        json!(u32::MAX),
        json!(1e308),
        json!(true),
        json!(""),
        json!("127.0.0.1:0"),
        json!("a\u{0}\n\u{202e}b"),
        json!("x".repeat(10_000)),
        json!([]),
        json!({}),
    ];
    values[choice % values.len()].clone()
}

/// Collects JSON pointers to `value` and to all values below it.
fn pointers(value: &Value, path: &str, found: &mut Vec<String>) {
    found.push(path.to_owned());
    match value {
        Value::Object(fields) => {
            for (key, inner) in fields {
                pointers(inner, &format!("{path}/{key}"), found);
            }
        }
        Value::Array(items) => {
            for (index, inner) in items.iter().enumerate() {
                pointers(inner, &format!("{path}/{index}"), found);
            }
        }
        _ => {}
    }
}

/// Announces `text` to an empty fleet; returns false if the fleet refuses it but a server serves.
fn is_accepted_or_adds_no_routable_server(text: &str) -> bool {
    let fleet = fleet();
    let now = MonotonicTime::START;
    let Ok(announcement) = serde_json::from_str::<Announcement>(text) else {
        return true;
    };
    let is_accepted = fleet.announce(now, &announcement).is_ok();
    fleet.tick(now);
    let serving = fleet.serving(now).len();
    fleet.tick(now.after(Duration::from_secs(3_600)));
    serving == 0 || is_accepted
}

/// Guards against an example that the fleet refuses: the test with replaced values would then reach
/// only the outer part of the decoder.
#[test]
fn valid_announcement_is_accepted() {
    let fleet = fleet();
    let announcement = serde_json::from_value(valid_announcement()).unwrap();
    fleet.announce(MonotonicTime::START, &announcement).unwrap();
    assert_eq!(fleet.serving(MonotonicTime::START).len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a decoder that panics on a body that is not an announcement.
    #[test]
    fn any_text_is_accepted_or_refused(text in any::<String>()) {
        prop_assert!(is_accepted_or_adds_no_routable_server(&text));
    }

    /// Guards against extreme or mistyped values, such as a zero port or a huge number, that pass
    /// the decoder in an otherwise valid announcement and leave a refused server in the fleet.
    #[test]
    fn announcement_with_replaced_values_is_accepted_or_refused(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<usize>()), 1..4),
    ) {
        let mut value = valid_announcement();
        for (position, choice) in changes {
            let mut found = Vec::new();
            pointers(&value, "", &mut found);
            if let Some(target) = value.pointer_mut(&found[position.index(found.len())]) {
                *target = invalid_value(choice);
            }
        }
        prop_assert!(is_accepted_or_adds_no_routable_server(&value.to_string()));
    }
}
