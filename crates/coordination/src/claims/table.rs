//! The replicated table of claims.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::claim::{
    ClaimOutcome, ClaimScope, ClaimState, ClaimTicket, RequestDigest, SettleAnswer, SettleClaim,
    StoredAnswer, TakeAnswer, TakeClaim,
};
use super::settings::ClaimSettings;
use crate::base::{CustomerName, HostName, Incarnation, RequestId};
use crate::replicated::ReplicatedTime;

/// Most spent tickets that one key remembers.
const MAX_SPENT_TICKETS: usize = 16;

/// One key's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    ticket: ClaimTicket,
    state: RecordState,
    /// Tickets that gave the key back, at most [`MAX_SPENT_TICKETS`], newest last.
    ///
    /// Failure: an entry gives up on a take that was not answered and tells its caller `not-run`;
    /// the delayed take would then hold the key for nobody. A ticket listed here takes nothing.
    spent: Vec<ClaimTicket>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RecordState {
    /// A call took the key.
    Claimed {
        digest: RequestDigest,
        request: RequestId,
        state: ClaimState,
        settled_at: Option<ReplicatedTime>,
    },
    /// The ticket gave the key back; the record stays for its spent tickets.
    Released { at: ReplicatedTime },
}

/// Number of claims by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCounts {
    /// Calls that may be running.
    pub in_progress: usize,
    /// Calls with a known answer.
    pub finished: usize,
    /// Calls that may have run.
    pub unknown: usize,
    /// Keys that were given back.
    pub released: usize,
    /// Bytes of stored answers.
    pub stored_bytes: usize,
}

/// All claims.
///
/// Invariants: `held` lists exactly the claims in progress by holder; `expiry` lists exactly the
/// others by the time from which their horizon runs; `customers` counts records; a ticket whose
/// incarnation is below that of `hosts` takes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    settings: ClaimSettings,
    records: BTreeMap<ClaimScope, ClaimRecord>,
    held: BTreeMap<HostName, BTreeSet<ClaimScope>>,
    expiry: BTreeSet<(ReplicatedTime, ClaimScope)>,
    customers: BTreeMap<CustomerName, usize>,
    /// Lowest incarnation of each host that may take claims.
    hosts: BTreeMap<HostName, Incarnation>,
    stored_bytes: usize,
}

