//! Claims: what makes a call that may not be repeated run at most once.
//!
//! [`ClaimTable`] is replicated: an entry takes a claim there before the first byte goes out.
//! [`ClaimedCall`] is the entry's side: what it does next and what the caller is told.

mod call;
mod claim;
mod settings;
mod table;

pub use call::{CallEffect, CallEvent, CallerResponse, ClaimedCall, NotRunReason};
pub use claim::{
    AnswerBody, AnswerHeader, ClaimOutcome, ClaimScope, ClaimState, ClaimTicket, RequestDigest,
    SettleAnswer, SettleClaim, StoredAnswer, TakeAnswer, TakeClaim,
};
pub use settings::ClaimSettings;
pub use table::{ClaimCounts, ClaimTable};
