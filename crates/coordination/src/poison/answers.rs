//! Requests that were answered in whole a short time ago.

use std::collections::{BTreeMap, VecDeque};

use super::digest::ContentDigest;
use super::settings::PoisonSettings;
use crate::base::MonotonicTime;

/// The latest whole answers at this host.
///
/// Callers may send the same content many times a second, such as a frequent look-up. If all servers of
/// its service end at once, they had that content each; as it has just been answered, it is not the
/// reason.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerTable {
    /// Answers, the oldest first.
    latest: VecDeque<(MonotonicTime, ContentDigest)>,
    /// Answers in `latest` by content.
    counts: BTreeMap<ContentDigest, usize>,
}

impl AnswerTable {
    pub(super) fn contains(&self, digest: ContentDigest) -> bool {
        self.counts.contains_key(&digest)
    }

    /// Adds an answer, and removes the oldest one if there are too many.
    pub(super) fn add(
        &mut self,
        now: MonotonicTime,
        digest: ContentDigest,
        settings: &PoisonSettings,
    ) {
        self.latest.push_back((now, digest));
        *self.counts.entry(digest).or_default() += 1;
        if self.latest.len() > settings.max_answers {
            self.remove_oldest();
        }
    }

    /// Removes what is too old.
    pub(super) fn forget(&mut self, now: MonotonicTime, settings: &PoisonSettings) {
        let is_old = |at: MonotonicTime| now.since(at) >= settings.answer_memory;
        while self.latest.front().is_some_and(|(at, _)| is_old(*at)) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((_, digest)) = self.latest.pop_front() else {
            return;
        };
        if let Some(count) = self.counts.get_mut(&digest) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&digest);
            }
        }
    }
}
