//! Measures the cost of a change of one document for a host that follows the configuration.
//!
//! Prints the encoded size of the keeper's answer, and the median times to create it at the keeper
//! and to apply it at the follower, for the complete text and for a delta.
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
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Costs of one kind of content, with one sample for each change.
#[derive(Default)]
struct ContentCosts {
    bytes: usize,
    create_times: Vec<Duration>,
    apply_times: Vec<Duration>,
}

/// Returns a text with a label rule and a selector for each customer; `weight` is the weight of the
/// last customer.
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
    assert_eq!(
        log.revision(),
        Revision(number + 1),
        "the change must be accepted"
    );
}

/// Creates, encodes, decodes and applies an answer, and adds the size and the times to `costs`.
fn measure_answer<M, T>(costs: &mut ContentCosts, revision: Revision, create: M, apply: T)
where
    M: FnOnce() -> ConfigurationContent,
    T: FnOnce(ConfigurationContent),
{
    let started = Instant::now();
    let answer = PeerAnswer::Configuration {
        revision,
        content: create(),
    };
    let number = CallNumber(1);
    let frame =
        encode_frame(&PeerFrame::Answer { number, answer }, MAX_FRAME_BYTES).expect("frame fits");
    costs.create_times.push(started.elapsed());
    costs.bytes = costs.bytes.max(frame.len());
    let started = Instant::now();
    let Ok(PeerFrame::Answer { answer, .. }) = decode_frame(&frame) else {
        panic!("decoded a frame of another kind");
    };
    let PeerAnswer::Configuration { content, .. } = answer else {
        panic!("decoded an answer of another kind");
    };
    apply(content);
    costs.apply_times.push(started.elapsed());
}

fn median(times: &mut [Duration]) -> Duration {
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}

fn main() {
    let mut log = ChangeLog::new(ChangeRetention::default());
    change(&mut log, 0);
    let mut whole = ContentCosts::default();
    let mut delta = ContentCosts::default();
    for number in 1..=CHANGES {
        change(&mut log, number);
        let revision = log.revision();
        let create_whole = || {
            let text = log.canonical().text().into_bytes();
            ConfigurationContent::Whole(text.into())
        };
        let apply_whole = |content| {
            let ConfigurationContent::Whole(text) = content else {
                panic!("received content of another kind");
            };
            let text = std::str::from_utf8(&text.0).expect("text");
            let parsed = ParsedConfiguration::parse("whole", text).expect("parses");
            let _ = Configuration::build(revision, &parsed);
        };
        measure_answer(&mut whole, revision, create_whole, apply_whole);
    }
    // Runs after the samples of complete texts: in between, freeing their memory would slow the
    // deltas down.
    let mut follower = FollowedConfiguration::default();
    follower
        .apply_text(log.revision(), &log.canonical().text())
        .expect("the complete text applies");
    for number in CHANGES + 1..=2 * CHANGES {
        change(&mut log, number);
        let revision = log.revision();
        let create_delta = || {
            let delta = log.delta_since(Revision(number)).expect("retained");
            ConfigurationContent::Delta(delta)
        };
        let apply_new_delta = |content| {
            let ConfigurationContent::Delta(delta) = content else {
                panic!("received content of another kind");
            };
            follower.apply_delta(&delta).expect("delta applies");
        };
        measure_answer(&mut delta, revision, create_delta, apply_new_delta);
    }
    println!("{CUSTOMERS} customers, {CHANGES} changes of one document, medians");
    for (kind, mut costs) in [("whole", whole), ("delta", delta)] {
        let (create_time, apply_time) = (
            median(&mut costs.create_times),
            median(&mut costs.apply_times),
        );
        println!(
            "{kind}: {} bytes, created in {create_time:?}, applied in {apply_time:?}",
            costs.bytes
        );
    }
}
