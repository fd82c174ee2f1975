//! Confirms leaves of backend servers: a majority of the keepers stores each before it is acknowledged.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use pollendrift_coordination::base::{HostName, Incarnation, ReceiptNumber, ServerName};
use pollendrift_coordination::leases::{LeaseBatch, NamedLease, PackedRenewals};
use pollendrift_dialect::RegistryError;
use tokio::time::timeout;

use crate::clock::TimeSource;
use crate::coalesced::CoalescedRounds;
use crate::fleet::BackendFleet;
use crate::lease_broadcast::FRAME_LEASES;
use crate::node::ClusterNode;
use crate::peers::{CallNumber, PeerAnswer, PeerFrame, PendingCall};

/// Time limit for the confirmation of a leave. A server asks the next host after a second without an
/// answer, and a refusal must reach it before.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Sends leaves to the other keepers and waits until a majority has stored them.
///
/// The keepers that stored a leave send it to all hosts, so it outlives the loss of this process and of
/// a minority of the keepers. It needs neither a leader nor a disk: leases are in memory only.
pub(super) struct LeaveConfirmer {
    node: Arc<ClusterNode>,
    fleet: Arc<BackendFleet>,
    clock: Arc<dyn TimeSource>,
    state: Mutex<LeaveState>,
    rounds: CoalescedRounds,
}

/// Invariant: a server is in `confirmed` only while the fleet knows that it leaves, as of the last
/// round.
#[derive(Default)]
struct LeaveState {
    /// Servers whose leave the next round sends.
    pending: BTreeSet<ServerName>,
    /// Incarnations whose leave a majority of the keepers has stored.
    confirmed: BTreeMap<ServerName, Incarnation>,
}

impl LeaveConfirmer {
    /// Creates a confirmer without confirmed leaves.
    pub(super) fn new(
        node: Arc<ClusterNode>,
        fleet: Arc<BackendFleet>,
        clock: Arc<dyn TimeSource>,
    ) -> Self {
        Self {
            node,
            fleet,
            clock,
            state: Mutex::default(),
            rounds: CoalescedRounds::default(),
        }
    }

    /// Waits until a majority of the keepers has stored that `server` leaves.
    ///
    /// # Errors
    /// No majority confirmed it in time. The leave stays in force where it is known, and the server is
    /// to ask another host.
    pub(super) async fn confirm(&self, server: &ServerName) -> Result<(), RegistryError> {
        let Some(incarnation) = self.fleet.left_incarnation(server) else {
            // It has started again; the call came late.
            return Ok(());
        };
        {
            let mut state = self.lock();
            if state.confirmed.get(server) == Some(&incarnation) {
                return Ok(());
            }
            state.pending.insert(server.clone());
        }
        let round = self.rounds.wait(async || self.run_round().await);
        let outcome = timeout(CONFIRM_TIMEOUT, round).await;
        let outcome = outcome.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        outcome.map_err(|reason| {
            log::warn!(server:% = server, reason = reason.as_str(); "leave not confirmed by a majority of the keepers");
            RegistryError {
                reason: format!("the leave of {server} is not confirmed: {reason}"),
                elsewhere: true,
            }
        })
    }

    /// Sends all pending leaves to the other keepers, and waits for a majority.
    async fn run_round(&self) -> Result<(), String> {
        let servers: Vec<ServerName> = self.lock().pending.iter().cloned().collect();
        let leaves = self.fleet.full_leases(self.clock.now(), &servers);
        let (keepers, quorum) = self.keepers();
        let own = self.node.hub().host();
        let mut stored = usize::from(keepers.contains(own));
        let others = keepers.iter().filter(|keeper| *keeper != own);
        let mut answers: FuturesUnordered<_> = others
            .filter_map(|keeper| self.send(keeper, &leaves))
            .map(|mut call| async move { call.wait().await })
            .collect();
        while stored < quorum {
            let Some(answer) = answers.next().await else {
                return Err(format!("{stored} of {quorum} keepers have stored it"));
            };
            stored += usize::from(answer == Ok(PeerAnswer::Stored));
        }
        self.record_confirmed(&servers, &leaves);
        Ok(())
    }

    /// Sends leaves to a keeper that is to confirm them; `None` if it has no link.
    fn send(&self, keeper: &HostName, leaves: &[NamedLease]) -> Option<PendingCall> {
        let hub = self.node.hub();
        let batch = |named: &[NamedLease], receipt| {
            PeerFrame::Leases(LeaseBatch {
                table: self.fleet.table_incarnation(),
                named: named.to_vec(),
                renewals: PackedRenewals::default(),
                receipt,
            })
        };
        // Frames of one link arrive in order, so the last one confirms all.
        let full_frames = leaves.len().saturating_sub(1) / FRAME_LEASES;
        let (earlier, last) = leaves.split_at(full_frames * FRAME_LEASES);
        for named in earlier.chunks(FRAME_LEASES) {
            hub.send(keeper, &batch(named, None)).ok()?;
        }
        let numbered = |number: CallNumber| batch(last, Some(ReceiptNumber(number.0)));
        hub.send_numbered(keeper, numbered).ok()
    }

    /// Hosts of the keepers, and how many of them must store a leave.
    fn keepers(&self) -> (BTreeSet<HostName>, usize) {
        if let Some(status) = self.node.keeper_status() {
            let voters = status.membership.voters.iter();
            let hosts = voters.map(|voter| voter.host.clone()).collect();
            return (hosts, status.membership.quorum());
        }
        let discovery = self.node.hub().discovery();
        let known = discovery.map_or_else(Vec::new, |discovery| discovery.keepers());
        let quorum = match known.len() {
            0 => 0,
            count => count / 2 + 1,
        };
        (known.into_iter().collect(), quorum)
    }

    fn record_confirmed(&self, servers: &[ServerName], leaves: &[NamedLease]) {
        let mut state = self.lock();
        for server in servers {
            state.pending.remove(server);
        }
        let confirmed = leaves.iter().map(|leave| {
            let delta = &leave.delta;
            (delta.server().clone(), delta.incarnation())
        });
        state.confirmed.extend(confirmed);
        state.confirmed.retain(|server, incarnation| {
            self.fleet.left_incarnation(server) == Some(*incarnation)
        });
    }

    fn lock(&self) -> MutexGuard<'_, LeaveState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
