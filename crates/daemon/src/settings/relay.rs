//! Settings of the relay: serving by published routes in the dialect of a platform.

use std::time::Duration;

use super::parties::BOOLEAN_CHOICES;
use super::reader::SectionReader;

/// How drafts of a service whose drafts have different priorities are admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    /// In the order of their priorities, within this host's share of the engines' memory.
    #[default]
    ByPriority,
    /// Like the drafts of other services: all are sent to engines at once.
    Off,
}

/// Names of the admission modes in the settings.
const ADMISSION_MODES: [(&str, AdmissionMode); 2] = [
    ("by-priority", AdmissionMode::ByPriority),
    ("off", AdmissionMode::Off),
];

/// Switch, timeouts and retry budget of the relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Whether callers, operators and backend servers use the dialect of the platform.
    pub enabled: bool,
    /// Time after the acknowledgement of a change within which it comes into force. A host that may
    /// have missed changes for longer does not report any route or key as unknown.
    pub change_within: Duration,
    /// Time after the acknowledgement of a change after which keys that it revoked are no longer
    /// served.
    pub revoke_within: Duration,
    /// Retries that all hosts together may send, as a fraction of first attempts.
    pub retry_ratio: f64,
    /// Additional retries that all hosts together may send in `retry_window`.
    pub retry_slack: u64,
    /// Time window of the retry budget.
    pub retry_window: Duration,
    /// Time without output of a stage of a pipeline after which the backend server of that
    /// stage aborts the request.
    pub stall: Duration,
    /// Admission of drafts of services whose drafts have different priorities.
    pub admission: AdmissionMode,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            enabled: false,
            change_within: Duration::from_secs(2),
            revoke_within: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_slack: 100,
            retry_window: Duration::from_secs(10),
            stall: Duration::from_secs(2),
            admission: AdmissionMode::default(),
        }
    }
}

impl RelaySettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let times = Duration::from_millis(100)..=Duration::from_secs(600);
        Self {
            enabled: section.choice("enabled", default.enabled, &BOOLEAN_CHOICES),
            change_within: section.duration("change_within", default.change_within, times.clone()),
            revoke_within: section.duration("revoke_within", default.revoke_within, times.clone()),
            retry_ratio: section.fraction("retry_ratio", default.retry_ratio),
            retry_slack: section.upper_bound("retry_slack", default.retry_slack, 0..=1_000_000),
            retry_window: section.duration("retry_window", default.retry_window, times.clone()),
            stall: section.duration("stall", default.stall, times),
            admission: section.choice("admission", default.admission, &ADMISSION_MODES),
        }
    }
}
