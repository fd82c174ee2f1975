//! Load of a backend server, and the smallest change that hosts send to each other.

use serde::{Deserialize, Serialize};

/// A value must change by more than this fraction (1 / divisor) before the change is sent.
const STEP_DIVISOR: u64 = 8;
/// Changes of sequence and call counts up to this size are never sent.
const SEQUENCE_TOLERANCE: u64 = 1;
/// Changes of token counts up to this size are never sent.
const TOKEN_TOLERANCE: u64 = 256;

/// Load that a server reported. It lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadFields", into = "LoadFields")]
pub struct AnnouncedLoad {
    /// Number of running sequences or calls.
    pub running: u32,
    /// Number of queued sequences or calls.
    pub queued: u32,
    /// Number of prompt tokens that are queued or in prefill.
    pub prefill_tokens: u64,
    /// Number of tokens in the KV cache.
    pub kv_used_tokens: u64,
}

/// Encoded form without field names, which would take more bytes than the values.
type LoadFields = (u32, u32, u64, u64);

impl From<LoadFields> for AnnouncedLoad {
    fn from((running, queued, prefill_tokens, kv_used_tokens): LoadFields) -> Self {
        Self {
            running,
            queued,
            prefill_tokens,
            kv_used_tokens,
        }
    }
}

impl From<AnnouncedLoad> for LoadFields {
    fn from(load: AnnouncedLoad) -> Self {
        (
            load.running,
            load.queued,
            load.prefill_tokens,
            load.kv_used_tokens,
        )
    }
}

impl AnnouncedLoad {
    /// Whether any value differs from the value in `sent` by more than the send threshold.
    ///
    /// Receivers therefore know each value within an eighth, or within one sequence or 256 tokens
    /// if that is more. The start or end of a server's only sequence is within that bound.
    pub(super) fn exceeds_send_threshold(&self, sent: &Self) -> bool {
        let exceeds = |new: u64, old: u64, tolerance: u64| {
            new.abs_diff(old) > tolerance.max(new.max(old) / STEP_DIVISOR)
        };
        exceeds(self.running.into(), sent.running.into(), SEQUENCE_TOLERANCE)
            || exceeds(self.queued.into(), sent.queued.into(), SEQUENCE_TOLERANCE)
            || exceeds(self.prefill_tokens, sent.prefill_tokens, TOKEN_TOLERANCE)
            || exceeds(self.kv_used_tokens, sent.kv_used_tokens, TOKEN_TOLERANCE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against renewals that carry the load after every small change, and against larger
    // changes that receivers never get.
    #[test]
    fn small_load_changes_are_not_sent() {
        let load = |running, kv| AnnouncedLoad {
            running,
            kv_used_tokens: kv,
            ..AnnouncedLoad::default()
        };
        let cases = [
            ((0, 0), (1, 256), false),
            ((0, 0), (2, 0), true),
            ((40, 0), (44, 0), false),
            ((40, 0), (47, 0), true),
            ((40, 0), (34, 0), true),
            ((0, 80_000), (0, 88_000), false),
            ((0, 80_000), (0, 60_000), true),
        ];
        for (sent, now, expected) in cases {
            let (sent, now) = (load(sent.0, sent.1), load(now.0, now.1));
            assert_eq!(
                now.exceeds_send_threshold(&sent),
                expected,
                "{sent:?} {now:?}"
            );
        }
    }
}
