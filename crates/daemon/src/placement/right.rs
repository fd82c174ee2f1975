//! Requests and renews the order right, the permission to order engines.

use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use pollendrift_coordination::placement::PlacementRight;
use pollendrift_coordination::replicated::{
    CommandAnswer, GrantOrderRight, OrderHolder, OrderRightAnswer, ReplicatedCommand,
};

use crate::agreed::AgreedState;
use crate::clock::TimeSource;

/// Name of the order right for all engines.
const ALL_ENGINES: &str = "placement";
/// Divisor of the lease for the part given up because of clock drift.
const DRIFT_DIVISOR: u32 = 10;
/// Divisor of the lease for the time after which it is renewed.
const RENEW_DIVISOR: u32 = 3;

/// Requests the order right and renews it when due.
pub(crate) struct OrderRightRenewer {
    host: HostName,
    lease: Duration,
    renew_at: MonotonicTime,
}

impl OrderRightRenewer {
    pub(crate) fn new(host: HostName, lease: Duration) -> Self {
        Self {
            host,
            lease,
            renew_at: MonotonicTime::START,
        }
    }

    /// Returns the right if this call obtains or renews it. Its end counts from the time before the
    /// request was sent, so this host stops before the keepers grant the right to another host.
    pub(crate) async fn renew_if_due(
        &mut self,
        agreed: &dyn AgreedState,
        clock: &dyn TimeSource,
    ) -> Option<PlacementRight> {
        let requested_at = clock.now();
        if requested_at < self.renew_at {
            return None;
        }
        let holder = OrderHolder {
            host: self.host.clone(),
            incarnation: agreed.incarnation()?,
        };
        self.renew_at = requested_at.after(self.lease / RENEW_DIVISOR);
        let request = GrantOrderRight {
            server: ServerName::from(ALL_ENGINES),
            holder,
            lease: self.lease,
        };
        let answer = agreed.submit(ReplicatedCommand::GrantOrderRight(request));
        match tokio::time::timeout(self.lease / RENEW_DIVISOR, answer).await {
            Ok(Ok(CommandAnswer::OrderRight(OrderRightAnswer::Granted { fencing, lease }))) => {
                Some(PlacementRight {
                    fencing,
                    until: requested_at.after(lease - lease / DRIFT_DIVISOR),
                })
            }
            Ok(Ok(CommandAnswer::OrderRight(OrderRightAnswer::Held { remaining, .. }))) => {
                self.renew_at = clock.now().after(remaining);
                None
            }
            _ => None,
        }
    }
}
