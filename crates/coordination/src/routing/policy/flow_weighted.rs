//! Picks by the weights of the maximum flow, as if queues did not matter.

use super::RoutePolicy;
use crate::routing::fleet::EngineKey;
use crate::routing::view::StageView;

/// Samples before giving up.
const TRIES: u32 = 8;

#[derive(Clone, Copy, Debug)]
pub(super) struct FlowWeighted;

impl RoutePolicy for FlowWeighted {
    fn pick(&mut self, view: &mut StageView<'_>) -> Option<EngineKey> {
        for _ in 0..TRIES {
            let key = view.sample_by_flow()?;
            if view.accepts(key) {
                return Some(key);
            }
        }
        None
    }
}
