//! Well-known labels, which configure limits, weights, priorities, deadlines and service states.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::label::{LabelSet, LabelSubject};

/// Prefixes of labels that are derived from facts; operators can't set them.
pub(super) const RESERVED_PREFIXES: [&str; 3] = ["announced/", "customer/", "request/"];
/// Prefixes under which only well-known labels are accepted.
const TYPED_PREFIXES: [&str; 2] = ["limit/", "retry/"];

/// Type of a well-known label's value.
#[derive(Clone, Copy, Debug)]
enum ValueType {
    /// Integer from `min` to `max`, both inclusive.
    Number { min: u64, max: u64 },
    /// One of these words.
    Word(&'static [&'static str]),
}

impl ValueType {
    fn accepts(self, text: &str) -> bool {
        match self {
            Self::Word(words) => words.contains(&text),
            Self::Number { min, max } => text
                .parse::<u64>()
                .is_ok_and(|number| (min..=max).contains(&number)),
        }
    }

    fn expected(self) -> String {
        match self {
            Self::Word(words) => words.join(" or "),
            Self::Number { min, max } => format!("a whole number from {min} to {max}"),
        }
    }
}

struct WellKnownLabel {
    key: &'static str,
    subjects: &'static [LabelSubject],
    value: ValueType,
}

const MAX_COUNT: u64 = 1_000_000;
const MAX_TOKENS: u64 = 1_000_000_000_000;
const MAX_DEADLINE_MS: u64 = 86_400_000;
const SERVER: LabelSubject = LabelSubject::BackendServer;
const CUSTOMER: LabelSubject = LabelSubject::Customer;
const HOST: LabelSubject = LabelSubject::Host;
const REQUEST: LabelSubject = LabelSubject::Request;

const fn number(min: u64, max: u64) -> ValueType {
    ValueType::Number { min, max }
}

/// All well-known labels, alphabetically; `docs/operators/labels-and-selectors.md` describes them.
const WELL_KNOWN_LABELS: [WellKnownLabel; 12] = [
    WellKnownLabel {
        key: "deadline-ms",
        subjects: &[CUSTOMER, REQUEST],
        value: number(1, MAX_DEADLINE_MS),
    },
    WellKnownLabel {
        key: "idempotent",
        subjects: &[REQUEST],
        value: ValueType::Word(&["true", "false"]),
    },
    WellKnownLabel {
        key: "limit/in-flight",
        subjects: &[SERVER, CUSTOMER],
        value: number(0, MAX_COUNT),
    },
    WellKnownLabel {
        key: "limit/kv-tokens",
        subjects: &[SERVER, CUSTOMER],
        value: number(0, MAX_TOKENS),
    },
    WellKnownLabel {
        key: "limit/max-tokens",
        subjects: &[CUSTOMER, REQUEST],
        value: number(1, MAX_COUNT),
    },
    WellKnownLabel {
        key: "limit/queue",
        subjects: &[CUSTOMER],
        value: number(0, MAX_COUNT),
    },
    WellKnownLabel {
        key: "limit/requests-per-second",
        subjects: &[SERVER, CUSTOMER],
        value: number(0, MAX_COUNT),
    },
    WellKnownLabel {
        key: "limit/tokens-per-second",
        subjects: &[SERVER, CUSTOMER],
        value: number(0, MAX_TOKENS),
    },
    WellKnownLabel {
        key: "priority",
        subjects: &[CUSTOMER, REQUEST],
        value: number(0, 100),
    },
    WellKnownLabel {
        key: "retry/budget-percent",
        subjects: &[CUSTOMER],
        value: number(0, 100),
    },
    WellKnownLabel {
        key: "state",
        subjects: &[SERVER, HOST],
        value: ValueType::Word(&["in-service", "out-of-service"]),
    },
    WellKnownLabel {
        key: "weight",
        subjects: &[SERVER, CUSTOMER],
        value: number(1, 1_000),
    },
];

/// Error of an operator's label, and what is accepted instead.
pub(super) struct LabelError {
    pub(super) message: String,
    pub(super) expected: String,
}

