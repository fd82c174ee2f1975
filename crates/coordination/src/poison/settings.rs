//! Settings of the table of requests that end their servers.

use std::time::Duration;

/// Settings of a [`super::PoisonTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct PoisonSettings {
    /// Whether this process sends requests to servers. One that does not only stores what others tell and
    /// passes it on: it decides on no request.
    pub sends_requests: bool,
    /// Sends of one request under which servers may end.
    pub max_ends: u32,
    /// Chance, from 0 to 1, up to which the ends of its servers are not taken for a coincidence while
    /// others end beside them.
    pub max_chance: f64,
    /// Sends under which servers ended after which a request is stopped though as many others ended beside
    /// it.
    pub max_excused_ends: u32,
    /// Servers that end within this time may have a common reason other than a request.
    pub common_reason_time: Duration,
    /// Time after the end of a send during which the end of its server still counts as under it: hosts
    /// notice the end of a server one after the other.
    pub notice_time: Duration,
    /// Time within which two sends at different hosts may begin without knowing of each other.
    pub trial_settle: Duration,
    /// Longest time for which the send of another host counts as under way.
    pub trial_timeout: Duration,
    /// Time for which a request with a whole answer is not held responsible for ends of servers.
    pub answer_memory: Duration,
    /// Time after which the end of a server is forgotten.
    pub memory: Duration,
    /// Time for which a request stays stopped.
    pub stop_time: Duration,
    /// Maximum number of whole answers that are remembered.
    pub max_answers: usize,
    /// Maximum number of servers that become silent within `common_reason_time` and are recorded. Beyond it
    /// the links of a host are at fault rather than a request; the probes of the keepers tell.
    pub max_silent: usize,
    /// Maximum number of requests on servers that ended, and of sends, in one notice.
    pub max_noted: usize,
    /// Maximum number of stored ends of servers.
    pub max_losses: usize,
    /// Maximum number of requests stored for the end of one server.
    pub max_requests: usize,
    /// Maximum number of stopped requests, and of answered ones that are remembered.
    pub max_stopped: usize,
    /// Maximum number of sends of other hosts that count as under way.
    pub max_trials: usize,
}

impl Default for PoisonSettings {
    fn default() -> Self {
        Self {
            sends_requests: true,
            max_ends: 3,
            max_chance: 0.02,
            max_excused_ends: 5,
            common_reason_time: Duration::from_millis(1_500),
            notice_time: Duration::from_secs(1),
            trial_settle: Duration::from_millis(100),
            trial_timeout: Duration::from_secs(25),
            answer_memory: Duration::from_secs(60),
            memory: Duration::from_secs(600),
            stop_time: Duration::from_secs(3_600),
            max_answers: 1_024,
            max_silent: 4,
            max_noted: 256,
            max_losses: 128,
            max_requests: 128,
            max_stopped: 1_024,
            max_trials: 1_024,
        }
    }
}
