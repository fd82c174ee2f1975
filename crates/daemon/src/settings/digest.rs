//! SHA-256 digests of tokens. Settings contain only digests, so that a reader of the file learns no
//! token.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a token.
///
/// The type does not implement `PartialEq`: `access` compares digests in constant time, so that the
/// response time reveals nothing about the stored digest.
#[derive(Clone, Copy)]
pub struct TokenDigest([u8; DIGEST_BYTES]);

/// Error for a text that is not a digest.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a SHA-256 digest")]
pub struct DigestError;

impl TokenDigest {
    /// Description of the accepted form, for findings.
    pub const EXPECTED: &'static str = "64 hexadecimal digits, the SHA-256 digest of the token";

    /// Computes the digest of `token`.
    pub fn of(token: &[u8]) -> Self {
        Self(Sha256::digest(token).into())
    }

    /// Returns the 32 bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Formats the digest as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TokenDigest(..)")
    }
}

impl FromStr for TokenDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        if text.len() != DIGEST_BYTES * 2 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(DigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = text.get(index * 2..index * 2 + 2).ok_or(DigestError)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(bytes))
    }
}
