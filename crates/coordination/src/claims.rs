//! Claims, which make a non-idempotent call run at most once.
//!
//! An entry takes a claim in the replicated [`ClaimTable`] before it sends the first byte of a
//! call. [`ClaimedCall`] is the state machine of one call at its entry: it decides the entry's next
//! step and the response to the caller.

mod call;
mod claim;
mod record;
mod settings;
mod table;

pub use call::{CallEffect, CallEvent, CallerResponse, ClaimedCall, NotRunReason};
pub use claim::{
    AnswerBody, AnswerHeader, ClaimOutcome, ClaimScope, ClaimState, ClaimTicket, KnownClaim,
    RequestDigest, SettleAnswer, SettleClaim, StoredAnswer, TakeAnswer, TakeClaim,
};
pub use settings::ClaimSettings;
pub use table::{ClaimCounts, ClaimTable};
