//! Finds out whether an engine that broke off a draft has crashed.

use std::time::Duration;

use super::chains::ReservedChain;
use super::context::RelayContext;
use super::drafts::DraftRun;

/// Time within which an engine that runs accepts a connection. Nothing listens at the address of a
/// crashed one, which is known after a round trip.
const OPEN_TIMEOUT: Duration = Duration::from_millis(100);

impl DraftRun {
    /// Checks the first engine of `chain`, which broke off the draft before its first event, and logs
    /// what the draft has in common with others.
    pub(super) async fn check_broken_engine(&self, chain: &ReservedChain) {
        let is_gone = self.context.has_crashed(chain).await;
        log::info!(request = self.request.attempt.as_str(), server:% = chain.first, gone = is_gone,
            parts = self.request.part_names().as_str(); "engine broke off a draft without an event");
    }
}

impl RelayContext {
    /// Whether the first engine of `chain`, whose connection broke, accepts no further one while this
    /// host reaches others.
    pub(super) async fn has_crashed(&self, chain: &ReservedChain) -> bool {
        let Some(hop) = chain.hops.first() else {
            return false;
        };
        let is_open = self.pool.can_open(hop.address, OPEN_TIMEOUT).await;
        !is_open && !self.has_lost_service_of(&chain.first).await
    }
}