impl ClaimTable {
    /// An empty table.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes a claim; the same ticket gets the same answer while it holds the claim.
    pub fn take(&mut self, take: &TakeClaim, now: ReplicatedTime) -> TakeAnswer {
        self.expire(now);
        if self.is_replaced(&take.ticket) {
            return TakeAnswer::TicketSpent;
        }
        let known = self.records.get(&take.scope);
        if let Some(answer) = known.and_then(|record| answer_of(record, take)) {
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

    /// Settles a claim. A recorded outcome stays, but for `Unknown`, which its holder may still
    /// replace by what it knows.
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
        let open = match state {
            ClaimState::InProgress => true,
            ClaimState::Unknown => settle.outcome != ClaimOutcome::Unknown,
            ClaimState::Finished(_) => false,
        };
        if !open {
            return SettleAnswer::AlreadySettled;
        }
        let (digest, request) = (*digest, request.clone());
        let mut spent = self.remove(&settle.scope);
        if settle.outcome == ClaimOutcome::NotSent {
            spend(&mut spent, &settle.ticket);
        }
        let state = match &settle.outcome {
            ClaimOutcome::NotSent => RecordState::Released { at: now },
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

    /// The entry's process of this and any earlier incarnation has ended: what it held is unknown
    /// from now on and never runs again. Gives the number of such claims.
    pub fn end_incarnation(
        &mut self,
        host: &HostName,
        ended: Incarnation,
        now: ReplicatedTime,
    ) -> usize {
        let lowest = self.hosts.entry(host.clone()).or_default();
        *lowest = (*lowest).max(ended.next());
        let held = self.held.get(host).cloned().unwrap_or_default();
        let mut count = 0;
        for scope in held {
            count += usize::from(self.forget_holder(&scope, ended, now));
        }
        count
    }

    /// How a key stands, for look-ups; `None` if nothing is known of it.
    pub fn look_up(&self, scope: &ClaimScope) -> Option<(&RequestId, &ClaimState)> {
        match &self.records.get(scope)?.state {
            RecordState::Claimed { request, state, .. } => Some((request, state)),
            RecordState::Released { .. } => None,
        }
    }

    /// Claims that are held, whatever their state.
    pub fn held(&self) -> usize {
        self.records.len()
    }

    /// Counts by state.
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

    /// Drops settled claims whose horizon has passed. A claim in progress never expires: its
    /// holder may still send.
    pub fn expire(&mut self, now: ReplicatedTime) {
        while let Some((since, scope)) = self.expiry.first() {
            if now.since(*since) <= self.settings.horizon {
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

    /// Marks a ticket that gives back a key which another ticket took.
    fn settle_other(&mut self, settle: &SettleClaim) -> SettleAnswer {
        let gives_back = settle.outcome == ClaimOutcome::NotSent;
        match self.records.get_mut(&settle.scope) {
            Some(record) if gives_back => {
                spend(&mut record.spent, &settle.ticket);
                SettleAnswer::Settled
            }
            _ => SettleAnswer::NotHeld,
        }
    }

    /// Marks a ticket that gives back a key whose take has not arrived.
    fn settle_absent(&mut self, settle: &SettleClaim, now: ReplicatedTime) -> SettleAnswer {
        let marks = settle.outcome == ClaimOutcome::NotSent
            && !self.is_replaced(&settle.ticket)
            && !self.is_full(&settle.scope.customer);
        if !marks {
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
        let room = settings.max_stored_bytes.saturating_sub(self.stored_bytes);
        let max_headers = settings.max_header_bytes.min(room);
        let answer = answer.clone().bounded(settings.max_body_bytes, max_headers);
        if answer.stored_bytes() > room {
            return ClaimState::Finished(answer.without_body());
        }
        ClaimState::Finished(answer)
    }

    fn forget_holder(
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
                let held = self.held.entry(ticket.host.clone()).or_default();
                held.insert(scope.clone());
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

    /// Removes a record and gives its spent tickets.
    fn remove(&mut self, scope: &ClaimScope) -> Vec<ClaimTicket> {
        let Some(record) = self.records.remove(scope) else {
            return Vec::new();
        };
        if let Some(since) = record.state.expires_from() {
            self.expiry.remove(&(since, scope.clone()));
        }
        if let Some(held) = self.held.get_mut(&record.ticket.host) {
            held.remove(scope);
            if held.is_empty() {
                self.held.remove(&record.ticket.host);
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

impl RecordState {
    fn expires_from(&self) -> Option<ReplicatedTime> {
        match self {
            Self::Claimed { settled_at, .. } => *settled_at,
            Self::Released { at } => Some(*at),
        }
    }

    fn stored_bytes(&self) -> usize {
        match self {
            Self::Claimed {
                state: ClaimState::Finished(answer),
                ..
            } => StoredAnswer::stored_bytes(answer),
            _ => 0,
        }
    }
}

fn spend(spent: &mut Vec<ClaimTicket>, ticket: &ClaimTicket) {
    if spent.contains(ticket) {
        return;
    }
    spent.push(ticket.clone());
    let surplus = spent.len().saturating_sub(MAX_SPENT_TICKETS);
    spent.drain(..surplus);
}

/// What an existing record answers to a take; `None` if the key is free for it.
fn answer_of(record: &ClaimRecord, take: &TakeClaim) -> Option<TakeAnswer> {
    if record.spent.contains(&take.ticket) {
        return Some(TakeAnswer::TicketSpent);
    }
    let RecordState::Claimed {
        digest,
        request,
        state,
        ..
    } = &record.state
    else {
        return None;
    };
    if *digest != take.digest {
        let request = request.clone();
        return Some(TakeAnswer::BodyDiffers { request });
    }
    if record.ticket == take.ticket && *state == ClaimState::InProgress {
        return Some(TakeAnswer::Taken);
    }
    Some(TakeAnswer::AlreadyTaken {
        request: request.clone(),
        state: state.clone(),
    })
}
