//! Picks the engine with the earliest predicted finish among a few samples: some by flow, some
//! uniform, and some engines that cache a prefix of the prompt or, for the first stage, to which
//! this host has an idle connection.
//!
//! Samples by flow direct the total load to the links and accelerator kinds that can carry it. The
//! prediction balances queues. Uniform samples find capacity that the flow leaves unused at low
//! load. More than three samples perform worse, because all entries see the same delayed load
//! reports and would send requests to the same few engines.

use super::RoutePolicy;
use crate::routing::fleet::EngineKey;
use crate::routing::view::StageView;

/// Interval of uniform samples: every third sample is uniform, the others are by flow.
const UNIFORM_EVERY: u32 = 3;

/// Limit on the number of engines compared because they cache a prefix of the prompt.
const MAX_HOLDERS: usize = 4;

/// Limit on the number of engines compared because this host has an idle connection to them. Hosts
/// are connected to different engines, so that these do not all receive the same requests.
const MAX_CONNECTED: usize = 4;

#[derive(Clone, Copy, Debug)]
pub(super) struct PredictedFinish {
    candidates: u32,
}

impl PredictedFinish {
    pub(super) fn new(candidates: u32) -> Self {
        Self { candidates }
    }
}

impl RoutePolicy for PredictedFinish {
    fn pick(&mut self, view: &mut StageView<'_>) -> Option<EngineKey> {
        let mut best: Option<(EngineKey, f64)> = None;
        let mut compare = |view: &mut StageView<'_>, key: EngineKey| {
            let finish = view.predicted_finish(key) - view.advantage(key);
            let is_better = best.is_none_or(|(_, earliest)| finish < earliest);
            if is_better && view.accepts(key) {
                best = Some((key, finish));
            }
        };
        for index in 0..self.candidates {
            let sample = if index % UNIFORM_EVERY == UNIFORM_EVERY - 1 {
                view.sample_uniform()
            } else {
                view.sample_by_flow()
            };
            if let Some(key) = sample {
                compare(view, key);
            }
        }
        let connected = view.connected().iter();
        let connected = connected.filter_map(|server| view.find_here(server));
        let connected: Vec<EngineKey> = connected.take(MAX_CONNECTED).collect();
        for key in connected {
            compare(view, key);
        }
        if view.context.phase_prompt_tokens() > 0 {
            let prefixes = view.context.prefixes;
            let holders = prefixes.holders(view.context.query.prefixes);
            for key in holders.iter().take(MAX_HOLDERS) {
                if view.holds_layer(*key) {
                    compare(view, *key);
                }
            }
        }
        best.map(|(key, _)| key)
    }
}
