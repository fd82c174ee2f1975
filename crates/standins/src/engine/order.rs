//! Orders to load other layers: refused under an old fencing number, seen only when announced.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_border::{EngineOffer, OrderReply, OrderRequest};

use super::{EngineContext, lock};

/// Path that orders come to.
pub(crate) const ORDER_PATH: &str = "/engine/v1/orders";
/// Time that a load takes.
const LOAD_TIME: Duration = Duration::from_millis(50);

/// Orders taken so far.
#[derive(Debug, Default)]
pub(crate) struct OrderState {
    highest_fencing: u64,
    loading: bool,
}

/// Begins the load of an order, unless its number is old, its layers do not fit, or a load is under way.
pub(crate) fn take_order(context: &Arc<EngineContext>, order: OrderRequest) -> OrderReply {
    let mut state = lock(&context.orders);
    let is_old = order.fencing < state.highest_fencing && !context.faults.ignores_fencing();
    let is_span =
        order.layers.first < order.layers.end && order.layers.end <= context.served().model_layers;
    let accepted = !is_old && is_span && !state.loading;
    if accepted {
        state.highest_fencing = state.highest_fencing.max(order.fencing);
        state.loading = true;
        tokio::spawn(load(Arc::clone(context), order));
    }
    OrderReply {
        accepted,
        highest_fencing: state.highest_fencing,
    }
}

async fn load(context: Arc<EngineContext>, order: OrderRequest) {
    tokio::time::sleep(LOAD_TIME).await;
    let offer = EngineOffer {
        model: order.model,
        version: order.version,
        layers: order.layers,
        ..context.served().as_ref().clone()
    };
    context.serve(offer);
    lock(&context.orders).loading = false;
}
