//! Identity of a request by its content.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What stays the same of a request when its caller sends it again or resumes its answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestContent<'request> {
    /// Customer that sent it; empty if none is known.
    pub customer: &'request str,
    /// Method.
    pub method: &'request str,
    /// Host name, path and query.
    pub target: &'request str,
    /// Model and all parts of the prompt with their sizes; empty for a call of a plain service.
    pub prompt: &'request str,
    /// Complete body.
    pub body: &'request [u8],
}

/// Digest of a request's content, the same on every host.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct ContentDigest(u64);

impl ContentDigest {
    /// Computes the digest of `content`.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let fields = [
            content.customer.as_bytes(),
            content.method.as_bytes(),
            content.target.as_bytes(),
            content.prompt.as_bytes(),
            content.body,
        ];
        let mut hasher = Sha256::new();
        for field in fields {
            let length = u64::try_from(field.len()).unwrap_or(u64::MAX);
            hasher.update(length.to_be_bytes());
            hasher.update(field);
        }
        let hash: [u8; 32] = hasher.finalize().into();
        let [a, b, c, d, e, f, g, h, ..] = hash;
        Self(u64::from_be_bytes([a, b, c, d, e, f, g, h]))
    }
}
