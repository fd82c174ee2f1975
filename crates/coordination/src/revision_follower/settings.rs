//! Settings of following the configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a host keeps its configuration current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct FollowSettings {
    /// A host refuses new work this long after the last question that was answered.
    pub lease: Duration,
    /// Time between two questions; a quarter of the lease leaves three tries.
    pub period: Duration,
    /// Time for which an answer is waited for before a peer's word leads to another question. Half of
    /// the period: the answer after a change carries its content and takes longer than others.
    pub patience: Duration,
    /// Least time between the questions for two changes. Those that come in quicker succession are taken
    /// together.
    pub spacing: Duration,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            period: Duration::from_millis(700),
            patience: Duration::from_millis(350),
            spacing: Duration::from_millis(300),
        }
    }
}