/// Checks an operator's label against the reserved prefixes and the well-known labels.
pub(super) fn check_label(subject: LabelSubject, key: &str, value: &str) -> Result<(), LabelError> {
    if let Some(prefix) = RESERVED_PREFIXES.iter().find(|p| key.starts_with(**p)) {
        return Err(LabelError {
            message: format!("label {key} can't be set: {prefix} holds facts"),
            expected: "a key without a reserved prefix".to_owned(),
        });
    }
    let Some(known) = WELL_KNOWN_LABELS.iter().find(|known| known.key == key) else {
        return check_unknown(subject, key);
    };
    if !known.subjects.contains(&subject) {
        let subjects: Vec<String> = known.subjects.iter().map(ToString::to_string).collect();
        return Err(LabelError {
            message: format!("label {key} has no meaning on a {subject}"),
            expected: format!("{key} on {}", subjects.join(" or ")),
        });
    }
    if !known.value.accepts(value) {
        return Err(LabelError {
            message: format!("label {key} can't be {value}"),
            expected: known.value.expected(),
        });
    }
    Ok(())
}

fn check_unknown(subject: LabelSubject, key: &str) -> Result<(), LabelError> {
    if !TYPED_PREFIXES.iter().any(|prefix| key.starts_with(prefix)) {
        return Ok(());
    }
    let accepted: Vec<&str> = WELL_KNOWN_LABELS
        .iter()
        .filter(|known| known.subjects.contains(&subject) && known.key.contains('/'))
        .map(|known| known.key)
        .collect();
    Err(LabelError {
        message: format!("there is no label {key}"),
        expected: accepted.join(", "),
    })
}

/// Whether a host or backend server accepts new work.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceState {
    /// It accepts new work.
    #[default]
    #[display("in-service")]
    InService,
    /// It accepts no new work; running requests may finish.
    #[display("out-of-service")]
    OutOfService,
}

/// Typed values of the well-known labels. For `None`, no label is set and a default applies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LabelSettings {
    /// Maximum time from the arrival of a request to the end of its answer.
    pub deadline: Option<Duration>,
    /// Whether a request may run more than once.
    pub idempotent: Option<bool>,
    /// Maximum number of requests that run concurrently.
    pub in_flight: Option<u64>,
    /// Maximum number of KV cache tokens in use at one time.
    pub kv_tokens: Option<u64>,
    /// Maximum number of tokens that one request may generate.
    pub max_tokens: Option<u64>,
    /// Maximum number of queued requests.
    pub queue: Option<u64>,
    /// Maximum number of requests started per second.
    pub requests_per_second: Option<u64>,
    /// Maximum number of tokens generated per second.
    pub tokens_per_second: Option<u64>,
    /// Priority from 0 to 100; higher priorities run first.
    pub priority: Option<u8>,
    /// Maximum number of retries, as a percentage of first attempts.
    pub retry_budget_percent: Option<u8>,
    /// Whether new work is accepted.
    pub state: ServiceState,
    /// Share of capacity relative to others, from 1 to 1000.
    pub weight: Option<u32>,
}

impl LabelSettings {
    /// Reads the well-known labels of a set; a value of the wrong type counts as unset.
    pub fn of(labels: &LabelSet) -> Self {
        let word = |key: &str| labels.get(key).map(|value| value.as_str());
        let count = |key: &str| word(key).and_then(|text| text.parse::<u64>().ok());
        let small = |key: &str| count(key).and_then(|number| u8::try_from(number).ok());
        let state = match word("state") {
            Some("out-of-service") => ServiceState::OutOfService,
            _ => ServiceState::InService,
        };
        Self {
            deadline: count("deadline-ms").map(Duration::from_millis),
            idempotent: word("idempotent").map(|text| text == "true"),
            in_flight: count("limit/in-flight"),
            kv_tokens: count("limit/kv-tokens"),
            max_tokens: count("limit/max-tokens"),
            queue: count("limit/queue"),
            requests_per_second: count("limit/requests-per-second"),
            tokens_per_second: count("limit/tokens-per-second"),
            priority: small("priority"),
            retry_budget_percent: small("retry/budget-percent"),
            state,
            weight: count("weight").and_then(|number| u32::try_from(number).ok()),
        }
    }

    /// Fills unset values from `general`, except for the state.
    #[must_use]
    pub fn or(self, general: &Self) -> Self {
        Self {
            deadline: self.deadline.or(general.deadline),
            idempotent: self.idempotent.or(general.idempotent),
            in_flight: self.in_flight.or(general.in_flight),
            kv_tokens: self.kv_tokens.or(general.kv_tokens),
            max_tokens: self.max_tokens.or(general.max_tokens),
            queue: self.queue.or(general.queue),
            requests_per_second: self.requests_per_second.or(general.requests_per_second),
            tokens_per_second: self.tokens_per_second.or(general.tokens_per_second),
            priority: self.priority.or(general.priority),
            retry_budget_percent: self.retry_budget_percent.or(general.retry_budget_percent),
            state: self.state,
            weight: self.weight.or(general.weight),
        }
    }
}
