//! Timeouts of the agreement group.

use std::time::Duration;

use super::parties::YES_OR_NO;
use super::reader::SectionReader;

/// Settings of the agreement group of keepers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgreementSettings {
    /// Time between two heartbeats of the leader.
    pub heartbeat: Duration,
    /// Silence after which a keeper asks for an election; a random part of up to the same again is
    /// added. Invariant: at least three heartbeats.
    pub election_timeout: Duration,
    /// Time within which an operator's change is committed or answered as unknown.
    pub commit_timeout: Duration,
    /// Most entries that one message or one sync carries.
    pub max_batch_entries: u64,
    /// Whether the keepers of the settings may found a group together where none of them has one.
    ///
    /// Needed on the first day only. Left on, keepers whose folders were all lost would found an
    /// empty group, which knows no claims, and a booking that was resent would run again.
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
            may_found: section.choice("may_found", default.may_found, &YES_OR_NO),
        };
        if settings.election_timeout < settings.heartbeat * 3 {
            section.error(
                section.place(),
                "`election_timeout` is shorter than three heartbeats, so one late heartbeat deposes the leader",
                "an `election_timeout` of at least three times `heartbeat`",
            );
        }
        settings
    }
}
