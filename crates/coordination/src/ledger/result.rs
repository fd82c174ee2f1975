//! Events that engines stream back, and the ledger's verdicts on them.

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

/// One generated token: the engines' id of it, which a new attempt replays, and its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GeneratedToken {
    /// Id in the model's vocabulary, as the engine sent it.
    pub id: u64,
    /// Text that the caller sees.
    pub text: TokenText,
}

/// One token as the last stage of a pipeline sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenResult {
    /// Request that the token belongs to.
    pub request: RequestId,
    /// Attempt that made it.
    pub attempt: AttemptNumber,
    /// Position in the answer, from 0.
    pub position: TokenPosition,
    /// Engines that made it, in the order in which they ran.
    pub chain: Vec<ChainLink>,
    /// The token itself.
    pub token: GeneratedToken,
}

/// Last event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalEvent {
    /// Request that ended.
    pub request: RequestId,
    /// Attempt that ended.
    pub attempt: AttemptNumber,
    /// Number of tokens of the whole answer, those of earlier attempts included.
    pub count: u32,
}

/// A token that the caller may see.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedToken {
    /// Position in the answer.
    pub position: TokenPosition,
    /// The token itself.
    pub token: GeneratedToken,
}

/// What the ledger decided about a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TokenVerdict {
    /// The tokens go to the caller now, in this order.
    Release {
        /// At least one token; positions rise by one.
        tokens: Vec<ReleasedToken>,
        /// Whether the answer is complete with them.
        complete: bool,
    },
    /// The result waits for an earlier position.
    Held,
    /// The caller must not see the result.
    Dropped(DropReason),
}

/// What the ledger decided about a final event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinalVerdict {
    /// The caller has seen the whole answer.
    Complete,
    /// Positions from `next` on are still missing; the verdict that releases the last one says so.
    Waiting {
        /// First position that is missing.
        next: TokenPosition,
    },
    /// The event does not end this answer.
    Dropped(DropReason),
}

/// Why an event was dropped.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DropReason {
    /// It belongs to another request.
    #[display("foreign request")]
    ForeignRequest,
    /// It was made by an attempt that a newer one replaced.
    #[display("old attempt")]
    OldAttempt,
    /// It names an attempt that was never started.
    #[display("unknown attempt")]
    UnknownAttempt,
    /// Its position was taken before.
    #[display("duplicate")]
    Duplicate,
    /// Its chain is not whole.
    #[display("chain: {_0}")]
    Chain(ChainError),
    /// Its chain is whole, but not the one that the attempt was started over.
    #[display("off the attempt's route")]
    OffRoute,
    /// It lies too far ahead to be held. The attempt cannot complete without it, so its owner
    /// starts another one.
    #[display("beyond the reorder window")]
    BeyondWindow,
    /// The answer is longer than the settings allow.
    #[display("answer too long")]
    TooLong,
    /// A position or count contradicts the attempt's own final event or tokens; the attempt cannot
    /// be trusted to complete, so its owner starts another one.
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

/// Why an attempt was not started.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptError {
    /// The caller has already seen the whole answer.
    #[display("the answer is complete")]
    Complete,
    /// The number does not outrank the running attempt's.
    #[display("attempt {running} or a newer one is running")]
    NotNewer {
        /// Attempt that stays in force.
        running: AttemptNumber,
    },
    /// The route is not a whole chain in the answer's version.
    #[display("route: {_0}")]
    Route(#[error(not(source))] ChainError),
}
