//! Cost of notices about requests under which servers end, while many servers fall silent at once.

#![allow(clippy::expect_used, reason = "a failed helper must fail the test")]

use std::time::{Duration, Instant};

use pollendrift_coordination::base::{Incarnation, MonotonicTime};
use pollendrift_coordination::poison::{
    ContentDigest, LossKind, PoisonNotice, PoisonSettings, PoisonTable, RequestContent, SendEnd,
};
use pollendrift_coordination::quarantine::{CrashId, NoticeAudience};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: MonotonicTime = MonotonicTime::from_millis(60_000);
const ENTRIES: u64 = 21;
const SERVERS: u64 = 93;
const CHAIN: usize = 8;
/// Requests that each entry sends in a step.
const SENDS: u64 = 4;
/// Requests of an entry that are sent again in each further step.
const OPEN: usize = 10;
/// Servers that each entry finds silent in a step.
const SILENT: usize = 3;
/// Fraction of these that have crashed.
const CRASHES: f64 = 0.1;
const STEPS: u64 = 20;
const STEP_MILLIS: u64 = 400;

fn at(step: u64) -> MonotonicTime {
    START.after(Duration::from_millis(step * STEP_MILLIS))
}

fn server(number: u64) -> CrashId {
    CrashId {
        server: format!("server-{number}").as_str().into(),
        incarnation: Incarnation(number + 1),
    }
}

fn request(number: u64) -> ContentDigest {
    ContentDigest::of(&RequestContent {
        body: &number.to_be_bytes(),
        ..RequestContent::default()
    })
}

/// Notices of entries of a fleet that lose packets: each finds other servers silent, and sends the requests on
/// them to further servers.
fn notices_of_lossy_entries() -> Vec<(u64, PoisonNotice)> {
    let mut random = ChaCha8Rng::seed_from_u64(61);
    let unlimited = PoisonSettings {
        max_silent: usize::MAX,
        max_noted: usize::MAX,
        ..PoisonSettings::default()
    };
    let mut notices = Vec::new();
    for entry in 0..ENTRIES {
        let mut table = PoisonTable::new(unlimited.clone(), entry << 32);
        let mut open = Vec::new();
        for step in 0..STEPS {
            for number in 0..SENDS {
                let digest = request((entry * STEPS + step) * SENDS + number);
                open.push((digest, table.begin_run()));
            }
            let keys: Vec<_> = open
                .iter()
                .map(|(digest, run)| {
                    let chain = (0..SERVERS).sample(&mut random, CHAIN).into_iter();
                    table.begin_send(at(step), *digest, *run, chain.map(server).collect())
                })
                .collect();
            for number in (0..SERVERS).sample(&mut random, SILENT) {
                let is_crash = random.random_bool(CRASHES);
                let kind = [LossKind::Silent, LossKind::Gone][usize::from(is_crash)];
                table.record_loss(at(step + 1), &server(number), &"writers".into(), kind);
            }
            for key in keys {
                table.end_send(at(step + 1), key, SendEnd::Broken);
            }
            open.truncate(OPEN);
            notices.push((
                step + 1,
                table.take_changes(at(step + 1), NoticeAudience::Keepers),
            ));
            if step % 5 == 4 {
                notices.push((step + 1, table.full_notice(at(step + 1))));
            }
        }
    }
    notices.sort_by_key(|(step, _)| *step);
    notices
}

fn encode(notice: &PoisonNotice) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(notice, &mut bytes).expect("a notice can be encoded");
    bytes
}

/// Time to read all notices, and time to apply them to the table of a host and to take what it passes on.
fn costs(mut table: PoisonTable) -> (Duration, Duration) {
    let notices = notices_of_lossy_entries().into_iter();
    let encoded: Vec<_> = notices
        .map(|(step, notice)| (step, encode(&notice)))
        .collect();
    let (mut reading, mut applying) = (Duration::ZERO, Duration::ZERO);
    for (step, bytes) in &encoded {
        let began = Instant::now();
        let notice: PoisonNotice = ciborium::from_reader(&bytes[..]).expect("a notice");
        reading += began.elapsed();
        let began = Instant::now();
        table.merge(at(*step), notice, false);
        table.take_changes(at(*step), NoticeAudience::Keepers);
        table.take_changes(at(*step), NoticeAudience::Followers);
        applying += began.elapsed();
    }
    (reading, applying)
}

/// Guards against keepers whose processor is taken by weighing what hosts tell them of ended servers.
#[test]
fn a_keeper_applies_notices_in_the_time_of_reading_them() {
    let settings = PoisonSettings {
        sends_requests: false,

        ..PoisonSettings::default()
    };
    let (reading, applying) = costs(PoisonTable::new(settings, u64::MAX / 2));
    println!("reading {reading:?}, applying {applying:?}");
    assert!(
        applying <= reading,
        "reading {reading:?}, applying {applying:?}"
    );
}

/// Guards against entries whose processor is taken by the same.
#[test]
fn an_entry_applies_notices_in_the_time_of_reading_them() {
    let (reading, applying) = costs(PoisonTable::new(PoisonSettings::default(), u64::MAX / 2));
    println!("entry: reading {reading:?}, applying {applying:?}");
    assert!(
        applying <= reading,
        "reading {reading:?}, applying {applying:?}"
    );
}
