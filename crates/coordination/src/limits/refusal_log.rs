//! Last refusals for lack of capacity, to explain the decision about one request.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::host_capacity::CapacityInputs;
use super::offer::{AdmissionRefusal, RequestPriority};
use crate::base::{CustomerName, HostName, MonotonicTime, RequestId, ServiceName};

/// Settings of [`RefusalLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RefusalLogSettings {
    /// Records kept; a further one replaces the oldest.
    pub max_records: usize,
    /// Time for which a record is kept.
    pub lifetime: Duration,
}

impl Default for RefusalLogSettings {
    fn default() -> Self {
        Self {
            max_records: 512,
            lifetime: Duration::from_secs(60),
        }
    }
}

/// Reason why a request was refused for lack of capacity.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CapacityRefusal {
    /// The request was not admitted.
    #[display("{reason}")]
    NotAdmitted {
        /// Why.
        reason: AdmissionRefusal,
        /// Whether its caller was refused before and came back.
        is_return: bool,
    },
    /// The request was admitted, and then no server took it.
    #[display("admitted, but no engine took it")]
    NoServer,
}

impl CapacityRefusal {
    /// Whether the caller was refused before and came back; `None` if the request was admitted.
    pub fn is_return(self) -> Option<bool> {
        match self {
            Self::NotAdmitted { is_return, .. } => Some(is_return),
            Self::NoServer => None,
        }
    }
}

/// A refusal for lack of capacity, with the figures that it was decided by.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RefusalRecord {
    /// Identity of the request, as its caller states it.
    pub request: RequestId,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Customer that sent it; `None` if keys are not checked.
    pub customer: Option<CustomerName>,
    /// Its priority.
    pub priority: RequestPriority,
    /// KV memory that the request needs, in tokens.
    pub tokens: u64,
    /// Why it was refused.
    pub reason: CapacityRefusal,
    /// Time of the refusal.
    pub refused_at: MonotonicTime,
    /// Time from the arrival to the refusal.
    pub waited: Duration,
    /// Time after which the caller was told to come back.
    pub retry_after: Duration,
    /// KV memory that the admitted requests of the host might hold, in tokens; `None` if it was not
    /// limited.
    pub capacity_tokens: Option<u64>,
    /// KV memory that they held, in tokens.
    pub held_tokens: u64,
    /// Measurement that the capacity was computed from; `None` before the first one.
    pub inputs: Option<CapacityInputs>,
}

/// A [`RefusalRecord`] as operators see it, with ages in place of the host's own times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusalView {
    /// Identity of the request.
    pub request: RequestId,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Customer that sent it; `None` if keys are not checked.
    pub customer: Option<CustomerName>,
    /// Its priority.
    pub priority: RequestPriority,
    /// Whether its caller was refused before and came back; `None` if the request was admitted.
    pub is_return: Option<bool>,
    /// KV memory that the request needs, in tokens.
    pub tokens: u64,
    /// Why it was refused.
    pub reason: String,
    /// Time since the refusal.
    pub refused_ms_ago: u64,
    /// Time from the arrival to the refusal.
    pub waited_ms: u64,
    /// Time after which the caller was told to come back.
    pub retry_after_ms: u64,
    /// KV memory that the admitted requests of the host might hold, in tokens; `None` if it was not
    /// limited.
    pub capacity_tokens: Option<u64>,
    /// KV memory that they held, in tokens.
    pub held_tokens: u64,
    /// Measurement that the capacity was computed from; `None` before the first one.
    pub inputs: Option<RefusalInputs>,
}

/// Measurement that a capacity was computed from.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusalInputs {
    /// KV memory of the engines that drafts may hold, in tokens.
    pub total_tokens: u64,
    /// Free part of it; negative if drafts held too much.
    pub free_tokens: i64,
    /// Share of the host in the demand of all hosts.
    pub share: f64,
    /// Age of the measurement at the refusal.
    pub age_ms: u64,
}

/// What one host knows of a refused request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRefusals {
    /// The host.
    pub host: HostName,
    /// Its refusals of the request, oldest first.
    pub refusals: Vec<RefusalView>,
    /// Why the host gave no answer; `None` if it answered.
    pub failure: Option<String>,
}

/// What all hosts know of a refused request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusalAnswer {
    /// The hosts that were asked, by name.
    pub hosts: Vec<HostRefusals>,
    /// Whether these are all hosts: keepers know all hosts, and other hosts may know only keepers.
    pub is_complete: bool,
}

/// The last refusals of one host, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RefusalLog {
    settings: RefusalLogSettings,
    records: VecDeque<RefusalRecord>,
}

impl RefusalLog {
    /// Creates a log without records.
    pub fn new(settings: RefusalLogSettings) -> Self {
        Self {
            settings,
            records: VecDeque::new(),
        }
    }

    /// Adds a refusal. Drops the oldest ones if there are too many.
    pub fn record(&mut self, record: RefusalRecord) {
        self.expire(record.refused_at);
        while self.records.len() >= self.settings.max_records.max(1) {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Returns the refusals of a request, oldest first. Callers may send several requests with the
    /// same id, such as the first attempt and a return.
    pub fn find(&mut self, now: MonotonicTime, request: &RequestId) -> Vec<RefusalView> {
        self.expire(now);
        let found = self
            .records
            .iter()
            .filter(|record| record.request == *request);
        found.map(|record| record.view(now)).collect()
    }

    /// Drops the records that are older than their lifetime.
    pub fn expire(&mut self, now: MonotonicTime) {
        let is_old = |record: &RefusalRecord| now.since(record.refused_at) > self.settings.lifetime;
        while self.records.front().is_some_and(is_old) {
            self.records.pop_front();
        }
    }
}

impl RefusalRecord {
    fn view(&self, now: MonotonicTime) -> RefusalView {
        let inputs = self.inputs.map(|inputs| RefusalInputs {
            total_tokens: inputs.total,
            free_tokens: inputs.free,
            share: inputs.share,
            age_ms: millis(self.refused_at.since(inputs.measured_at)),
        });
        RefusalView {
            request: self.request.clone(),
            service: self.service.clone(),
            customer: self.customer.clone(),
            priority: self.priority,
            is_return: self.reason.is_return(),
            tokens: self.tokens,
            reason: self.reason.to_string(),
            refused_ms_ago: millis(now.since(self.refused_at)),
            waited_ms: millis(self.waited),
            retry_after_ms: millis(self.retry_after),
            capacity_tokens: self.capacity_tokens,
            held_tokens: self.held_tokens,
            inputs,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
