//! Settings of the admission of requests on one entry.

use std::time::Duration;

use super::reader::SectionReader;

/// Limits of admission. Limits per customer are labels, not settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum number of requests that run concurrently on this entry.
    pub max_running: u64,
    /// Maximum number of queued requests; further ones are refused as not run.
    pub max_queued: u64,
    /// Maximum time in the queue.
    pub max_queue_wait: Duration,
    /// Deadline of a request that does not set one.
    pub default_deadline: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_running: 2_048,
            max_queued: 1_024,
            max_queue_wait: Duration::from_secs(10),
            default_deadline: Duration::from_secs(120),
        }
    }
}

impl LimitSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let times = Duration::from_millis(1)..=Duration::from_secs(86_400);
        Self {
            max_running: section.count("max_running", default.max_running, 1..=1_000_000),
            max_queued: section.count("max_queued", default.max_queued, 0..=1_000_000),
            max_queue_wait: section.duration(
                "max_queue_wait",
                default.max_queue_wait,
                times.clone(),
            ),
            default_deadline: section.duration("default_deadline", default.default_deadline, times),
        }
    }
}
