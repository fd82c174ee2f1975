//! Measures what a change of one document costs a host that follows the configuration.
//!
//! Prints the bytes of the keeper's answer as it travels, and the median times to make it at the
//! keeper and to take it at the follower, for the whole text and for a delta.
//! Run with `cargo run --release -p pollendrift --example feed_measure`.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a measurement whose content is refused has nothing to measure"
)]

use std::fmt::Write;
use std::time::{Duration, Instant};

use pollendrift::peers::{
    CallNumber, ConfigurationContent, PeerAnswer, PeerFrame, decode_frame, encode_frame,
};
use pollendrift_coordination::base::{Revision, WallTime};
use pollendrift_coordination::configuration::{
    ChangeLog, ChangeRequest, ChangeRetention, Configuration, FollowedConfiguration,
    ParsedConfiguration,
};
use pollendrift_coordination::replicated::ReplicatedTime;

const CUSTOMERS: usize = 1_600;
const CHANGES: u64 = 25;
const MODELS: usize = 5;
const FRAME_BOUND: usize = 64 << 20;

/// Costs of one way to follow, a sample for each change.
#[derive(Default)]
struct WayCosts {
    bytes: usize,
    made: Vec<Duration>,
    taken: Vec<Duration>,
}

/// A rule and a selector for each customer; `weight` is that of the last one.
fn text_for(weight: u64) -> String {
    let mut text = String::from("kind: labels\non: customer\nname: '*'\nlabels: {tier: basic}\n");
    for customer in 0..CUSTOMERS {
        let weight = if customer + 1 == CUSTOMERS { weight } else { 5 };
        let _ = writeln!(
            text,
            "---\nkind: labels\non: customer\nname: c{customer}\nlabels: {{weight: {weight}}}\n---\n\
             kind: selector\nname: s{customer}\nmodel: m{}\n\
             for: {{matchLabels: {{customer/name: c{customer}}}}}\n\
             allow: {{matchLabels: {{announced/kind: a}}}}",
            customer % MODELS,
        );
    }
    text
}

fn change(log: &mut ChangeLog, number: u64) {
    let request = ChangeRequest {
        change_id: format!("c{number}").into(),
        based_on: Revision(number),
        operator: "anna".into(),
        text: text_for(1 + number % 9).into(),
    };
    log.decide(&request, WallTime(0), ReplicatedTime::default());
    assert_eq!(log.revision(), Revision(number + 1), "change is accepted");
}

/// Makes an answer, sends it through the encoding and takes it, and notes what that cost.
fn follow<M, T>(costs: &mut WayCosts, revision: Revision, make: M, take: T)
where
    M: FnOnce() -> ConfigurationContent,
    T: FnOnce(ConfigurationContent),
{
    let begun = Instant::now();
    let answer = PeerAnswer::Configuration {
        revision,
        content: make(),
    };
    let number = CallNumber(1);
    let frame = encode_frame(&PeerFrame::Answer { number, answer }, FRAME_BOUND).expect("fits");
    costs.made.push(begun.elapsed());
    costs.bytes = costs.bytes.max(frame.len());
    let begun = Instant::now();
    let Ok(PeerFrame::Answer { answer, .. }) = decode_frame(&frame) else {
        panic!("another frame");
    };
    let PeerAnswer::Configuration { content, .. } = answer else {
        panic!("another answer");
    };
    take(content);
    costs.taken.push(begun.elapsed());
}

fn median(times: &mut [Duration]) -> Duration {
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}

fn main() {
    let mut log = ChangeLog::new(ChangeRetention::default());
    change(&mut log, 0);
    let mut whole = WayCosts::default();
    let mut delta = WayCosts::default();
    for number in 1..=CHANGES {
        change(&mut log, number);
        let revision = log.revision();
        let make_whole = || {
            let text = log.canonical().text().into_bytes();
            ConfigurationContent::Whole(text.into())
        };
        let take_whole = |content| {
            let ConfigurationContent::Whole(text) = content else {
                panic!("another content");
            };
            let text = std::str::from_utf8(&text.0).expect("text");
            let parsed = ParsedConfiguration::parse("whole", text).expect("parses");
            let _ = Configuration::build(revision, &parsed);
        };
        follow(&mut whole, revision, make_whole, take_whole);
    }
    // Apart from the wholes, whose freed memory would be tidied up at the deltas' cost.
    let mut follower = FollowedConfiguration::default();
    follower
        .apply_text(log.revision(), &log.canonical().text())
        .expect("whole is taken");
    for number in CHANGES + 1..=2 * CHANGES {
        change(&mut log, number);
        let revision = log.revision();
        let make_delta = || {
            let delta = log.delta_since(Revision(number)).expect("retained");
            ConfigurationContent::Delta(delta)
        };
        let take_delta = |content| {
            let ConfigurationContent::Delta(delta) = content else {
                panic!("another content");
            };
            follower.apply_delta(&delta).expect("fits");
        };
        follow(&mut delta, revision, make_delta, take_delta);
    }
    println!("{CUSTOMERS} customers, {CHANGES} changes of one document, medians");
    for (way, mut costs) in [("whole", whole), ("delta", delta)] {
        let (made, taken) = (median(&mut costs.made), median(&mut costs.taken));
        println!(
            "{way}: {} bytes, made in {made:?}, taken in {taken:?}",
            costs.bytes
        );
    }
}
