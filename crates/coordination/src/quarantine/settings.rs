//! Settings of the quarantine.

use std::time::Duration;

/// Settings of a [`super::QuarantineTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Time after the first event of an answer from which its parts are proven sound. An engine that
    /// a part crashes may still send a few events.
    pub proof_time: Duration,
    /// Time for which an answer proves the parts of its request.
    pub proof_memory: Duration,
    /// Crashes within this time count as one round: many engines may crash for one reason, and hosts
    /// notice it one after the other.
    pub round_gap: Duration,
    /// Time for which requests with a part are held back after its last crash, by the number of its
    /// rounds. After more rounds they are held back until the crashes are forgotten.
    pub holds: [Duration; 3],
    /// Crashes after which a part with more than one round is not tested any more.
    pub untested_crashes: u32,
    /// Time after which a single round is forgotten.
    pub suspicion: Duration,
    /// Time after which a crash is forgotten.
    pub retention: Duration,
    /// Longest time for which the result of a test is awaited.
    pub test_timeout: Duration,
    /// Time after its last late crash from which a part with few of them is no longer held back. A rare
    /// part may have no test until then, and a test may last as long as an answer.
    pub late_release: Duration,
    /// Least time between two rounds of late crashes. Engines that crash for one reason are noticed
    /// one after the other, with answers that were sent in between.
    pub late_round_gap: Duration,
    /// Crashes of engines within this time may have a common reason other than a part.
    pub common_reason_time: Duration,
    /// Broken answers without a whole one from which a suspected part is not tested before the second of
    /// `holds`. A rare sound part has one or two on engines that crash.
    pub frequent_answers: u32,
    /// Time between the tests of two parts that are suspected of late crashes: until a crashed engine's
    /// layers are loaded elsewhere.
    pub late_test_gap: Duration,
    /// Longest time for which the whole answer to a test is awaited under a part that is certain to
    /// crash engines late: that of the longest answer for which callers wait.
    pub late_test_timeout: Duration,
    /// Time for each host over which tests of late crashes are spread. An engine crashes long after a
    /// test began, so that a second one costs another engine.
    pub late_test_spread: Duration,
    /// Longest time over which they are spread.
    pub max_late_spread: Duration,
    /// Maximum number of parts of one crash whose answers are recorded.
    pub max_late_suspects: usize,
    /// Additional time for which a request with several suspected parts is held back, so that they
    /// are tested one by one if possible.
    pub ambiguous_wait: Duration,
    /// Hosts begin a test at different times, spread over this time for each host, so that two of
    /// them rarely begin one before they know of each other's.
    pub test_spread: Duration,
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
            proof_time: Duration::from_millis(250),
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
            late_release: Duration::from_secs(9),
            late_round_gap: Duration::from_millis(250),
            common_reason_time: Duration::from_millis(500),
            frequent_answers: 8,
            late_test_gap: Duration::from_millis(1_500),
            late_test_timeout: Duration::from_secs(20),
            late_test_spread: Duration::from_millis(300),
            max_late_spread: Duration::from_secs(3),
            max_late_suspects: 64,
            ambiguous_wait: Duration::from_secs(2),
            test_spread: Duration::from_millis(100),
            max_unproven_share: 0.25,
            share_smoothing: 32.0,
            max_crashes: 64,
            max_suspects: 16,
        }
    }
}
