//! Announcements take any JSON: accepted, or refused without a trace in the fleet.
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

/// An announcement that is taken; one that is nearly right reaches more of the decoder.
fn example() -> Value {
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

fn hostile(choice: usize) -> Value {
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

/// Pointers to every value of the example.
fn pointers(value: &Value, at: &str, found: &mut Vec<String>) {
    found.push(at.to_owned());
    match value {
        Value::Object(fields) => {
            for (key, inner) in fields {
                pointers(inner, &format!("{at}/{key}"), found);
            }
        }
        Value::Array(items) => {
            for (index, inner) in items.iter().enumerate() {
                pointers(inner, &format!("{at}/{index}"), found);
            }
        }
        _ => {}
    }
}

/// Gives the text to a fleet; a refused one must leave nothing behind.
fn is_taken_or_leaves_no_trace(text: &str) -> bool {
    let fleet = fleet();
    let now = MonotonicTime::START;
    let Ok(announcement) = serde_json::from_str::<Announcement>(text) else {
        return true;
    };
    let taken = fleet.announce(now, &announcement).is_ok();
    fleet.tick(now);
    let serving = fleet.serving(now).len();
    fleet.tick(now.after(Duration::from_secs(3_600)));
    serving == 0 || taken
}

#[test]
fn the_example_is_taken() {
    let fleet = fleet();
    let announcement = serde_json::from_value(example()).unwrap();
    fleet.announce(MonotonicTime::START, &announcement).unwrap();
    assert_eq!(fleet.serving(MonotonicTime::START).len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_text(text in any::<String>()) {
        prop_assert!(is_taken_or_leaves_no_trace(&text));
    }

    #[test]
    fn the_example_with_values_replaced(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<usize>()), 1..4),
    ) {
        let mut value = example();
        for (place, choice) in changes {
            let mut found = Vec::new();
            pointers(&value, "", &mut found);
            if let Some(target) = value.pointer_mut(&found[place.index(found.len())]) {
                *target = hostile(choice);
            }
        }
        prop_assert!(is_taken_or_leaves_no_trace(&value.to_string()));
    }
}
