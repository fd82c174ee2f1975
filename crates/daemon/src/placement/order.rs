//! Sends an order to an engine.

use std::time::Duration;

use derive_more::{Display, Error, From};
use pollendrift_border::{LayerSpan, OrderReply, OrderRequest};
use pollendrift_coordination::placement::LoadOrder;
use pollendrift_http::{ClientError, HttpClient};

use crate::clock::TimeSource;

/// HTTP path for orders at engines.
const ORDER_PATH: &str = "/engine/v1/orders";
/// Maximum wait for an engine's answer.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why an order failed. After some errors the engine may still have run the order; only its
/// announcements show which layers it has loaded.
#[derive(Debug, Display, Error, From)]
pub(super) enum OrderError {
    /// The order right ended before the order was sent.
    #[display("the order right ended before the order was sent")]
    RightEnded,
    /// The engine did not answer in time.
    #[display("the engine did not answer within the time limit")]
    NoAnswer,
    /// The HTTP call failed.
    #[display("{_0}")]
    Call(ClientError),
    /// The engine refused the order because of its fencing number.
    #[display("refused: the engine has already accepted fencing number {highest}")]
    #[from(skip)]
    Refused {
        /// Highest fencing number that the engine has accepted.
        highest: u64,
    },
}

/// Sends an order, unless the order right that it is based on has ended.
///
/// Otherwise a process that was paused after its decision would interfere with its successor. The
/// call is also aborted at the end of the right, so nothing is sent after it.
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
