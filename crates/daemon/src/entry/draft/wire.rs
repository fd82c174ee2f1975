//! Conversions between a draft's types and the engines' wire format.

use pollendrift_border::{ChainLink as BorderLink, LayerSpan, RouteStage, TokenEvent};
use pollendrift_coordination::base::{AttemptNumber, LayerRange, TokenPosition};
use pollendrift_coordination::ledger::{ChainLink, GeneratedToken, TokenResult};

use crate::fleet::PlannedStage;

/// Converts a planned stage to the form in which the first stage receives the route.
pub(super) fn route_stage(stage: &PlannedStage) -> RouteStage {
    RouteStage {
        server: stage.server.to_string(),
        address: stage.address.to_string(),
        layers: LayerSpan {
            first: stage.layers.first,
            end: stage.layers.end,
        },
    }
}

/// Converts a token event of an engine to a result for the ledger.
pub(super) fn token_result(event: TokenEvent) -> TokenResult {
    let link = |link: BorderLink| ChainLink {
        server: link.server.into(),
        layers: LayerRange {
            first: link.layers.first,
            end: link.layers.end,
        },
        version: link.version.into(),
    };
    TokenResult {
        request: event.request.into(),
        attempt: AttemptNumber(event.attempt),
        position: TokenPosition(event.position),
        chain: event.chain.into_iter().map(link).collect(),
        token: GeneratedToken {
            id: event.token,
            text: event.text.into(),
        },
    }
}
