//! Size and processing time of configuration changes by number of customers.

use pollendrift::peers::{ConfigurationFrame, FrameBytes, PeerFrame, encode_frame};
use pollendrift_coordination::base::{Revision, WallTime};
use pollendrift_coordination::configuration::{
    ChangeLog, ChangeRequest, ChangeRetention, ConfigurationDelta, FollowedConfiguration,
    ParsedConfiguration,
};
use pollendrift_coordination::replicated::ReplicatedTime;

use crate::clock::micros_per_call;
use crate::fail;
use crate::routing::{CUSTOMER_SIZES, customers_text};
use crate::series::Series;

const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

pub(crate) fn run(_seed: u64) -> Vec<Series> {
    let mut text_bytes = Series::new("configuration, whole", "customers", "bytes");
    let mut delta_bytes = Series::new("configuration, one edit as a delta", "customers", "bytes");
    let mut check = Series::new("parse and check a text", "customers", "us");
    let mut apply_text = Series::new("follower takes a whole", "customers", "us");
    let mut apply_delta = Series::new("follower takes a delta", "customers", "us");
    for size in CUSTOMER_SIZES {
        let mut log = ChangeLog::new(ChangeRetention::default());
        accept(&mut log, size, 5);
        let mut follower = FollowedConfiguration::default();
        let first = follower.apply_text(log.revision(), &log.canonical().text());
        if first.is_err() {
            fail("a follower can't read an accepted configuration");
        }
        let delta = accept(&mut log, size, 6);
        let text = log.canonical().text();
        let text_frame = ConfigurationFrame::Whole {
            revision: log.revision(),
            content: FrameBytes::from(text.clone().into_bytes()),
        };
        text_bytes.add(size, frame_bytes(text_frame));
        delta_bytes.add(size, frame_bytes(ConfigurationFrame::Push(delta.clone())));
        let input = customers_text(size, 6);
        check.add(
            size,
            micros_per_call(|| ParsedConfiguration::parse("experiment", &input)),
        );
        apply_text.add(
            size,
            micros_per_call(|| FollowedConfiguration::default().apply_text(Revision(2), &text)),
        );
        let clone_time = micros_per_call(|| follower.clone());
        let total_time = micros_per_call(|| follower.clone().apply_delta(&delta));
        apply_delta.add(size, (total_time - clone_time).max(0.0));
    }
    vec![text_bytes, delta_bytes, check, apply_text, apply_delta]
}

fn accept(log: &mut ChangeLog, customers: usize, weight: u32) -> ConfigurationDelta {
    let based_on = log.revision();
    let request = ChangeRequest {
        change_id: format!("change-{weight}").into(),
        based_on,
        operator: "operator-1".into(),
        text: customers_text(customers, weight),
    };
    log.decide(&request, WallTime(0), ReplicatedTime::default());
    match log.delta_since(based_on) {
        Some(delta) if log.revision() > based_on => delta,
        _ => fail("a change of the experiment was not accepted"),
    }
}

fn frame_bytes(frame: ConfigurationFrame) -> f64 {
    match encode_frame(&PeerFrame::Configuration(frame), MAX_FRAME_BYTES) {
        Ok(bytes) => bytes.len() as f64,
        Err(error) => fail(&error.to_string()),
    }
}
