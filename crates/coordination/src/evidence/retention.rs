//! Which stored records are old enough to be dropped.

use std::time::Duration;

use super::chain::ChainAnchor;
use crate::base::WallTime;

/// How much a keeper holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// Age after which records are dropped.
    pub max_age: Duration,
    /// Bytes above which the oldest records are dropped.
    pub max_bytes: u64,
}

/// A run of stored records of one chain that can be dropped together, such as one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSpan {
    /// Anchor that its removal leaves: its last record.
    pub anchor: ChainAnchor,
    /// Time of its newest record.
    pub newest: WallTime,
    /// Bytes that it takes.
    pub bytes: u64,
}

/// A span and the newest time of its chain up to its end.
struct AgedSpan<'a> {
    span: &'a StoredSpan,
    newest: WallTime,
    is_last: bool,
}

/// Spans of `spans` that `policy` makes old, oldest first.
///
/// Only the front of a chain is dropped, so that what is left is one stretch that its anchor
/// proves. The last span of a chain is dropped for its age only, not for its bytes: a chain that
/// is still written always has a head.
pub fn spans_to_drop(
    now: WallTime,
    policy: &RetentionPolicy,
    spans: &[StoredSpan],
) -> Vec<StoredSpan> {
    let max_age = u64::try_from(policy.max_age.as_millis()).unwrap_or(u64::MAX);
    let mut bytes: u64 = spans.iter().map(|span| span.bytes).sum();
    let mut dropped = Vec::new();
    for aged in by_age(spans) {
        let old = now.0.saturating_sub(aged.newest.0) > max_age;
        let large = bytes > policy.max_bytes && !aged.is_last;
        if old || large {
            bytes = bytes.saturating_sub(aged.span.bytes);
            dropped.push(aged.span.clone());
        }
    }
    dropped
}

/// The spans, oldest first, each chain in its order.
///
/// A wall clock that went backwards gives a later span an earlier time. Taking that time as it is
/// would drop the later span first and leave a hole; so a span counts as no older than those
/// before it.
fn by_age(spans: &[StoredSpan]) -> Vec<AgedSpan<'_>> {
    let mut order: Vec<_> = spans.iter().collect();
    order.sort_by_key(|span| (&span.anchor.writer, span.anchor.through));
    let mut aged: Vec<AgedSpan<'_>> = Vec::with_capacity(order.len());
    for span in order {
        let same = aged
            .last_mut()
            .filter(|before| before.span.anchor.writer == span.anchor.writer);
        let newest = match same {
            Some(before) => {
                before.is_last = false;
                before.newest.max(span.newest)
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
