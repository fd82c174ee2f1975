//! Decides which new connections a host closes unread because it is overloaded.
//!
//! A load balancer may hand the new connections of a whole region to one host. If that host accepted
//! all of them, each would wait for the processor longer than its client does, and none would be
//! served. A connection that is closed before its request is read costs its client one try, and the
//! next one reaches another host.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Settings of a [`ConnectionShedder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShedSettings {
    /// Wait for the processor that is accepted. An answer takes many turns at the processor, each with
    /// such a wait.
    pub target_wait: Duration,
    /// Time over which the shortest wait is taken: a host that is busy for a moment has some short
    /// ones.
    pub window: Duration,
    /// Percentage by which the share of closed connections rises after a window above the target.
    pub rise_percent: u32,
    /// Percentage by which it falls after any other window.
    pub fall_percent: u32,
    /// Greatest share of closed connections, in percent. The others tell whether the overload lasts.
    pub max_percent: u32,
}

impl Default for ShedSettings {
    fn default() -> Self {
        Self {
            target_wait: Duration::from_millis(10),
            window: Duration::from_millis(250),
            rise_percent: 15,
            fall_percent: 5,
            max_percent: 95,
        }
    }
}

/// Chooses the connections of one host that are closed unread.
#[derive(Clone, Debug)]
pub struct ConnectionShedder {
    settings: ShedSettings,
    window_at: MonotonicTime,
    /// Shortest wait in the current window; `None` without a connection.
    shortest_wait: Option<Duration>,
    /// Share of the connections that are closed, in percent.
    shed_percent: u32,
    /// Percent of a connection that is to be closed, summed up since one was.
    due_percent: u32,
}

impl ConnectionShedder {
    /// Creates a shedder for a host without load.
    pub fn new(settings: ShedSettings) -> Self {
        Self {
            settings,
            window_at: MonotonicTime::START,
            shortest_wait: None,
            shed_percent: 0,
            due_percent: 0,
        }
    }

    /// Records how long a connection waited for the processor.
    pub fn record_wait(&mut self, now: MonotonicTime, wait: Duration) {
        self.end_windows(now);
        let shortest = self
            .shortest_wait
            .map_or(wait, |shortest| shortest.min(wait));
        self.shortest_wait = Some(shortest);
    }

    /// Whether to serve a connection that was accepted at `now`; otherwise it is closed unread.
    pub fn may_serve(&mut self, now: MonotonicTime) -> bool {
        self.end_windows(now);
        self.due_percent += self.shed_percent;
        if self.due_percent < 100 {
            return true;
        }
        self.due_percent -= 100;
        false
    }

    fn end_windows(&mut self, now: MonotonicTime) {
        let settings = self.settings;
        while now.since(self.window_at) >= settings.window {
            let shortest = self.shortest_wait.take();
            if shortest.is_some_and(|shortest| shortest > settings.target_wait) {
                let risen = self.shed_percent + settings.rise_percent;
                self.shed_percent = risen.min(settings.max_percent);
            } else if self.shed_percent == 0 {
                // Further windows without load change nothing.
                self.window_at = now;
                return;
            } else {
                self.shed_percent = self.shed_percent.saturating_sub(settings.fall_percent);
            }
            self.window_at = self.window_at.after(settings.window);
        }
    }
}
