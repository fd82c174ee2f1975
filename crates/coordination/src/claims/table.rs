//! Replicated table of claims.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::claim::{
    ClaimOutcome, ClaimScope, ClaimState, ClaimTicket, KnownClaim, SettleAnswer, SettleClaim,
    TakeAnswer, TakeClaim,
};
use super::record::{ClaimRecord, RecordState, existing_answer, record_spent};
use super::settings::ClaimSettings;
use crate::base::{CustomerName, HostName, Incarnation, RequestId};
use crate::replicated::ReplicatedTime;

/// Number of claims by state, and the bytes of stored answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCounts {
    /// Calls that may be running.
    pub in_progress: usize,
    /// Calls that finished with an answer.
    pub finished: usize,
    /// Calls that may have run.
    pub unknown: usize,
    /// Keys that were released.
    pub released: usize,
    /// Size of stored answers in bytes.
    pub stored_bytes: usize,
}

/// Claims of all calls, by scope.
///
/// Invariants: `in_progress` lists exactly the claims in progress, by host; `expiry` lists exactly
/// the other records, by the time from which their retention runs; `customers` counts the records
/// of each customer; a take with an incarnation below that of its host in `hosts` is refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    settings: ClaimSettings,
    records: BTreeMap<ClaimScope, ClaimRecord>,
    #[serde(rename = "held")]
    in_progress: BTreeMap<HostName, BTreeSet<ClaimScope>>,
    expiry: BTreeSet<(ReplicatedTime, ClaimScope)>,
    customers: BTreeMap<CustomerName, usize>,
    /// Lowest incarnation of each host that may take claims.
    hosts: BTreeMap<HostName, Incarnation>,
    stored_bytes: usize,
}

impl ClaimTable {
    /// Starts without claims.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes a claim. A repeated take with the same ticket returns the same answer while the ticket
    /// holds the claim.
    pub fn take(&mut self, take: &TakeClaim, now: ReplicatedTime) -> TakeAnswer {
        self.expire(now);
        if self.is_replaced(&take.ticket) {
            return TakeAnswer::TicketSpent;
        }
        let known = self.records.get(&take.scope);
        if let Some(answer) = known.and_then(|record| existing_answer(record, take)) {
            return answer;
        }
        let spent = self.remove(&take.scope);
        if self.is_full(&take.scope.customer) {
            return TakeAnswer::Full;
        }
        let state = RecordState::Claimed {
            digest: take.digest,
            request: take.request.clone(),
            state: ClaimState::InProgress,
            settled_at: None,
        };
        self.insert(&take.scope, take.ticket.clone(), state, spent);
        TakeAnswer::Taken
    }

    /// Settles a claim. A recorded outcome stays, except `Unknown`, which the holder may still
    /// replace with a known outcome.
    pub fn settle(&mut self, settle: &SettleClaim, now: ReplicatedTime) -> SettleAnswer {
        self.expire(now);
        let Some(record) = self.records.get(&settle.scope) else {
            return self.settle_absent(settle, now);
        };
        if record.ticket != settle.ticket {
            return self.settle_other(settle);
        }
        let RecordState::Claimed {
            digest,
            request,
            state,
            ..
        } = &record.state
        else {
            return SettleAnswer::AlreadySettled;
        };
        let is_open = match state {
            ClaimState::InProgress => true,
            ClaimState::Unknown => settle.outcome != ClaimOutcome::Unknown,
            ClaimState::Finished(_) => false,
        };
        if !is_open {
            return SettleAnswer::AlreadySettled;
        }
        let (digest, request) = (*digest, request.clone());
        let mut spent = self.remove(&settle.scope);
        if settle.outcome == ClaimOutcome::NotRun {
            record_spent(&mut spent, &settle.ticket);
        }
        let state = match &settle.outcome {
            ClaimOutcome::NotRun => RecordState::Released { at: now },
            outcome => RecordState::Claimed {
                digest,
                request,
                state: self.settled_state(outcome),
                settled_at: Some(now),
            },
        };
        self.insert(&settle.scope, settle.ticket.clone(), state, spent);
        SettleAnswer::Settled
    }

    /// Records that incarnation `ended` of a host and all earlier ones have ended: their claims in
    /// progress become unknown, and these calls never run again. Returns the number of such claims.
    pub fn end_incarnation(
        &mut self,
        host: &HostName,
        ended: Incarnation,
        now: ReplicatedTime,
    ) -> usize {
        let lowest = self.hosts.entry(host.clone()).or_default();
        *lowest = (*lowest).max(ended.next());
        let scopes = self.in_progress.get(host).cloned().unwrap_or_default();
        let mut count = 0;
        for scope in scopes {
            count += usize::from(self.mark_unknown(&scope, ended, now));
        }
        count
    }

    /// Returns the request and the state of a claim; `None` if the key is not claimed.
    pub fn look_up(&self, scope: &ClaimScope) -> Option<(&RequestId, &ClaimState)> {
        match &self.records.get(scope)?.state {
            RecordState::Claimed { request, state, .. } => Some((request, state)),
            RecordState::Released { .. } => None,
        }
    }

    /// Returns what this copy of the table states about a key; `None` if it is not claimed. A later
    /// copy may state more, but an outcome stays, see [`ClaimTable::settle`].
    pub fn known(&self, scope: &ClaimScope) -> Option<KnownClaim> {
        let record = self.records.get(scope)?;
        let RecordState::Claimed {
            digest,
            request,
            state,
            ..
        } = &record.state
        else {
            return None;
        };
        Some(KnownClaim {
            ticket: record.ticket.clone(),
            digest: *digest,
            request: request.clone(),
            state: state.clone(),
        })
    }

