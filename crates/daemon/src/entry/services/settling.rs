//! Claims that calls of this entry hold until the keepers have recorded their outcome.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::claims::{ClaimScope, ClaimState, ClaimTicket, KnownClaim};
use tokio::sync::watch;
use tokio::time::timeout;

/// Longest wait of a call for an earlier call with the same key: two commands at their time limit.
/// After the time of one, the command of the earlier call was often still repeated, and a take that
/// overtook it found its own refused key in progress.
const MAX_SETTLING_WAIT: Duration = Duration::from_secs(10);

/// Counts the calls of each key whose outcome is not recorded yet.
///
/// The keepers may commit a claim after its call was refused as not run, and record the refusal
/// later. A resend between the two would find its own key in progress, although nothing runs.
///
/// Invariant: contains no key with a count of zero, so the number of running calls limits its size.
#[derive(Debug, Default)]
pub(crate) struct SettlingClaims {
    counts: Mutex<BTreeMap<ClaimScope, watch::Sender<u32>>>,
    /// Claims from the take until the keepers have recorded the outcome, at most one for each
    /// running call.
    held: Mutex<BTreeMap<ClaimScope, KnownClaim>>,
}

/// A claim that a call of this entry holds; dropping it ends its record.
pub(super) struct HeldClaim {
    claims: Arc<SettlingClaims>,
    scope: ClaimScope,
    ticket: ClaimTicket,
}

/// A call whose outcome is not recorded yet; dropping it ends the wait of later calls.
pub(super) struct SettlingClaim {
    claims: Arc<SettlingClaims>,
    scope: ClaimScope,
}

impl SettlingClaims {
    /// Records that a call with the key of `scope` has an outcome to record.
    pub(super) fn begin(self: &Arc<Self>, scope: &ClaimScope) -> SettlingClaim {
        let mut counts = self.lock();
        let count = counts
            .entry(scope.clone())
            .or_insert_with(|| watch::Sender::new(0));
        count.send_modify(|count| *count += 1);
        SettlingClaim {
            claims: Arc::clone(self),
            scope: scope.clone(),
        }
    }

    /// Waits until the outcomes of earlier calls with the key of `scope` are recorded, for at most
    /// [`MAX_SETTLING_WAIT`]; returns whether they are.
    pub(super) async fn wait(&self, scope: &ClaimScope) -> bool {
        let Some(mut count) = self.lock().get(scope).map(watch::Sender::subscribe) else {
            return true;
        };
        let recorded = count.wait_for(|count| *count == 0);
        timeout(MAX_SETTLING_WAIT, recorded).await.is_ok()
    }

    /// Records that a call of this entry holds the claim of `scope`.
    pub(super) fn hold(self: &Arc<Self>, scope: &ClaimScope, claim: KnownClaim) -> HeldClaim {
        let ticket = claim.ticket.clone();
        self.held().insert(scope.clone(), claim);
        HeldClaim {
            claims: Arc::clone(self),
            scope: scope.clone(),
            ticket,
        }
    }

    /// Claim that a call of this entry holds, in the state that its outcome will record.
    pub(super) fn known(&self, scope: &ClaimScope) -> Option<KnownClaim> {
        self.held().get(scope).cloned()
    }

    fn held(&self) -> MutexGuard<'_, BTreeMap<ClaimScope, KnownClaim>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ClaimScope, watch::Sender<u32>>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for SettlingClaim {
    fn drop(&mut self) {
        let mut counts = self.claims.lock();
        let Some(count) = counts.get(&self.scope) else {
            return;
        };
        count.send_modify(|count| *count -= 1);
        if *count.borrow() == 0 {
            counts.remove(&self.scope);
        }
    }
}

impl HeldClaim {
    /// Sets the state of the claim once its outcome is known.
    pub(super) fn set_state(&self, state: ClaimState) {
        let mut held = self.claims.held();
        let own = held.get_mut(&self.scope);
        if let Some(claim) = own.filter(|claim| claim.ticket == self.ticket) {
            claim.state = state;
        }
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        let mut held = self.claims.held();
        // After a release, a later call of this entry may hold the claim.
        let is_own = |claim: &KnownClaim| claim.ticket == self.ticket;
        if held.get(&self.scope).is_some_and(is_own) {
            held.remove(&self.scope);
        }
    }
}
