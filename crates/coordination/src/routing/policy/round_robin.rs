//! Picks each engine in turn.

use std::collections::HashMap;

use super::RoutePolicy;
use crate::routing::fleet::{EngineKey, GraphKey};
use crate::routing::view::StageView;

/// Limit on the engines tried per stage.
const MAX_TRIED_ENGINES: u32 = 64;

/// Limit on the number of stored cursors, one per boundary; at the limit all are cleared.
const MAX_CURSORS: usize = 4_096;

#[derive(Clone, Debug, Default)]
pub(super) struct RoundRobin {
    cursors: HashMap<(GraphKey, u32), u32>,
}

impl RoutePolicy for RoundRobin {
    fn pick(&mut self, view: &mut StageView<'_>) -> Option<EngineKey> {
        let count = view.len();
        if count == 0 {
            return None;
        }
        if self.cursors.len() >= MAX_CURSORS {
            self.cursors.clear();
        }
        let cursor_key = (view.context.graph_key, view.point.layer);
        let cursor = self.cursors.entry(cursor_key).or_default();
        for _ in 0..count.min(MAX_TRIED_ENGINES) {
            *cursor = (*cursor + 1) % count;
            let member = view.member(*cursor);
            if let Some(key) = member.filter(|key| view.accepts(*key)) {
                return Some(key);
            }
        }
        None
    }
}
