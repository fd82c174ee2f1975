//! Settings of the quarantine.

use std::time::Duration;

/// Settings of a [`super::QuarantineTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Time after the first event of an answer from which its parts need not be kept together. It does
    /// not prove them sound, since a crash may come at any event of an answer.
    pub begun_time: Duration,
    /// Time for which an answer proves the parts of its request.
    pub proof_memory: Duration,
    /// Requests that were sent within this time after a crash belong to its round: their hosts did not
    /// know of it, and many engines may crash for one reason.
    pub round_gap: Duration,
    /// Time for which requests with a part are held back after its last crash, by the number of its
    /// rounds. After more rounds they are held back until the crashes are forgotten.
    pub holds: [Duration; 3],
    /// Crashes after which a part is not tested any more, with more than two rounds, or with more than
    /// one if crashes of a round were apart by `cut_gap`. Otherwise two are not enough: many engines may
    /// die at one moment under answers to a sound part, and another one under its test.
    pub untested_crashes: u32,
    /// Time after which a single round is forgotten.
    pub suspicion: Duration,
    /// Time after which a crash is forgotten.
    pub retention: Duration,
    /// Time for which the result of a test is awaited under a part with one round. After it, requests
    /// with the part are sent: a sound part with long answers is not refused until the first has ended.
    pub test_timeout: Duration,
    /// Longest time for which the result of a test is awaited under other parts: that of the longest
    /// answer for which callers wait.
    pub long_test_timeout: Duration,
    /// Time between two crashes from which they have no common reason in the engines. Answers that run
    /// under a part that is the only suspect of such crashes are cut.
    pub cut_gap: Duration,
    /// Additional time for which a request with several suspected parts is held back, so that they
    /// are tested one by one if possible.
    pub ambiguous_wait: Duration,
    /// Time between the tests of two parts: until a crashed engine's layers are loaded elsewhere.
    pub test_gap: Duration,
    /// Hosts begin a test at different times, spread over this time for each host, so that two of
    /// them rarely begin one before they know of each other's.
    pub test_spread: Duration,
    /// Longest time over which they are spread: with 63 hosts, one that gets the draft of a rare sound
    /// part would otherwise refuse it for 6 s more.
    pub max_test_spread: Duration,
    /// Greatest share of a host's requests with an unproven part at which such requests are kept
    /// together. Above it, as after a start, nearly all requests would be, wherever there is room.
    pub max_unproven_share: f64,
    /// Requests over which that share is smoothed.
    pub share_smoothing: f64,
    /// Maximum number of stored crashes.
    pub max_crashes: usize,
    /// Maximum number of suspected parts of one crash.
    pub max_suspects: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            begun_time: Duration::from_millis(250),
            proof_memory: Duration::from_secs(300),
            round_gap: Duration::from_secs(2),
            holds: [
                Duration::from_secs(5),
                Duration::from_secs(30),
                Duration::from_secs(300),
            ],
            untested_crashes: 5,
            suspicion: Duration::from_secs(600),
            retention: Duration::from_secs(86_400),
            test_timeout: Duration::from_secs(3),
            long_test_timeout: Duration::from_secs(20),
            cut_gap: Duration::from_millis(500),
            ambiguous_wait: Duration::from_secs(2),
            test_gap: Duration::from_millis(1_500),
            test_spread: Duration::from_millis(100),
            max_test_spread: Duration::from_secs(2),
            max_unproven_share: 0.25,
            share_smoothing: 32.0,
            max_crashes: 64,
            max_suspects: 32,
        }
    }
}
