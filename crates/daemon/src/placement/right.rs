//! The right to order engines, asked for and renewed.

use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use pollendrift_coordination::placement::PlacementRight;
use pollendrift_coordination::replicated::{
    CommandAnswer, GrantOrderRight, OrderHolder, OrderRightAnswer, ReplicatedCommand,
};

use crate::agreed::AgreedState;
use crate::clock::TimeSource;

/// Name under which the right over all engines is held.
const ALL_ENGINES: &str = "placement";
/// Part of a lease that is given up for clocks that drift apart.
const DRIFT_PARTS: u32 = 10;
/// Part of a lease after which it is renewed.
const RENEW_PARTS: u32 = 3;

/// Asks for the right when it is time to.
pub(crate) struct OrderRightRenewer {
    host: HostName,
    lease: Duration,
    ask_at: MonotonicTime,
}

impl OrderRightRenewer {
    pub(crate) fn new(host: HostName, lease: Duration) -> Self {
        Self {
            host,
            lease,
            ask_at: MonotonicTime::START,
        }
    }

    /// The right, if it was granted or renewed just now. Its end is counted from before the
    /// request was sent, so this host stops before the keepers let another one have it.
    pub(crate) async fn renew_if_due(
        &mut self,
        agreed: &dyn AgreedState,
        clock: &dyn TimeSource,
    ) -> Option<PlacementRight> {
        let asked = clock.now();
        if asked < self.ask_at {
            return None;
        }
        let holder = OrderHolder {
            host: self.host.clone(),
            incarnation: agreed.incarnation()?,
        };
        self.ask_at = asked.after(self.lease / RENEW_PARTS);
        let request = GrantOrderRight {
            server: ServerName::from(ALL_ENGINES),
            holder,
            lease: self.lease,
        };
        let answer = agreed.submit(ReplicatedCommand::GrantOrderRight(request));
        match tokio::time::timeout(self.lease / RENEW_PARTS, answer).await {
            Ok(Ok(CommandAnswer::OrderRight(OrderRightAnswer::Granted { fencing, lease }))) => {
                Some(PlacementRight {
                    fencing,
                    until: asked.after(lease - lease / DRIFT_PARTS),
                })
            }
            Ok(Ok(CommandAnswer::OrderRight(OrderRightAnswer::Held { remaining, .. }))) => {
                self.ask_at = clock.now().after(remaining);
                None
            }
            _ => None,
        }
    }
}
