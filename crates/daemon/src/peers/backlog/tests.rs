use bytes::Bytes;

use super::FrameBacklog;
use crate::peers::LinkSettings;

/// Guards against deferred frames that grow without limit, and against a peer whose frames delay those of others.
#[test]
fn frames_of_peers_take_turns_and_old_ones_of_a_full_queue_are_dropped() {
    let settings = LinkSettings {
        max_deferred_frames: 3,
        max_deferred_bytes: 10,
        ..LinkSettings::default()
    };
    let backlog = FrameBacklog::new(&settings);
    let frames = [
        ("loud", "a1"),
        ("loud", "a2"),
        ("loud", "a3"),
        ("loud", "a4"),
        ("quiet", "b1"),
        ("wide", "c1"),
        ("wide", "c2 and more than ten bytes"),
    ];
    let dropped = frames.map(|(host, frame)| backlog.push(&host.into(), Bytes::from(frame)));
    assert_eq!(dropped, [0, 0, 0, 1, 0, 0, 1]);
    let handled: Vec<String> = std::iter::from_fn(|| backlog.pop())
        .map(|(host, frame)| format!("{host} {}", String::from_utf8_lossy(&frame)))
        .collect();
    insta::assert_snapshot!(handled.join("\n"), @r"
    loud a2
    quiet b1
    wide c2 and more than ten bytes
    loud a3
    loud a4
    ");
}
