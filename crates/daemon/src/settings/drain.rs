//! Settings of a planned stop.

use std::time::Duration;

use super::reader::SectionReader;

/// Times of a planned stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// Time between reporting unready and refusing new requests, so that the load balancer can stop
    /// sending requests to this host.
    pub notice: Duration,
    /// Maximum wait for running requests. Requests that are aborted after it get an explicit error
    /// and a record in the evidence.
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
