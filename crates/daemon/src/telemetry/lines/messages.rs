//! Limits the lines with the same message, such as one line for each of many requests under one fault.

use std::collections::BTreeMap;

use pollendrift_coordination::base::MonotonicTime;

/// Lines with one message in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct MessageCount {
    second: u64,
    lines: u32,
    /// Lines beyond the limit that no line has told of.
    left_out: u64,
}

/// Counts the lines of each message. Messages are literals in the code, so their number is limited.
#[derive(Debug)]
pub(super) struct MessageBudget {
    max_lines: u32,
    counts: BTreeMap<&'static str, MessageCount>,
    /// Second up to which left out lines were reported.
    reported: u64,
}

impl MessageBudget {
    /// Creates an unused budget of `max_lines` per second and message.
    pub(super) fn new(max_lines: u32) -> Self {
        Self {
            max_lines,
            counts: BTreeMap::new(),
            reported: 0,
        }
    }

    /// Whether a line with `message` may be written at `now`; counts it as left out otherwise.
    pub(super) fn admit(&mut self, now: MonotonicTime, message: &'static str) -> bool {
        let second = second_of(now);
        let count = self.counts.entry(message).or_default();
        if count.second != second {
            (count.second, count.lines) = (second, 0);
        }
        count.lines = count.lines.saturating_add(1);
        let is_admitted = count.lines <= self.max_lines;
        if !is_admitted {
            count.left_out += 1;
        }
        is_admitted
    }

    /// Returns the messages of which lines were left out before the second of `now`, with their number.
    pub(super) fn take_left_out(&mut self, now: MonotonicTime) -> Vec<(&'static str, u64)> {
        let second = second_of(now);
        if self.reported == second {
            return Vec::new();
        }
        self.reported = second;
        let counts = self.counts.iter_mut();
        let left_out = counts.filter(|(_, count)| count.left_out > 0);
        left_out
            .map(|(message, count)| (*message, std::mem::take(&mut count.left_out)))
            .collect()
    }
}

fn second_of(now: MonotonicTime) -> u64 {
    now.as_micros() / 1_000_000
}
