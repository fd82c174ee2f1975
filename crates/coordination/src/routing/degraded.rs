//! Delay statistics of streams that this host sent to other data centres.
//!
//! A degraded link between two data centres loses packets or provides only part of its rate, while
//! the engines on both sides are healthy and report normal load. First events arrive in time, but
//! the intervals between later events exceed their limit. Only the streams of a host show this, so
//! each host counts them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{DataCentreName, MonotonicTime};

/// Penalties for data centres whose streams are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DegradedSettings {
    /// Penalty that always applies to the predicted time of the first event in another data centre.
    /// It is higher than the added latency (1 ms), so that entries with the same outdated load
    /// report do not all send to the same data centre.
    pub usual_penalty: Duration,
    /// Additional penalty if every stream was late. It is longer than any wait for capacity in the
    /// local data centre.
    pub late_penalty: Duration,
    /// Time in which the weight of an observation halves.
    pub half_life: Duration,
    /// Number of on-time streams assumed before the first observation.
    pub prior_streams: u32,
}

impl Default for DegradedSettings {
    fn default() -> Self {
        Self {
            usual_penalty: Duration::from_millis(120),
            late_penalty: Duration::from_secs(4),
            half_life: Duration::from_secs(3),
            prior_streams: 3,
        }
    }
}

/// Stream counts of one data centre; both decay at the same rate.
#[derive(Clone, Copy, Debug, Default)]
struct CentreRecord {
    started: f64,
    late: f64,
    counted_at: MonotonicTime,
}

/// Stream counts of one host, by data centre.
#[derive(Clone, Debug, Default)]
pub struct DegradedLinks {
    settings: DegradedSettings,
    centres: BTreeMap<DataCentreName, CentreRecord>,
}

impl DegradedLinks {
    /// Creates an instance without observations.
    pub fn new(settings: DegradedSettings) -> Self {
        Self {
            settings,
            centres: BTreeMap::new(),
        }
    }

    /// Records the start of a stream to `centre`.
    pub fn started(&mut self, now: MonotonicTime, centre: &DataCentreName) {
        self.record(now, centre).started += 1.0;
    }

    /// Records the first interval of a stream to `centre` that exceeded its limit. Call it at
    /// most once per stream.
    pub fn late(&mut self, now: MonotonicTime, centre: &DataCentreName) {
        self.record(now, centre).late += 1.0;
    }

    /// Advantage in the predicted time of the first event that `centre` needs to be preferred over
    /// the host's own data centre.
    pub fn penalty(&self, now: MonotonicTime, centre: &DataCentreName) -> Duration {
        let record = self.centres.get(centre).copied().unwrap_or_default();
        let decay = self.decay(now, &record);
        let streams = record.started * decay + f64::from(self.settings.prior_streams);
        let share = (record.late * decay / streams.max(1.0)).min(1.0);
        self.settings.usual_penalty + self.settings.late_penalty.mul_f64(share)
    }

    fn record(&mut self, now: MonotonicTime, centre: &DataCentreName) -> &mut CentreRecord {
        let previous = self.centres.get(centre).copied().unwrap_or_default();
        let decay = self.decay(now, &previous);
        let record = self.centres.entry(centre.clone()).or_default();
        *record = CentreRecord {
            started: previous.started * decay,
            late: previous.late * decay,
            counted_at: now,
        };
        record
    }

    fn decay(&self, now: MonotonicTime, record: &CentreRecord) -> f64 {
        let age = now.since(record.counted_at).as_secs_f64();
        let half_life = self.settings.half_life.as_secs_f64();
        0.5_f64.powf(age / half_life.max(f64::EPSILON))
    }
}
