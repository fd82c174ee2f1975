//! Snapshots of the frames of forwarded requests between daemons.

#![allow(clippy::expect_used, reason = "a helper that fails is a failed test")]

use std::time::Duration;

use pollendrift::peers::{ForwardFrame, ForwardRefusal, ForwardedHead, FrameBytes};
use pollendrift_coordination::streams::EventId;
use pollendrift_dialect::{RefusalKind, RelayRefusal};

fn bytes(text: &str) -> FrameBytes {
    text.as_bytes().to_vec().into()
}

fn forward_frames() -> Vec<ForwardFrame> {
    let header = ("host".to_owned(), bytes("desk.example"));
    vec![
        ForwardFrame::Request(ForwardedHead {
            request: "r1".into(),
            method: "POST".to_owned(),
            target: "/draft/a".to_owned(),
            headers: vec![header.clone()],
            service: "writers".into(),
            time_left: Duration::from_millis(900),
            tried_servers: 1,
            is_unpaid_repeat: true,
            resume_after: Some(EventId(7)),
            body_bytes: 4,
        }),
        ForwardFrame::Body(bytes("body")),
        ForwardFrame::Answer {
            status: 200,
            headers: vec![header],
        },
        ForwardFrame::Data(bytes("id: 8")),
        ForwardFrame::End,
        ForwardFrame::Aborted,
        ForwardFrame::Refused(ForwardRefusal {
            refusal: RelayRefusal {
                kind: RefusalKind::NotRun,
                reason: "full".to_owned(),
                retry_after: Some(Duration::from_millis(500)),
            },
            has_arrived: false,
        }),
        ForwardFrame::Alive,
    ]
}

// Guards against a renamed field or variant, which would break forwarded requests between daemons of
// the old and the new version.
#[test]
fn forwarded_requests_keep_their_encoding() {
    let encoded = forward_frames().into_iter().map(|frame| {
        let value = ciborium::Value::serialized(&frame).expect("encodes");
        serde_json::to_string(&value).expect("text keys")
    });
    insta::assert_snapshot!(encoded.collect::<Vec<String>>().join("\n"));
}
