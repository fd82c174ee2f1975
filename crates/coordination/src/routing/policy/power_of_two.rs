//! Picks the engine with fewer own requests out of two random engines.

use super::RoutePolicy;
use crate::routing::fleet::EngineKey;
use crate::routing::view::StageView;

/// Limit on the samples per stage to get two accepted engines.
const SAMPLE_LIMIT: u32 = 8;

#[derive(Clone, Copy, Debug)]
pub(super) struct PowerOfTwo;

impl RoutePolicy for PowerOfTwo {
    fn pick(&mut self, view: &mut StageView<'_>) -> Option<EngineKey> {
        let mut first = None;
        for _ in 0..SAMPLE_LIMIT {
            let key = view.sample_uniform()?;
            if !view.accepts(key) {
                continue;
            }
            let Some(other) = first else {
                first = Some(key);
                continue;
            };
            let is_less = view.outstanding(key) < view.outstanding(other);
            return Some(if is_less { key } else { other });
        }
        first
    }
}
