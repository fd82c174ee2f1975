//! Digest of an announcement without its sequence number and load.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{ServerAnnounce, ServerState};

/// Digest of an announcement's content; equal content has an equal digest on every host.
///
/// A renewal carries the digest. Without it, a host that missed a changed offer would apply the
/// renewal to the old offer and route by that offer until the server stops. 64 bits are enough,
/// because only announcements of one incarnation of one server are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AnnouncementDigest(u64);

impl AnnouncementDigest {
    /// Computes the digest of `announce` without its sequence number and load.
    pub fn of(announce: &ServerAnnounce) -> Self {
        let mut hasher = Sha256::new();
        let texts = [
            announce.server.as_str(),
            &announce.address,
            announce.data_centre.as_str(),
            &announce.offer,
        ];
        for text in texts {
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(announce.incarnation.0.to_be_bytes());
        let is_leaving = announce.state == ServerState::Leaving;
        hasher.update([u8::from(is_leaving), u8::from(announce.checks_fencing)]);
        let bytes: [u8; 32] = hasher.finalize().into();
        let (first, _) = bytes.split_at(8);
        Self(
            first
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
        )
    }
}
