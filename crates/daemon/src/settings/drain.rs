//! Times of a planned stop.

use std::time::Duration;

use super::reader::SectionReader;

/// Settings of the graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// Time between turning unready and refusing new work, so that the balancer can look away.
    pub notice: Duration,
    /// Longest time that running requests are waited for; what is cut off then gets an explicit
    /// error and a record in the evidence.
    pub timeout: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(2),
            timeout: Duration::from_secs(600),
        }
    }
}

impl DrainSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let second = Duration::from_secs(1);
        Self {
            notice: section.duration("notice", default.notice, Duration::ZERO..=second * 60),
            timeout: section.duration("timeout", default.timeout, second..=second * 86_400),
        }
    }
}
