//! Settings of a revision follower.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Timing of the questions by which a host keeps its configuration current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct FollowSettings {
    /// Time after the latest answered question at which a host refuses new work.
    pub lease: Duration,
    /// Time between two questions. A quarter of the lease leaves three attempts.
    pub period: Duration,
    /// Time to wait for an answer before a revision reported by a peer triggers another question.
    /// Half of the period, because an answer after a change includes its content and takes longer
    /// than other answers.
    #[serde(rename = "patience")]
    pub answer_timeout: Duration,
    /// Time for which a large content is fetched from one keeper only. Half of the lease leaves time for
    /// another keeper.
    pub fetch_timeout: Duration,
    /// Minimum time between the questions for two changes. Changes in quicker succession are
    /// fetched together.
    pub spacing: Duration,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            period: Duration::from_millis(700),
            answer_timeout: Duration::from_millis(350),
            fetch_timeout: Duration::from_millis(1_500),
            spacing: Duration::from_millis(300),
        }
    }
}
