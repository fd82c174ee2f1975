//! Samples on until a few engines are found that may be taken, where a policy's own few were not.
//!
//! Acts between the policy and the complete search. Failure: a selector that allows one engine of
//! four lets three samples fail at nearly half of all stages, and each such request looked at all
//! engines of its model; the time of a decision grew with the fleet. A bounded number of samples
//! finds a pipeline unless very few engines are allowed, and the complete search stays behind it.

use super::RoutePolicy;
use crate::routing::fleet::EngineKey;
use crate::routing::view::StageView;

/// Samples of one stage at most. If one engine of 14 is allowed, one stage of 13,000 finds none.
pub(in crate::routing) const MAX_SAMPLES: u32 = 128;
/// Engines that are compared.
const WANTED: u32 = 3;

#[derive(Clone, Copy, Debug)]
pub(in crate::routing) struct ExtendedSampling;

impl RoutePolicy for ExtendedSampling {
    fn pick(&mut self, view: &mut StageView<'_>) -> Option<EngineKey> {
        let mut best: Option<(EngineKey, f64)> = None;
        let mut found = 0;
        // Not by flow: its weights are worked out for the whole fleet and may leave out just the
        // engines that are allowed.
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
            if found == WANTED {
                break;
            }
        }
        best.map(|(key, _)| key)
    }
}
