//! Picks the engine with the fewest own requests in a window that starts at a random engine.

use super::RoutePolicy;
use crate::routing::fleet::EngineKey;
use crate::routing::view::StageView;
use rand::RngExt;

/// Number of engines in the window; a smaller fleet is compared completely.
const WINDOW: u32 = 64;

#[derive(Clone, Copy, Debug)]
pub(super) struct LeastOutstanding;

impl RoutePolicy for LeastOutstanding {
    fn pick(&mut self, view: &mut StageView<'_>) -> Option<EngineKey> {
        let count = view.len();
        if count == 0 {
            return None;
        }
        let start = view.rng.random_range(0..count);
        let mut best = None;
        for offset in 0..count.min(WINDOW) {
            let Some(key) = view.member((start + offset) % count) else {
                continue;
            };
            let outstanding = view.outstanding(key);
            let is_better = best.is_none_or(|(_, fewest)| outstanding < fewest);
            if is_better && view.accepts(key) {
                best = Some((key, outstanding));
            }
        }
        best.map(|(key, _)| key)
    }
}
