//! One order on its way to an engine.

use std::time::Duration;

use derive_more::{Display, Error, From};
use pollendrift_border::{LayerSpan, OrderReply, OrderRequest};
use pollendrift_coordination::placement::LoadOrder;
use pollendrift_http::{ClientError, HttpClient};

use crate::clock::TimeSource;

/// Path that engines take orders on.
const ORDER_PATH: &str = "/engine/v1/orders";
/// Longest wait for an engine's answer.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an order was not taken, as far as is known; only an announcement shows what is loaded.
#[derive(Debug, Display, Error, From)]
pub(super) enum OrderError {
    /// The right ended before the order was written.
    #[display("the order right ended")]
    RightEnded,
    /// No answer in time.
    #[display("no answer in time")]
    NoAnswer,
    /// The call failed.
    #[display("{_0}")]
    Call(ClientError),
    /// The engine refused.
    #[display("refused; the engine has taken orders up to fencing number {highest}")]
    #[from(skip)]
    Refused {
        /// Highest number that it knows.
        highest: u64,
    },
}

/// Sends an order, unless the right under which it was decided is over by now.
///
/// A process that was paused after it decided would otherwise order in place of its successor. The
/// call is dropped at the end of the right as well, so none of it is written later.
pub(super) async fn send_order(
    client: &HttpClient,
    address: &str,
    order: &LoadOrder,
    clock: &dyn TimeSource,
) -> Result<(), OrderError> {
    let layers = order.load.layers;
    let request = OrderRequest {
        fencing: order.fencing.0,
        model: order.load.weights.model.to_string(),
        version: order.load.weights.version.to_string(),
        layers: LayerSpan {
            first: layers.first,
            end: layers.end,
        },
    };
    let now = clock.now();
    if now >= order.valid_until {
        return Err(OrderError::RightEnded);
    }
    let limit = ORDER_TIMEOUT.min(order.valid_until.since(now));
    let call = client.call::<_, OrderReply>(address, ORDER_PATH, &request);
    let Ok(answer) = tokio::time::timeout(limit, call).await else {
        return Err(OrderError::NoAnswer);
    };
    let reply = answer?.1?;
    if reply.accepted {
        return Ok(());
    }
    Err(OrderError::Refused {
        highest: reply.highest_fencing,
    })
}
