//! Picks an engine by the weights of the maximum flow; ignores queues.

use super::RoutePolicy;
use crate::routing::fleet::EngineKey;
use crate::routing::view::StageView;

/// Limit on the samples per stage.
const SAMPLE_LIMIT: u32 = 8;

#[derive(Clone, Copy, Debug)]
pub(super) struct FlowWeighted;

impl RoutePolicy for FlowWeighted {
    fn pick(&mut self, view: &mut StageView<'_>) -> Option<EngineKey> {
        for _ in 0..SAMPLE_LIMIT {
            let key = view.sample_by_flow()?;
            if view.accepts(key) {
                return Some(key);
            }
        }
        None
    }
}
