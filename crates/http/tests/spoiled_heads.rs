//! Answers with one wrong byte in their head, at every offset.

#![allow(clippy::expect_used, reason = "a failed helper fails its test")]

use std::collections::BTreeMap;

use bytes::Bytes;
use futures_util::future::join;
use http::Request;
use http_body_util::{BodyExt, Full};
use pollendrift_http::send_once;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

const BODY: &str = "a whole body";

/// Heads by the framing of their body, and the body as it is sent.
const ANSWERS: [(&str, &str, &str); 3] = [
    (
        "length first",
        "HTTP/1.1 200 OK\r\ncontent-length: 12\r\nserver-signature: s-1\r\nkeep-alive: timeout=9\r\n\r\n",
        BODY,
    ),
    (
        "length last",
        "HTTP/1.1 200 OK\r\nserver-signature: s-1\r\ncontent-length: 12\r\n\r\n",
        BODY,
    ),
    (
        "chunks",
        "HTTP/1.1 200 OK\r\nserver-signature: s-1\r\ntransfer-encoding: chunked\r\nx-a: b\r\n\r\n",
        "c\r\na whole body\r\n0\r\n\r\n",
    ),
];

/// Reads an answer of these bytes on a connection that is closed behind them; `None` if it is refused.
async fn read(bytes: &[u8]) -> Option<(u16, Bytes)> {
    let (near, mut far) = duplex(1 << 16);
    let request = Request::get("/").body(Full::new(Bytes::new()));
    let sending = send_once(Box::new(near), request.expect("a request"));
    let answering = async {
        far.read_u8().await.expect("a request");
        far.write_all(bytes).await.expect("room");
        far.shutdown().await.expect("open");
    };
    let (answer, ()) = join(sending, answering).await;
    let answer = answer.ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

// Guards against a body that is not the server's behind a head with one wrong byte.
#[tokio::test]
async fn a_wrong_byte_in_a_head_leaves_the_body_whole_or_refused() {
    let mut faults: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    for (name, head, body) in ANSWERS {
        let sound = read(&[head.as_bytes(), body.as_bytes()].concat()).await;
        assert_eq!(sound, Some((200, Bytes::from(BODY))), "{name}");
        for offset in 0..head.len() {
            for byte in 0..=255 {
                let mut bytes = [head.as_bytes(), body.as_bytes()].concat();
                bytes[offset] = byte;
                if let Some((status, body)) = read(&bytes).await
                    && (body != BODY || !(200..600).contains(&status))
                {
                    let case = format!("{name} at {offset}, {status} {body:?}");
                    faults.entry(case).or_default().push(byte);
                }
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Events of a stream as the body of an answer in chunks.
const EVENTS: &str = "id: 1\ndata: one two three four\n\nid: 2\ndata: one two three four\n\n";

// Guards against the head of an answer as the body of an interim one whose head has a wrong byte.
#[tokio::test]
async fn a_wrong_byte_in_an_interim_head_leaves_the_body_whole_or_refused() {
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\na whole body";
    let mut faults: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    for offset in 0..interim.len() {
        for byte in 0..=255 {
            let mut bytes = [interim.as_bytes(), answer.as_bytes()].concat();
            bytes[offset] = byte;
            if let Some((status, body)) = read(&bytes).await
                && body != BODY
            {
                let case = format!("at {offset}, {status} {body:?}");
                faults.entry(case).or_default().push(byte);
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against a body that is not the server's behind a chunk whose size has a wrong byte.
#[tokio::test]
async fn a_wrong_byte_in_the_size_of_a_chunk_leaves_the_body_whole_or_refused() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut faults: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    for length in [8, 15, 16, 32, 34] {
        let mut bytes = head.as_bytes().to_vec();
        let mut framing = Vec::new();
        for chunk in EVENTS.as_bytes().chunks(length) {
            let size = format!("{:x}\r\n", chunk.len());
            framing.extend(bytes.len()..bytes.len() + size.len());
            bytes.extend_from_slice(size.as_bytes());
            bytes.extend_from_slice(chunk);
            framing.extend(bytes.len()..bytes.len() + 2);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        assert_eq!(read(&bytes).await, Some((200, Bytes::from(EVENTS))));
        for offset in framing {
            for byte in 0..=255 {
                let sound = std::mem::replace(&mut bytes[offset], byte);
                if let Some((_, body)) = read(&bytes).await
                    && body != EVENTS
                {
                    let case = format!("chunks of {length} at {offset}, {body:?}");
                    faults.entry(case).or_default().push(byte);
                }
                bytes[offset] = sound;
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
