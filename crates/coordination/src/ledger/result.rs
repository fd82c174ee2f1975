//! Events that engines stream back, and the ledger's decisions on them.

use std::sync::Arc;

use derive_more::{AsRef, Display, Error, From};
use serde::{Deserialize, Serialize};

use super::chain::{ChainError, ChainLink};
use crate::base::{AttemptNumber, RequestId, TokenPosition};

/// Text of one generated token.
#[derive(
    Clone, Debug, Display, From, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[from(&str, String, Arc<str>)]
#[as_ref(str)]
pub struct TokenText(Arc<str>);

/// One generated token: its id, which a new attempt replays, and its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GeneratedToken {
    /// Id in the model's vocabulary, as the engine sent it.
    pub id: u64,
    /// Text for the caller.
    pub text: TokenText,
}

/// One token as the last stage of a pipeline sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenResult {
    /// Request that the token belongs to.
    pub request: RequestId,
    /// Number of the attempt that generated the token.
    pub attempt: AttemptNumber,
    /// Position in the answer, from 0.
    pub position: TokenPosition,
    /// Engines that generated the token, in the order in which they ran.
    pub chain: Vec<ChainLink>,
    /// Generated token.
    pub token: GeneratedToken,
}

/// Final event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalEvent {
    /// Request of the attempt.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Number of tokens of the whole answer, including tokens from earlier attempts.
    pub count: u32,
}

/// A token that is released to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedToken {
    /// Position in the answer.
    pub position: TokenPosition,
    /// Generated token.
    pub token: GeneratedToken,
}

/// Decision of the ledger on a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TokenVerdict {
    /// The tokens are released to the caller in this order.
    Release {
        /// At least one token; the positions are consecutive.
        tokens: Vec<ReleasedToken>,
        /// Whether these tokens complete the answer.
        complete: bool,
    },
    /// The result waits for an earlier position.
    Held,
    /// The result is not released to the caller.
    Dropped(DropReason),
}

/// Decision of the ledger on a final event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinalVerdict {
    /// All tokens of the answer are released.
    Complete,
    /// Positions from `next` on are still missing. The [`TokenVerdict::Release`] of the last
    /// position has `complete` set.
    Waiting {
        /// First missing position.
        next: TokenPosition,
    },
    /// The event was ignored.
    Dropped(DropReason),
}

/// Reason why an event was dropped.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DropReason {
    /// The event belongs to another request.
    #[display("foreign request")]
    ForeignRequest,
    /// The event belongs to an attempt that a newer attempt replaced.
    #[display("old attempt")]
    OldAttempt,
    /// The event names an attempt that was never started.
    #[display("unknown attempt")]
    UnknownAttempt,
    /// The position is already released or buffered.
    #[display("duplicate")]
    Duplicate,
    /// The chain is not complete.
    #[display("chain: {_0}")]
    Chain(ChainError),
    /// The chain is complete but differs from the route of the attempt.
    #[display("off the attempt's route")]
    OffRoute,
    /// The position is too far ahead to be buffered. The attempt cannot complete without it, so the
    /// entry starts another attempt.
    #[display("beyond the reorder window")]
    BeyondWindow,
    /// The answer is longer than the settings allow.
    #[display("answer too long")]
    TooLong,
    /// A position or count contradicts the final event or the tokens of the same attempt. The
    /// attempt is not reliable any more, so its owner starts another attempt.
    #[display("count contradicted")]
    CountContradicted,
}

impl DropReason {
    /// Whether the running attempt can no longer complete and must be replaced.
    pub fn ends_attempt(&self) -> bool {
        match self {
            Self::Chain(_)
            | Self::OffRoute
            | Self::BeyondWindow
            | Self::TooLong
            | Self::CountContradicted => true,
            Self::ForeignRequest | Self::OldAttempt | Self::UnknownAttempt | Self::Duplicate => {
                false
            }
        }
    }
}

/// Reason why an attempt was not started.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptError {
    /// All tokens of the answer are already released.
    #[display("the answer is complete")]
    Complete,
    /// The number is not higher than that of the running attempt.
    #[display("attempt {running} or a newer one is running")]
    NotNewer {
        /// Number of the running attempt, which continues.
        running: AttemptNumber,
    },
    /// The route is not a complete chain in the answer's version.
    #[display("route: {_0}")]
    Route(#[error(not(source))] ChainError),
}
