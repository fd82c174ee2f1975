//! Rank of a request among the waiting ones.

use super::offer::RequestPriority;

/// Number of ranks; tables by rank are indexed by `rank as usize`.
pub(super) const RANKS: usize = 4;

/// Order in which requests start: by their priority, and surplus requests after all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AdmissionRank {
    /// More than its customer usually sends, or more returning callers than capacity is kept for.
    Surplus,
    Batch,
    Normal,
    Urgent,
}

impl AdmissionRank {
    /// All ranks, highest first.
    pub(super) const DESCENDING: [Self; RANKS] =
        [Self::Urgent, Self::Normal, Self::Batch, Self::Surplus];

    /// Ranks whose requests start before those of this one.
    pub(super) fn above(self) -> impl Iterator<Item = Self> {
        let is_above = move |other: &Self| *other > self;
        Self::DESCENDING.into_iter().filter(is_above)
    }
}

impl From<RequestPriority> for AdmissionRank {
    fn from(priority: RequestPriority) -> Self {
        match priority {
            RequestPriority::Urgent => Self::Urgent,
            RequestPriority::Normal => Self::Normal,
            RequestPriority::Batch => Self::Batch,
        }
    }
}

/// Place of a request in the queues.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuePlace {
    pub(super) rank: AdmissionRank,
    /// Whether it starts before others of its customer and rank, and without a reserve.
    pub(super) is_return: bool,
}
