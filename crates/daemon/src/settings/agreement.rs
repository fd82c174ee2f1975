//! Settings of the agreement group of keepers.

use std::time::Duration;

use super::parties::BOOLEAN_CHOICES;
use super::reader::SectionReader;

/// Timeouts and batch size of the agreement group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgreementSettings {
    /// Interval between heartbeats of the leader.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a keeper starts an election; a random delay of up to
    /// the same length is added. Invariant: at least three heartbeats.
    pub election_timeout: Duration,
    /// Time after which the outcome of an operator's change that is not committed is reported as
    /// unknown.
    pub commit_timeout: Duration,
    /// Maximum number of log entries in one message or one disk sync.
    pub max_batch_entries: u64,
    /// Whether the keepers of the settings may found a group if none of them belongs to one.
    ///
    /// Needed for the first start only. While it is on, keepers that all lost their data folders
    /// found an empty group without claims, and a resent non-idempotent call runs again.
    pub may_found: bool,
}

impl Default for AgreementSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            commit_timeout: Duration::from_secs(5),
            max_batch_entries: 512,
            may_found: true,
        }
    }
}

impl AgreementSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let millis = Duration::from_millis;
        let settings = Self {
            heartbeat: section.duration("heartbeat", default.heartbeat, millis(5)..=millis(5_000)),
            election_timeout: section.duration(
                "election_timeout",
                default.election_timeout,
                millis(20)..=millis(60_000),
            ),
            commit_timeout: section.duration(
                "commit_timeout",
                default.commit_timeout,
                millis(100)..=millis(60_000),
            ),
            max_batch_entries: section.count(
                "max_batch_entries",
                default.max_batch_entries,
                1..=65_536,
            ),
            may_found: section.choice("may_found", default.may_found, &BOOLEAN_CHOICES),
        };
        if settings.election_timeout < settings.heartbeat * 3 {
            section.error(
                section.place(),
                "`election_timeout` is shorter than three heartbeats, so one late heartbeat starts an election",
                "an `election_timeout` of at least three times `heartbeat`",
            );
        }
        settings
    }
}
