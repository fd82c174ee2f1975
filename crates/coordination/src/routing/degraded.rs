//! What requests that were sent to other data centres met there lately.
//!
//! Pattern: degraded link. A link between two data centres loses packets or carries a part of its rate,
//! while engines on both sides are well and their figures look good. First events come in time; the pauses
//! between later ones break. A host sees that in its own streams only, so it counts them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{DataCentreName, MonotonicTime};

/// How late streams of another data centre are weighed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DegradedSettings {
    /// How much sooner the first event must be expected of another data centre, where nothing is known of
    /// it. Its events take a millisecond longer; the rest keeps requests near while loads are told late,
    /// since all entries would else follow the same old figures to the same place.
    pub usual_penalty: Duration,
    /// The same, added where every stream broke its pauses: longer than any wait for room nearby.
    pub late_penalty: Duration,
    /// Time after which what was seen counts half.
    pub half_life: Duration,
    /// Streams in time that are taken to have been seen before the first one.
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

/// Streams over one data centre; both counts fade at the same pace.
#[derive(Clone, Copy, Debug, Default)]
struct CentreRecord {
    started: f64,
    late: f64,
    counted_at: MonotonicTime,
}

/// Streams of one host over other data centres.
#[derive(Clone, Debug, Default)]
pub struct DegradedLinks {
    settings: DegradedSettings,
    centres: BTreeMap<DataCentreName, CentreRecord>,
}

impl DegradedLinks {
    /// Links of which nothing is known.
    pub fn new(settings: DegradedSettings) -> Self {
        Self {
            settings,
            centres: BTreeMap::new(),
        }
    }

    /// A stream over `centre` begins.
    pub fn started(&mut self, now: MonotonicTime, centre: &DataCentreName) {
        self.record(now, centre).started += 1.0;
    }

    /// A stream over `centre` broke its pauses, for the first time.
    pub fn late(&mut self, now: MonotonicTime, centre: &DataCentreName) {
        self.record(now, centre).late += 1.0;
    }

    /// How much sooner the first event must be expected of `centre` than of the host's own.
    pub fn penalty(&self, now: MonotonicTime, centre: &DataCentreName) -> Duration {
        let record = self.centres.get(centre).copied().unwrap_or_default();
        let fading = self.fading(now, &record);
        let seen = record.started * fading + f64::from(self.settings.prior_streams);
        let share = (record.late * fading / seen.max(1.0)).min(1.0);
        self.settings.usual_penalty + self.settings.late_penalty.mul_f64(share)
    }

    fn record(&mut self, now: MonotonicTime, centre: &DataCentreName) -> &mut CentreRecord {
        let known = self.centres.get(centre).copied().unwrap_or_default();
        let fading = self.fading(now, &known);
        let record = self.centres.entry(centre.clone()).or_default();
        *record = CentreRecord {
            started: known.started * fading,
            late: known.late * fading,
            counted_at: now,
        };
        record
    }

    fn fading(&self, now: MonotonicTime, record: &CentreRecord) -> f64 {
        let age = now.since(record.counted_at).as_secs_f64();
        let half_life = self.settings.half_life.as_secs_f64();
        0.5_f64.powf(age / half_life.max(f64::EPSILON))
    }
}
