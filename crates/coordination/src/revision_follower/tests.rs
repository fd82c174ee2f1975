use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    AnswerVerdict, FollowSettings, FollowerTable, RevisionFollower, RevisionQuestion,
    UnconfirmedRevision,
};
use crate::base::{MonotonicTime, Revision};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn follower() -> RevisionFollower {
    let keepers = vec!["k1".into(), "k2".into(), "k3".into()];
    RevisionFollower::new(FollowSettings::default(), keepers, 0)
}

// Guards against a partitioned host that serves an old configuration instead of refusing requests.
// The partition starts at 1 s and the latest answered question is of 0.7 s, so the host serves
// until 3.7 s. It serves again as soon as a keeper answers.
#[test]
fn a_partitioned_host_stops_serving_when_its_lease_expires() {
    let mut follower = follower();
    let mut seen = vec![format!("start: {:?}", follower.current(at(0)))];
    for asked in [0, 700] {
        let question = follower.tick(at(asked)).unwrap();
        follower.answer(question.asked_at, Revision(4), true);
    }
    for now in [1_000, 3_699, 3_700] {
        seen.push(format!("{now}: {:?}", follower.current(at(now))));
    }
    let question = follower.tick(at(9_000)).unwrap();
    follower.answer(question.asked_at, Revision(9), true);
    seen.push(format!("healed: {:?}", follower.current(at(9_001))));
    insta::assert_snapshot!(seen.join("\n"), @r"
    start: Err(NeverConfirmed)
    1000: Ok(Revision(4))
    3699: Ok(Revision(4))
    3700: Err(LeaseOver { held: Revision(4), since: 3s })
    healed: Ok(Revision(9))
    ");
}

// Guards against a lease that counts from the arrival of a late answer: it would hide, for longer
// than a lease, a change accepted while the answer was on the way.
#[test]
fn a_late_answer_renews_from_the_time_of_its_question() {
    let mut follower = follower();
    let question = follower.tick(at(0)).unwrap();
    follower.answer(question.asked_at, Revision(1), true);
    assert_eq!(
        follower.current(at(3_000)),
        Err(UnconfirmedRevision::LeaseOver {
            held: Revision(1),
            since: Duration::from_secs(3)
        })
    );
}

// Guards against a host that reverts a change it already serves, because answers of two keepers
// arrive out of order.
#[test]
fn answers_out_of_order_never_lower_the_revision() {
    let cases = [
        ("older", 5, 4, true, AnswerVerdict::Stale),
        ("equal", 5, 5, false, AnswerVerdict::Renewed),
        ("newer", 5, 6, true, AnswerVerdict::Advanced),
        (
            "newer without content",
            5,
            6,
            false,
            AnswerVerdict::ContentMissing,
        ),
    ];
    for (name, held, answered, content, verdict) in cases {
        let mut follower = follower();
        follower.answer(at(0), Revision(held), true);
        assert_eq!(
            follower.answer(at(10), Revision(answered), content),
            verdict,
            "{name}"
        );
        assert!(follower.held() >= Some(Revision(held)), "{name}");
    }
}

// Guards against a host that loses its lease because it repeats its question to a keeper that
// hangs. Each unanswered question must be followed by a question to the next keeper.
#[test]
fn a_keeper_that_hangs_costs_one_period() {
    let mut follower = follower();
    let asked: Vec<String> = (0..6)
        .filter_map(|step| follower.tick(at(step * 700)))
        .map(|question| question.keeper.to_string())
        .collect();
    insta::assert_snapshot!(asked.join(" "), @"k1 k2 k3 k1 k2 k3");
}

// Guards against questions that saturate the links between data centres: hundreds of hosts fetch
// each change. A host asks far keepers only while no near keeper answers, and then returns to a
// near one.
#[test]
fn a_host_prefers_near_keepers_and_returns_to_them() {
    let mut follower = RevisionFollower::new(FollowSettings::default(), Vec::new(), 5);
    let near = vec!["n1".into(), "n2".into()];
    let far = vec!["f1".into(), "f2".into(), "f3".into()];
    follower.set_keepers(near, far);
    let mut asked = Vec::new();
    for step in 0..16 {
        let question = follower.tick(at(step * 700)).unwrap();
        asked.push(question.keeper.to_string());
        let is_near_down = step < 6;
        if !(is_near_down && question.keeper.as_str().starts_with('n')) {
            follower.answer(question.asked_at, Revision(1), true);
        }
    }
    insta::assert_snapshot!(asked.join(" "), @"n2 n1 f3 f3 f3 f3 f3 f3 f3 f3 n2 n2 n2 n2 n2 n2");
}

// Guards against changes that stop the streams of a small host. Operators change routes every 60 ms
// for 1.5 s, and applying each change of thousands of routes takes the host half of that interval.
// A few questions must fetch all of them, and the host must get the last change soon after it.
#[test]
fn changes_in_quick_succession_are_fetched_together() {
    let mut follower = follower();
    let mut fetched = Vec::new();
    let first = follower.tick(at(0)).unwrap();
    follower.answer(first.asked_at, Revision(1), true);
    for now in (1_000..3_000).step_by(10) {
        let newest = Revision(1 + (now.min(2_500) - 1_000) / 60);
        follower.observe(at(now), newest);
        if let Some(question) = follower.tick(at(now)) {
            follower.answer(question.asked_at, newest, true);
            fetched.push(format!("{now}: {newest}"));
        }
    }
    insta::assert_snapshot!(
        fetched.join(", "),
        @"1000: 1, 1060: 2, 1360: 7, 1660: 12, 1960: 17, 2260: 22, 2560: 26"
    );
}

// Guards against a keeper that keeps sending to a host that follows another keeper or is down. A
// keeper forwards messages for all hosts to its followers.
#[test]
fn a_host_stops_being_a_follower_after_two_missed_questions() {
    let mut table = FollowerTable::default();
    table.record_question(at(0), &"a".into());
    table.record_question(at(1_000), &"b".into());
    table.record_question(at(2_000), &"a".into());
    let seen = [2_400, 3_499, 3_500, 4_500].map(|now| format!("{now}: {:?}", table.hosts(at(now))));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    2400: [HostName("a"), HostName("b")]
    3499: [HostName("a"), HostName("b")]
    3500: [HostName("a")]
    4500: []
    "#);
}

/// Keepers that accept changes at random times; answers arrive late, out of order or never.
struct UnreliableKeepers {
    rng: ChaCha8Rng,
    accepted: Vec<(u64, Revision)>,
    answers: Vec<(u64, RevisionQuestion, Revision)>,
}

impl UnreliableKeepers {
    fn step(&mut self, now: u64, follower: &mut RevisionFollower) {
        let newest = self
            .accepted
            .last()
            .map_or(Revision(0), |(_, revision)| *revision);
        if self.rng.random_ratio(1, 40) {
            self.accepted.push((now, newest.next()));
        }
        if let Some(question) = follower.tick(at(now)) {
            let lost = self.rng.random_ratio(1, 4);
            let delay = self.rng.random_range(1..2_000);
            if !lost {
                self.answers.push((now + delay, question, newest));
            }
        }
        let due: Vec<_> = self
            .answers
            .extract_if(.., |(due, ..)| *due <= now)
            .collect();
        for (_, question, revision) in due {
            follower.answer(question.asked_at, revision, true);
        }
    }
}

// Guards against a host that reverts, or serves a revision replaced more than one lease ago, after
// lost, late or reordered answers. The seeds are fixed; each run simulates 60 s in steps of 10 ms.
#[test]
fn no_host_serves_a_revision_replaced_more_than_a_lease_ago() {
    for seed in 0..20 {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut keepers = UnreliableKeepers {
            rng,
            accepted: vec![(0, Revision(1))],
            answers: Vec::new(),
        };
        let mut follower = follower();
        let mut served = Revision(0);
        for step in 1..6_000 {
            let now = step * 10;
            keepers.step(now, &mut follower);
            let Ok(current) = follower.current(at(now)) else {
                continue;
            };
            assert!(current >= served, "seed {seed}: reverted at {now} ms");
            served = current;
            let required = keepers
                .accepted
                .iter()
                .rev()
                .find(|(accepted, _)| accepted + 3_000 <= now);
            let required = required.map_or(Revision(0), |(_, revision)| *revision);
            assert!(
                current >= required,
                "seed {seed}: served {current} at {now} ms, expected at least {required}"
            );
        }
        assert!(
            served > Revision(10),
            "seed {seed}: the revision did not advance far enough"
        );
    }
}

// Guards against a question for each report of a change, which would overload the keepers while
// callers get answers by the old configuration. Twenty peers report a change within 200 ms. The
// first report triggers a question; the next keeper gets one only after the answer timeout.
#[test]
fn reports_of_many_peers_trigger_one_question_at_a_time() {
    let mut follower = follower();
    let question = follower.tick(at(0)).unwrap();
    follower.answer(question.asked_at, Revision(1), true);
    let mut seen = Vec::new();
    // The previous change is older than the spacing, so the first report triggers a question at
    // once.
    for now in (400..1_300).step_by(10) {
        if now < 600 || now == 1_000 {
            follower.observe(at(now), Revision(2));
        }
        if let Some(question) = follower.tick(at(now)) {
            seen.push(format!("{now}: asks {}", question.keeper));
        }
        if now == 800 {
            follower.answer(at(750), Revision(2), true);
            seen.push(format!("{now}: answered, behind {}", follower.is_behind()));
        }
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    400: asks k1
    750: asks k2
    800: answered, behind false
    ");
}

// Guards against a large content that several keepers send at once, so that none of them arrives in time on
// a narrow link. Confirmations go on meanwhile, a failed fetch is repeated, and a slow one after its timeout.
#[test]
fn a_large_content_is_fetched_from_one_keeper_at_a_time() {
    let mut follower = follower();
    let first = follower.tick(at(0)).unwrap();
    follower.answer(first.asked_at, Revision(1), true);
    follower.end_question(first.number);
    let mut seen = Vec::new();
    let mut fetches = Vec::new();
    for now in (1_000..6_000).step_by(100) {
        follower.observe(at(now), Revision(2));
        let Some(question) = follower.tick(at(now)) else {
            continue;
        };
        let keeper = &question.keeper;
        if question.fetches_content {
            seen.push(format!("{now}: fetches from {keeper}"));
            fetches.push(question);
            match fetches.len() {
                1 => follower.end_question(fetches[0].number),
                3 => {
                    follower.answer(fetches[2].asked_at, Revision(2), true);
                }
                _ => {}
            }
        } else {
            seen.push(format!("{now}: asks {keeper}"));
            follower.answer(question.asked_at, Revision(2), false);
        }
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    1000: asks k1
    1100: fetches from k1
    1500: fetches from k2
    2200: asks k3
    2900: asks k3
    3000: fetches from k3
    3700: asks k3
    4400: asks k3
    5100: asks k3
    5800: asks k3
    ");
}
