//! Load of a backend server, and when a change of it is worth telling.

use serde::{Deserialize, Serialize};

/// Part of a figure, as a divisor, that it must move by before the change is told.
const STEP_DIVISOR: u64 = 8;
/// Moves of sequences and calls up to this size are never told.
const STILL_SEQUENCES: u64 = 1;
/// Moves of token counts up to this size are never told.
const STILL_TOKENS: u64 = 256;

/// Load that a server reported; a lagging hint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadFields", into = "LoadFields")]
pub struct AnnouncedLoad {
    /// Sequences or calls running.
    pub running: u32,
    /// Sequences or calls waiting.
    pub queued: u32,
    /// Prompt tokens that wait or are being worked on.
    pub prefill_tokens: u64,
    /// Tokens of KV cache in use.
    pub kv_used_tokens: u64,
}

/// Encoded without field names, which would outweigh the figures.
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
    /// Whether some figure is further from the one that was told than a step.
    ///
    /// Receivers so hold each figure to an eighth, or to one sequence and 256 tokens where that is
    /// more; a server that starts or ends its only sequences is within that bound.
    pub(super) fn is_beyond_step(&self, told: &Self) -> bool {
        let moved = |new: u64, old: u64, still: u64| {
            new.abs_diff(old) > still.max(new.max(old) / STEP_DIVISOR)
        };
        moved(self.running.into(), told.running.into(), STILL_SEQUENCES)
            || moved(self.queued.into(), told.queued.into(), STILL_SEQUENCES)
            || moved(self.prefill_tokens, told.prefill_tokens, STILL_TOKENS)
            || moved(self.kv_used_tokens, told.kv_used_tokens, STILL_TOKENS)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn small_moves_of_load_are_not_told() {
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
        for (told, now, expected) in cases {
            let (told, now) = (load(told.0, told.1), load(now.0, now.1));
            assert_eq!(now.is_beyond_step(&told), expected, "{told:?} {now:?}");
        }
    }
}
