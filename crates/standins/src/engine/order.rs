//! Orders to load other layers. An order with an old fencing number is refused; the new layers
//! become visible to daemons with the next announcement.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_border::{EngineOffer, OrderReply, OrderRequest};

use super::{EngineContext, lock};

/// Path of orders.
pub(crate) const ORDER_PATH: &str = "/engine/v1/orders";
/// Duration of loading weights.
const LOAD_TIME: Duration = Duration::from_millis(50);

/// State of the accepted orders.
#[derive(Debug, Default)]
pub(crate) struct OrderState {
    highest_fencing: u64,
    loading: bool,
}

/// Starts loading the ordered layers, unless the fencing number is old, the layers are not a valid
/// range of the model, or another load is running.
pub(crate) fn handle_order(context: &Arc<EngineContext>, order: OrderRequest) -> OrderReply {
    let mut state = lock(&context.orders);
    let is_old = order.fencing < state.highest_fencing && !context.faults.ignores_fencing();
    let is_valid_span = order.layers.first < order.layers.end
        && order.layers.end <= context.current_offer().model_layers;
    let accepted = !is_old && is_valid_span && !state.loading;
    if accepted {
        state.highest_fencing = state.highest_fencing.max(order.fencing);
        state.loading = true;
        tokio::spawn(load_layers(Arc::clone(context), order));
    }
    OrderReply {
        accepted,
        highest_fencing: state.highest_fencing,
    }
}

async fn load_layers(context: Arc<EngineContext>, order: OrderRequest) {
    tokio::time::sleep(LOAD_TIME).await;
    let offer = EngineOffer {
        model: order.model,
        version: order.version,
        layers: order.layers,
        ..context.current_offer().as_ref().clone()
    };
    context.set_offer(offer);
    lock(&context.orders).loading = false;
}
