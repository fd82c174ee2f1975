//! Links between data centres that break the pauses of streams.

use std::time::Duration;

use pollendrift_coordination::base::{DataCentreName, MonotonicTime};
use pollendrift_coordination::routing::{DegradedLinks, DegradedSettings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Streams that a host sends to another data centre and that break their pauses, of those that it has, in
/// ten seconds of a link that breaks 45 of 100. Each time the host has a chain nearby that is expected to
/// take `nearby` longer to its first event.
fn late_over_a_lossy_link(settings: DegradedSettings, nearby: Duration, seed: u64) -> (u32, u32) {
    let mut links = DegradedLinks::new(settings);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let away = DataCentreName::from("dc-b");
    let (mut late, mut streams) = (0, 0);
    for now in (0..10_000).step_by(100) {
        streams += 1;
        if links.penalty(at(now), &away) >= nearby {
            continue;
        }
        links.started(at(now), &away);
        if random.random_bool(0.45) {
            links.late(at(now + 90), &away);
            late += 1;
        }
    }
    (late, streams)
}

// Guards against streams that go on to a data centre over a lossy link: half of those were late, while
// a chain nearby would have taken half a second longer to its first event, within the aim.
#[test]
fn a_lossy_link_is_left_after_a_few_late_streams() {
    for seed in 0..20 {
        let nearby = Duration::from_millis(500);
        let (late, streams) = late_over_a_lossy_link(DegradedSettings::default(), nearby, seed);
        assert!(
            late * 10 <= streams,
            "seed {seed}: {late} late of {streams}"
        );
        let blind = DegradedSettings {
            late_penalty: Duration::ZERO,
            ..DegradedSettings::default()
        };
        let (late, streams) = late_over_a_lossy_link(blind, nearby, seed);
        assert!(
            late * 10 > streams * 3,
            "seed {seed}: {late} late of {streams}"
        );
    }
}

// Guards against a data centre that is left for good, or for one late stream of many.
#[test]
fn a_link_is_tried_again_and_one_late_stream_changes_little() {
    let settings = DegradedSettings::default();
    let away = DataCentreName::from("dc-b");
    let mut links = DegradedLinks::new(settings);
    assert_eq!(links.penalty(at(0), &away), settings.usual_penalty);
    for stream in 0..40 {
        links.started(at(stream * 50), &away);
    }
    links.late(at(2_000), &away);
    assert!(links.penalty(at(2_000), &away) < settings.usual_penalty * 2);
    for stream in 0..40 {
        links.started(at(3_000 + stream * 50), &away);
        links.late(at(3_000 + stream * 50), &away);
    }
    assert!(links.penalty(at(5_000), &away) > Duration::from_secs(2));
    let quiet = settings.half_life * 6;
    let later = at(5_000).after(quiet);
    assert!(links.penalty(later, &away) < Duration::from_millis(900));
    assert_eq!(links.penalty(later, &"dc-c".into()), settings.usual_penalty);
}