    /// Number of records in any state, including released keys.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Counts the claims by state.
    pub fn counts(&self) -> ClaimCounts {
        let mut counts = ClaimCounts {
            stored_bytes: self.stored_bytes,
            ..ClaimCounts::default()
        };
        for record in self.records.values() {
            match &record.state {
                RecordState::Released { .. } => counts.released += 1,
                RecordState::Claimed { state, .. } => match state {
                    ClaimState::InProgress => counts.in_progress += 1,
                    ClaimState::Finished(_) => counts.finished += 1,
                    ClaimState::Unknown => counts.unknown += 1,
                },
            }
        }
        counts
    }

    /// Removes settled claims and released keys older than the retention time. A claim in progress
    /// never expires, because its holder may still send the call.
    pub fn expire(&mut self, now: ReplicatedTime) {
        while let Some((since, scope)) = self.expiry.first() {
            if now.since(*since) <= self.settings.retention {
                return;
            }
            let scope = scope.clone();
            self.remove(&scope);
        }
    }

    fn is_replaced(&self, ticket: &ClaimTicket) -> bool {
        let lowest = self.hosts.get(&ticket.host);
        lowest.is_some_and(|lowest| ticket.incarnation < *lowest)
    }

    fn is_full(&self, customer: &CustomerName) -> bool {
        let own = self.customers.get(customer).copied().unwrap_or(0);
        self.records.len() >= self.settings.max_claims || own >= self.settings.max_customer_claims
    }

    /// Records a ticket that releases a key which another ticket claimed.
    fn settle_other(&mut self, settle: &SettleClaim) -> SettleAnswer {
        let is_release = settle.outcome == ClaimOutcome::NotRun;
        match self.records.get_mut(&settle.scope) {
            Some(record) if is_release => {
                record_spent(&mut record.spent, &settle.ticket);
                SettleAnswer::Settled
            }
            _ => SettleAnswer::NotHeld,
        }
    }

    /// Records a ticket that releases a key before its take is applied.
    fn settle_absent(&mut self, settle: &SettleClaim, now: ReplicatedTime) -> SettleAnswer {
        let is_recorded = settle.outcome == ClaimOutcome::NotRun
            && !self.is_replaced(&settle.ticket)
            && !self.is_full(&settle.scope.customer);
        if !is_recorded {
            return SettleAnswer::NotHeld;
        }
        let state = RecordState::Released { at: now };
        let spent = vec![settle.ticket.clone()];
        self.insert(&settle.scope, settle.ticket.clone(), state, spent);
        SettleAnswer::Settled
    }

    fn settled_state(&self, outcome: &ClaimOutcome) -> ClaimState {
        let ClaimOutcome::Finished(answer) = outcome else {
            return ClaimState::Unknown;
        };
        let settings = &self.settings;
        let remaining = settings.max_stored_bytes.saturating_sub(self.stored_bytes);
        let max_headers = settings.max_header_bytes.min(remaining);
        let answer = answer.clone().bounded(settings.max_body_bytes, max_headers);
        if answer.stored_bytes() > remaining {
            return ClaimState::Finished(answer.without_body());
        }
        ClaimState::Finished(answer)
    }

    fn mark_unknown(
        &mut self,
        scope: &ClaimScope,
        ended: Incarnation,
        now: ReplicatedTime,
    ) -> bool {
        let Some(record) = self.records.get(scope) else {
            return false;
        };
        if record.ticket.incarnation > ended {
            return false;
        }
        let RecordState::Claimed {
            digest, request, ..
        } = &record.state
        else {
            return false;
        };
        let state = RecordState::Claimed {
            digest: *digest,
            request: request.clone(),
            state: ClaimState::Unknown,
            settled_at: Some(now),
        };
        let ticket = record.ticket.clone();
        let spent = self.remove(scope);
        self.insert(scope, ticket, state, spent);
        true
    }

    fn insert(
        &mut self,
        scope: &ClaimScope,
        ticket: ClaimTicket,
        state: RecordState,
        spent: Vec<ClaimTicket>,
    ) {
        match state.expires_from() {
            Some(since) => {
                self.expiry.insert((since, scope.clone()));
            }
            None => {
                let scopes = self.in_progress.entry(ticket.host.clone()).or_default();
                scopes.insert(scope.clone());
            }
        }
        self.stored_bytes += state.stored_bytes();
        *self.customers.entry(scope.customer.clone()).or_default() += 1;
        let record = ClaimRecord {
            ticket,
            state,
            spent,
        };
        self.records.insert(scope.clone(), record);
    }

    /// Removes a record and returns its spent tickets.
    fn remove(&mut self, scope: &ClaimScope) -> Vec<ClaimTicket> {
        let Some(record) = self.records.remove(scope) else {
            return Vec::new();
        };
        if let Some(since) = record.state.expires_from() {
            self.expiry.remove(&(since, scope.clone()));
        }
        if let Some(scopes) = self.in_progress.get_mut(&record.ticket.host) {
            scopes.remove(scope);
            if scopes.is_empty() {
                self.in_progress.remove(&record.ticket.host);
            }
        }
        self.stored_bytes -= record.state.stored_bytes();
        if let Some(count) = self.customers.get_mut(&scope.customer) {
            *count -= 1;
            if *count == 0 {
                self.customers.remove(&scope.customer);
            }
        }
        record.spent
    }
}
