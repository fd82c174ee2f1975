//! Plans a layout from scratch: assigns layers to engines for the highest throughput of drafts.
//!
//! The step rate alone does not determine the throughput of a pipeline. By Little's law it is the
//! number of drafts that fit in the KV memory of the layer with the least KV memory, divided by the
//! time for which each draft holds that memory. An additional layer on an engine takes memory from
//! all of its drafts, and a slow engine makes drafts hold the memory of all other engines for
//! longer. The planner therefore divides the engines into rows, the fastest first. Each row is a
//! complete copy of the layers, and each engine holds as many layers as leave it a given number of
//! tokens. Few layers per engine yield long pipelines with much KV memory but no spare engines;
//! many layers per engine yield short fast pipelines with little KV memory, and second copies. The
//! planner tries every number of tokens at which some engine would hold one layer more or less, and
//! selects the layout with the highest throughput, reduced for missing second copies.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::engine::PlacedKey;
use crate::base::LayerRange;

/// Share of a layout's throughput that is subtracted if no layer has a second copy.
///
/// If each layer is on a single engine, any loss aborts every draft of the data centre and leaves
/// it without a pipeline for several seconds, until the layers are loaded again. More copies reduce
/// throughput a little in normal operation, and keep serving through a loss.
const MISSING_COPY_PENALTY: f64 = 0.5;

/// Memory of an engine, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineMemory {
    /// Total memory.
    pub total: u64,
    /// Weights per layer.
    pub layer: u64,
    /// KV memory per token and layer; at least 1.
    pub token: u64,
}

impl EngineMemory {
    /// Tokens of KV memory that fit next to `layers` layers.
    pub fn tokens(self, layers: u32) -> u64 {
        let weights = self.layer.saturating_mul(u64::from(layers));
        let each = self.token.saturating_mul(u64::from(layers)).max(1);
        self.total.saturating_sub(weights) / each
    }

    /// Maximum number of layers that leave `tokens` of KV memory.
    pub fn max_layers_beside(self, tokens: u64) -> u32 {
        let each = self.layer.saturating_add(self.token.saturating_mul(tokens));
        u32::try_from(self.total / each.max(1)).unwrap_or(u32::MAX)
    }
}

/// Typical draft, from which the throughput of a layout is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TypicalDraft {
    /// Prompt tokens.
    pub prompt: u32,
    /// Generated tokens.
    pub answer: u32,
    /// Time that each concurrent draft adds to a step, in millionths of the step.
    pub step_growth_ppm: u32,
}

impl TypicalDraft {
    /// Mean KV memory of a draft in tokens; its answer grows while it runs.
    fn held_tokens(self) -> f64 {
        f64::from(self.prompt) + f64::from(self.answer) / 2.0
    }

    /// Throughput in drafts per second with `tokens` of KV memory, by Little's law: the number of
    /// drafts that fit, divided by the duration of each at `step` seconds per token. Each
    /// concurrent draft makes a step longer.
    pub(crate) fn draft_throughput(self, tokens: u64, step: f64) -> f64 {
        let drafts = tokens as f64 / self.held_tokens().max(1.0);
        let growth = f64::from(self.step_growth_ppm) / 1e6;
        let duration = f64::from(self.answer.max(1)) * step * (1.0 + growth * drafts);
        drafts / duration.max(f64::MIN_POSITIVE)
    }
}

/// An engine that is available to the layout.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LayoutEngine {
    pub(crate) key: PlacedKey,
    pub(crate) memory: EngineMemory,
    /// Maximum number of layers that the engine can hold.
    pub(crate) max_layers: u32,
    /// Rate through a single layer, in tokens per second.
    pub(crate) layer_rate: u32,
    /// Layers that the engine holds. It keeps them if another engine of its kind would have to load
    /// them otherwise.
    pub(crate) held: Option<LayerRange>,
}

/// Ranges of engines, and the minimum KV memory that remains on each.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LayerLayout {
    pub(crate) ranges: BTreeMap<PlacedKey, LayerRange>,
    pub(crate) reserved_tokens: u64,
}

/// Returns the layout with the highest value; `None` if the engines cannot hold all layers once.
///
/// Engines without a range in the layout are available for second copies.
pub(crate) fn plan_layout(
    engines: &[LayoutEngine],
    layers: u32,
    draft: TypicalDraft,
) -> Option<LayerLayout> {
    let mut engines = engines.to_vec();
    engines.sort_by_key(|engine| {
        (
            std::cmp::Reverse(engine.layer_rate),
            std::cmp::Reverse(engine.memory.total),
            engine.key,
        )
    });
    let token_counts: BTreeSet<u64> = engines
        .iter()
        .flat_map(|engine| (1..=engine.max_layers).map(|count| engine.memory.tokens(count)))
        .collect();
    let values = token_counts
        .into_iter()
        .filter_map(|tokens| Some((tokens, value_rows(&engines, layers, draft, tokens)?)));
    let (reserved_tokens, _) = values.max_by(|a, b| a.1.total_cmp(&b.1))?;
    let rows = Rows {
        remaining: &engines,
        layers,
        tokens: reserved_tokens,
    };
    let ranges = rows.flatten().map(|(engine, range)| (engine.key, range));
    let layout = LayerLayout {
        ranges: ranges.collect(),
        reserved_tokens,
    };
    Some(keep_held(&engines, layout))
}

