//! Measures the KV memory of all engines of a model, at the layer that has the least of it.
//!
//! A draft holds memory on one engine for each layer, so that the drafts of a data centre together
//! hold no more than the engines of its narrowest layer have.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::engine::EngineRole;
use super::fleet::{EngineRecord, FleetTable};
use super::link::DataCentreIndex;
use crate::base::{LayerRange, ModelName, MonotonicTime};

/// Greatest memory of one engine that counts, in tokens.
const MAX_TOKENS: i64 = 1 << 40;

/// Settings of [`PoolCapacity::measure`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PoolSettings {
    /// Share of the KV memory that drafts may hold, in percent. Running drafts grow, and reports of
    /// engines lag.
    pub fill_percent: u32,
    /// Age from which a report no longer counts; its engine then counts as without memory.
    pub report_lifetime: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            fill_percent: 94,
            report_lifetime: Duration::from_millis(1_800),
        }
    }
}

/// KV memory of a pool of engines, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PoolCapacity {
    /// Memory that drafts may hold.
    pub total: u64,
    /// Memory that they may hold in addition to what they held; negative if they held too much.
    pub free: i64,
    /// Mean time at which the engines measured what drafts held.
    pub measured_at: MonotonicTime,
}

impl PoolCapacity {
    /// Measures the engines of `model` that reported recently; `None` if they do not hold all layers.
    ///
    /// Counts data centres apart, since chains stay within one. If none of them holds all layers,
    /// counts all engines together.
    pub(crate) fn measure(
        now: MonotonicTime,
        fleet: &FleetTable,
        model: &ModelName,
        settings: &PoolSettings,
    ) -> Option<Self> {
        let reporting = |engine: &&EngineRecord| {
            let reported_at = engine.load.reported_at();
            engine.announcement.model == *model
                && engine.announcement.role != EngineRole::Prefill
                && reported_at.is_some_and(|at| now.since(at) < settings.report_lifetime)
        };
        let engines = fleet.iter().map(|(_, engine)| engine);
        let engines: Vec<&EngineRecord> = engines.filter(reporting).collect();
        let measured_at = mean_time(&engines)?;
        let mut centres: BTreeMap<DataCentreIndex, LayerMemory> = BTreeMap::new();
        let mut all = LayerMemory::default();
        for engine in &engines {
            let centre = centres.entry(engine.data_centre).or_default();
            centre.add(engine, settings);
            all.add(engine, settings);
        }
        let narrowest = centres.values().map(LayerMemory::narrowest);
        let sum = narrowest.fold(NarrowestLayer::default(), NarrowestLayer::plus);
        let sum = if sum.total > 0 { sum } else { all.narrowest() };
        (sum.total > 0).then(|| Self {
            total: u64::try_from(sum.total).unwrap_or_default(),
            free: sum.free,
            measured_at,
        })
    }
}

fn mean_time(engines: &[&EngineRecord]) -> Option<MonotonicTime> {
    let times = engines.iter().filter_map(|e| e.load.reported_at());
    let sum: u64 = times.map(MonotonicTime::as_micros).sum();
    let mean = sum.checked_div(u64::try_from(engines.len()).unwrap_or(u64::MAX))?;
    Some(MonotonicTime::from_micros(mean))
}

/// Limits a figure of one engine, so that the sum over a fleet fits an `i64` whatever engines report.
fn bounded(tokens: u64) -> i64 {
    i64::try_from(tokens).map_or(MAX_TOKENS, |tokens| tokens.min(MAX_TOKENS))
}

/// Memory at one layer, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct NarrowestLayer {
    total: i64,
    free: i64,
}

impl NarrowestLayer {
    fn plus(self, other: Self) -> Self {
        Self {
            total: self.total + other.total,
            free: self.free + other.free,
        }
    }
}

/// Memory of several engines by layer, as the differences from one layer to the next.
#[derive(Clone, Debug, Default)]
struct LayerMemory {
    layers: u32,
    differences: BTreeMap<u32, NarrowestLayer>,
}

impl LayerMemory {
    fn add(&mut self, engine: &EngineRecord, settings: &PoolSettings) {
        let announced = &engine.announcement;
        let usable = announced
            .kv_capacity
            .0
            .saturating_mul(u64::from(settings.fill_percent))
            / 100;
        let total = bounded(usable);
        let held = bounded(engine.load.reported_kv());
        let memory = NarrowestLayer {
            total,
            free: total - held,
        };
        self.layers = self.layers.max(announced.model_layers);
        self.add_range(announced.layers, memory);
    }

    fn add_range(&mut self, range: LayerRange, memory: NarrowestLayer) {
        let first = self.differences.entry(range.first).or_default();
        *first = first.plus(memory);
        let end = self.differences.entry(range.end).or_default();
        *end = end.plus(NarrowestLayer {
            total: -memory.total,
            free: -memory.free,
        });
    }

    /// Memory at the layer with the least free one; none if an engine for a layer is missing.
    fn narrowest(&self) -> NarrowestLayer {
        let mut at_layer = NarrowestLayer::default();
        let mut narrowest: Option<NarrowestLayer> = None;
        let first = self.differences.first_key_value().map(|(layer, _)| *layer);
        if first != Some(0) {
            return NarrowestLayer::default();
        }
        for (_, difference) in self.differences.range(..self.layers) {
            at_layer = at_layer.plus(*difference);
            if at_layer.total <= 0 {
                return NarrowestLayer::default();
            }
            if narrowest.is_none_or(|other| at_layer.free < other.free) {
                narrowest = Some(at_layer);
            }
        }
        narrowest.unwrap_or_default()
    }
}
