//! Links between data centres that delay the events of streams.

use std::time::Duration;

use pollendrift_coordination::base::{DataCentreName, MonotonicTime};
use pollendrift_coordination::routing::{DegradedLinks, DegradedSettings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Returns the number of late streams and of all streams of a host within ten seconds, over a link
/// on which 45 of 100 streams are late. At each stream the host also has a local chain, whose first
/// event is predicted `local_delay` later than that of the remote one.
fn count_late_streams(settings: DegradedSettings, local_delay: Duration, seed: u64) -> (u32, u32) {
    let mut links = DegradedLinks::new(settings);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let remote = DataCentreName::from("dc-b");
    let (mut late, mut streams) = (0, 0);
    for now in (0..10_000).step_by(100) {
        streams += 1;
        if links.penalty(at(now), &remote) >= local_delay {
            continue;
        }
        links.started(at(now), &remote);
        if random.random_bool(0.45) {
            links.late(at(now + 90), &remote);
            late += 1;
        }
    }
    (late, streams)
}

// Guards against streams that still use a data centre behind a lossy link: half of them were late,
// although the first event of a local chain would have come only half a second later, within the
// target.
#[test]
fn a_lossy_link_is_avoided_after_a_few_late_streams() {
    for seed in 0..20 {
        let local_delay = Duration::from_millis(500);
        let (late, streams) = count_late_streams(DegradedSettings::default(), local_delay, seed);
        assert!(
            late * 10 <= streams,
            "seed {seed}: {late} late of {streams}"
        );
        let without_late_penalty = DegradedSettings {
            late_penalty: Duration::ZERO,
            ..DegradedSettings::default()
        };
        let (late, streams) = count_late_streams(without_late_penalty, local_delay, seed);
        assert!(
            late * 10 > streams * 3,
            "seed {seed}: {late} late of {streams}"
        );
    }
}

// Guards against a data centre that is avoided permanently, or because of one late stream among
// many.
#[test]
fn a_penalty_decays_and_one_late_stream_adds_little() {
    let settings = DegradedSettings::default();
    let remote = DataCentreName::from("dc-b");
    let mut links = DegradedLinks::new(settings);
    assert_eq!(links.penalty(at(0), &remote), settings.usual_penalty);
    for stream in 0..40 {
        links.started(at(stream * 50), &remote);
    }
    links.late(at(2_000), &remote);
    assert!(links.penalty(at(2_000), &remote) < settings.usual_penalty * 2);
    for stream in 0..40 {
        links.started(at(3_000 + stream * 50), &remote);
        links.late(at(3_000 + stream * 50), &remote);
    }
    assert!(links.penalty(at(5_000), &remote) > Duration::from_secs(2));
    let quiet = settings.half_life * 6;
    let later = at(5_000).after(quiet);
    assert!(links.penalty(later, &remote) < Duration::from_millis(900));
    assert_eq!(links.penalty(later, &"dc-c".into()), settings.usual_penalty);
}
