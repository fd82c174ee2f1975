//! Counters and positions as newtypes.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Makes a newtype over an unsigned integer that counts or positions something.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, derive_more::Display, derive_more::From, PartialEq, Eq,
            PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The number that follows this one; stays at the maximum instead of wrapping.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }
    };
}

pub(crate) use number_type;

number_type!(
    /// Number of one attempt at a request, from 1; results of older attempts are dropped.
    AttemptNumber(u32)
);
number_type!(
    /// Fencing number on an order to a backend server; a higher one outranks a lower one.
    FencingNumber(u64)
);
number_type!(
    /// Life of a process or disk; a restart takes a higher one.
    Incarnation(u64)
);
number_type!(
    /// Number of an accepted configuration; rises by one with every accepted change.
    Revision(u64)
);
number_type!(
    /// Number of a message within one incarnation of its sender.
    SequenceNumber(u64)
);
number_type!(
    /// Position of a generated token in its answer, from 0.
    TokenPosition(u32)
);

/// Half-open range of model layers `first..end`.
///
/// Invariant: `first < end` for every range that [`LayerRange::new`] made.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{first}..{end}")]
pub struct LayerRange {
    /// First layer of the range.
    pub first: u32,
    /// Layer after the last one of the range.
    pub end: u32,
}

impl LayerRange {
    /// A range of at least one layer, or `None` if it would be empty.
    pub fn new(first: u32, end: u32) -> Option<Self> {
        (first < end).then_some(Self { first, end })
    }

    /// Number of layers in the range.
    pub fn len(self) -> u32 {
        self.end.saturating_sub(self.first)
    }

    /// Whether the range holds no layer; false for every range made by [`LayerRange::new`].
    pub fn is_empty(self) -> bool {
        self.first >= self.end
    }

    /// Whether all layers of `other` lie in this range.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.end <= self.end
    }
}
