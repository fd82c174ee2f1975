//! Records of the claim table.

use serde::{Deserialize, Serialize};

use super::claim::{ClaimState, ClaimTicket, RequestDigest, StoredAnswer, TakeAnswer, TakeClaim};
use crate::base::RequestId;
use crate::replicated::ReplicatedTime;

/// Limit of released tickets recorded per key.
const MAX_SPENT_TICKETS: usize = 16;

/// Claim state of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    pub(super) ticket: ClaimTicket,
    pub(super) state: RecordState,
    /// Tickets that released the key, at most [`MAX_SPENT_TICKETS`], newest last. Takes with these
    /// tickets are refused.
    ///
    /// An entry that gives up on an unanswered take reports `not-run` to its caller. Without this
    /// list, a delayed take would then claim the key although no entry sends the call.
    pub(super) spent: Vec<ClaimTicket>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum RecordState {
    /// A call claimed the key.
    Claimed {
        digest: RequestDigest,
        request: RequestId,
        state: ClaimState,
        settled_at: Option<ReplicatedTime>,
    },
    /// The ticket released the key; the record is kept for its spent tickets.
    Released { at: ReplicatedTime },
}

impl RecordState {
    pub(super) fn expires_from(&self) -> Option<ReplicatedTime> {
        match self {
            Self::Claimed { settled_at, .. } => *settled_at,
            Self::Released { at } => Some(*at),
        }
    }

    pub(super) fn stored_bytes(&self) -> usize {
        match self {
            Self::Claimed {
                state: ClaimState::Finished(answer),
                ..
            } => StoredAnswer::stored_bytes(answer),
            _ => 0,
        }
    }
}

pub(super) fn record_spent(spent: &mut Vec<ClaimTicket>, ticket: &ClaimTicket) {
    if spent.contains(ticket) {
        return;
    }
    spent.push(ticket.clone());
    let surplus = spent.len().saturating_sub(MAX_SPENT_TICKETS);
    spent.drain(..surplus);
}

/// Returns the answer of an existing record to a take; `None` if the key is free.
pub(super) fn existing_answer(record: &ClaimRecord, take: &TakeClaim) -> Option<TakeAnswer> {
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
