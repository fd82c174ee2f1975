//! Takes more samples if the policy's own samples contain no acceptable engine.
//!
//! Runs between the policy and the full search. With a selector that allows one engine in four,
//! three samples fail at nearly half of all stages. If each such request ran the full search, it
//! would check all engines of its model, and the time of a decision would grow with the fleet. A
//! bounded number of samples finds a pipeline unless very few engines are allowed; the full search
//! handles the remaining cases.

use super::RoutePolicy;
use crate::routing::fleet::EngineKey;
use crate::routing::view::StageView;

/// Limit on the samples per stage. If one engine in 14 is allowed, one stage in 13,000 finds none.
pub(in crate::routing) const MAX_SAMPLES: u32 = 128;
/// Number of accepted engines to compare.
const TARGET_CANDIDATES: u32 = 3;

#[derive(Clone, Copy, Debug)]
pub(in crate::routing) struct ExtendedSampling;

impl RoutePolicy for ExtendedSampling {
    fn pick(&mut self, view: &mut StageView<'_>) -> Option<EngineKey> {
        let mut best: Option<(EngineKey, f64)> = None;
        let mut found = 0;
        // The flow weights apply to the whole fleet and can be zero for exactly the engines that
        // are allowed, so the samples are uniform.
        for _ in 0..MAX_SAMPLES {
            let sample = view.sample_uniform();
            let Some(key) = sample.filter(|key| view.accepts(*key)) else {
                continue;
            };
            let finish = view.predicted_finish(key);
            if best.is_none_or(|(_, earliest)| finish < earliest) {
                best = Some((key, finish));
            }
            found += 1;
            if found == TARGET_CANDIDATES {
                break;
            }
        }
        best.map(|(key, _)| key)
    }
}
