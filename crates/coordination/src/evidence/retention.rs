//! Selects the stored records that retention drops.

use std::time::Duration;

use super::chain::ChainAnchor;
use crate::base::WallTime;

/// Limits of the records stored on a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// Age after which records are dropped.
    pub max_age: Duration,
    /// Bytes above which the oldest records are dropped.
    pub max_bytes: u64,
}

/// Consecutive stored records of one chain that are dropped together, such as one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSpan {
    /// Anchor of the chain after removal of the span: its last record.
    pub anchor: ChainAnchor,
    /// Time of the newest record.
    pub newest: WallTime,
    /// Size in bytes.
    pub bytes: u64,
}

/// A span with the newest time of its chain up to its end, and whether it is the last of its chain.
struct AgedSpan<'a> {
    span: &'a StoredSpan,
    newest: WallTime,
    is_last: bool,
}

/// Returns the spans to drop under `policy`, oldest first.
///
/// Only the first spans of a chain are dropped, so that the remaining records are consecutive and
/// their anchor proves them. The last span of a chain is dropped only because of its age, not
/// because of the size limit, so that a chain that is still written always has a head.
pub fn spans_to_drop(
    now: WallTime,
    policy: &RetentionPolicy,
    spans: &[StoredSpan],
) -> Vec<StoredSpan> {
    let max_age = u64::try_from(policy.max_age.as_millis()).unwrap_or(u64::MAX);
    let mut bytes: u64 = spans.iter().map(|span| span.bytes).sum();
    let mut dropped = Vec::new();
    for aged in by_age(spans) {
        let is_too_old = now.0.saturating_sub(aged.newest.0) > max_age;
        let is_over_size = bytes > policy.max_bytes && !aged.is_last;
        if is_too_old || is_over_size {
            bytes = bytes.saturating_sub(aged.span.bytes);
            dropped.push(aged.span.clone());
        }
    }
    dropped
}

/// Sorts the spans by time, oldest first, each chain in its order.
///
/// If the wall clock was set back, a later span of a chain has an earlier time, and sorting by that
/// time would drop the later span first and leave a gap. So each span counts as at least as new as
/// the spans before it.
fn by_age(spans: &[StoredSpan]) -> Vec<AgedSpan<'_>> {
    let mut order: Vec<_> = spans.iter().collect();
    order.sort_by_key(|span| (&span.anchor.writer, span.anchor.through));
    let mut aged: Vec<AgedSpan<'_>> = Vec::with_capacity(order.len());
    for span in order {
        let previous = aged
            .last_mut()
            .filter(|previous| previous.span.anchor.writer == span.anchor.writer);
        let newest = match previous {
            Some(previous) => {
                previous.is_last = false;
                previous.newest.max(span.newest)
            }
            None => span.newest,
        };
        aged.push(AgedSpan {
            span,
            newest,
            is_last: true,
        });
    }
    aged.sort_by_key(|aged| aged.newest);
    aged
}
