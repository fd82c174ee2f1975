//! Counters and positions as newtypes.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Defines a newtype over an unsigned integer for a counter or a position.
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
            /// Returns the following number; saturates at the maximum.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }
    };
}

pub(crate) use number_type;

number_type!(
    /// Number of an attempt to answer a request, from 1; results of older attempts are dropped.
    AttemptNumber(u32)
);
number_type!(
    /// Fencing number of an order to a backend server. A server that checks fencing numbers refuses
    /// an order with a lower number than the highest it has received.
    FencingNumber(u64)
);
number_type!(
    /// Incarnation of a process or disk; each restart takes a higher number.
    Incarnation(u64)
);
number_type!(
    /// Number under which a host waits for the confirmation of what it sent, unique in its process.
    ReceiptNumber(u64)
);
number_type!(
    /// Number of an accepted configuration; increases by one with every accepted change.
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
/// Invariant: `first < end` for every range created by [`LayerRange::new`].
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
    /// Creates a range of at least one layer; `None` if `first >= end`.
    pub fn new(first: u32, end: u32) -> Option<Self> {
        (first < end).then_some(Self { first, end })
    }

    /// Number of layers in the range.
    pub fn len(self) -> u32 {
        self.end.saturating_sub(self.first)
    }

    /// Whether the range contains no layer; false for every range created by [`LayerRange::new`].
    pub fn is_empty(self) -> bool {
        self.first >= self.end
    }

    /// Whether this range contains all layers of `other`.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.end <= self.end
    }
}