/// Throughput in drafts per second, reduced for missing second copies, of rows of engines that each
/// keep at least `tokens` of KV memory; `None` if there is no complete row. It ranks layouts of the
/// same engines.
fn value_rows(
    engines: &[LayoutEngine],
    layers: u32,
    draft: TypicalDraft,
    tokens: u64,
) -> Option<f64> {
    let mut rows = Rows {
        remaining: engines,
        layers,
        tokens,
    };
    let (mut throughput, mut row_count) = (0.0, 0.0);
    for row in rows.by_ref() {
        throughput += row_rate(&row, draft);
        row_count += 1.0;
    }
    if row_count == 0.0 {
        return None;
    }
    let spare_layers: u32 = rows
        .remaining
        .iter()
        .map(|engine| max_layers(engine, tokens))
        .sum();
    let copies = row_count + f64::from(spare_layers) / f64::from(layers.max(1));
    let missing_copy = (2.0 - copies).clamp(0.0, 1.0);
    Some(throughput * (1.0 - MISSING_COPY_PENALTY * missing_copy))
}

/// Divides engines into complete rows; afterwards `remaining` contains those without a row.
struct Rows<'e> {
    remaining: &'e [LayoutEngine],
    layers: u32,
    tokens: u64,
}

impl<'e> Iterator for Rows<'e> {
    type Item = LayoutRow<'e>;

    fn next(&mut self) -> Option<LayoutRow<'e>> {
        let (row, remaining) = take_row(self.remaining, self.layers, self.tokens)?;
        self.remaining = remaining;
        Some(row)
    }
}

/// Engines that together hold all layers, with the range of each.
type LayoutRow<'e> = Vec<(&'e LayoutEngine, LayerRange)>;

/// Takes a complete row from the front of `engines`; also returns the engines after it.
fn take_row(
    engines: &[LayoutEngine],
    layers: u32,
    tokens: u64,
) -> Option<(LayoutRow<'_>, &[LayoutEngine])> {
    let mut row = Vec::new();
    let mut first: u32 = 0;
    for (index, engine) in engines.iter().enumerate() {
        let end = first.saturating_add(max_layers(engine, tokens)).min(layers);
        if let Some(range) = LayerRange::new(first, end) {
            row.push((engine, range));
        }
        first = end;
        if first == layers {
            return Some((row, &engines[index + 1..]));
        }
    }
    None
}

fn max_layers(engine: &LayoutEngine, tokens: u64) -> u32 {
    engine
        .memory
        .max_layers_beside(tokens)
        .min(engine.max_layers)
}

/// Throughput of a row in drafts per second. It is limited by the engine with the least KV memory,
/// and a step passes through all engines.
fn row_rate(row: &LayoutRow<'_>, draft: TypicalDraft) -> f64 {
    let tokens = row
        .iter()
        .map(|(engine, range)| engine.memory.tokens(range.len()));
    let steps = row
        .iter()
        .map(|(engine, range)| f64::from(range.len()) / f64::from(engine.layer_rate.max(1)));
    draft.draft_throughput(tokens.min().unwrap_or(0), steps.sum())
}

/// Assigns the ranges of each kind of engine to those of its engines that already hold most of
/// their layers.
fn keep_held(engines: &[LayoutEngine], mut layout: LayerLayout) -> LayerLayout {
    let mut kinds: BTreeMap<(EngineMemory, u32), Vec<&LayoutEngine>> = BTreeMap::new();
    for engine in engines {
        let kind = (engine.memory, engine.layer_rate);
        kinds.entry(kind).or_default().push(engine);
    }
    let mut assigned = BTreeMap::new();
    for members in kinds.into_values() {
        let ranges = members
            .iter()
            .filter_map(|engine| layout.ranges.get(&engine.key));
        let ranges: Vec<LayerRange> = ranges.copied().collect();
        assigned.extend(match_closest(&members, &ranges));
    }
    layout.ranges = assigned;
    layout
}

/// Assigns each range to a member, in the order of the number of layers that the two share. Ties go
/// to the first member and its first range.
///
/// A data centre may have a thousand engines of a kind, and a keeper that searched all pairs again
/// for each of them would do nothing else for longer than an election takes. Only pairs that share
/// layers are sorted; none do in a fleet that starts.
fn match_closest(members: &[&LayoutEngine], ranges: &[LayerRange]) -> Vec<(PlacedKey, LayerRange)> {
    let held = members.iter().enumerate();
    let held = held.filter_map(|(member, engine)| Some((member, engine.held?)));
    let mut pairs: Vec<(u32, usize, usize)> = held
        .flat_map(|(member, held)| {
            let shared = move |(index, range): (usize, &LayerRange)| {
                (shared_layers(held, *range), member, index)
            };
            ranges.iter().enumerate().map(shared)
        })
        .filter(|(shared, _, _)| *shared > 0)
        .collect();
    pairs.sort_unstable_by_key(|(shared, member, index)| {
        (std::cmp::Reverse(*shared), *member, *index)
    });
    let mut range_of: Vec<Option<usize>> = vec![None; members.len()];
    let mut is_assigned = vec![false; ranges.len()];
    for (_, member, index) in pairs {
        if range_of[member].is_none() && !is_assigned[index] {
            range_of[member] = Some(index);
            is_assigned[index] = true;
        }
    }
    let mut others = (0..ranges.len()).filter(|index| !is_assigned[*index]);
    let assigned = members.iter().zip(range_of).filter_map(|(member, index)| {
        let range = ranges.get(index.or_else(|| others.next())?)?;
        Some((member.key, *range))
    });
    assigned.collect()
}

fn shared_layers(one: LayerRange, other: LayerRange) -> u32 {
    let end = one.end.min(other.end);
    end.saturating_sub(one.first.max(other.first))
}
