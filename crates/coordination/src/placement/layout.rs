//! A layout from nothing: which engine holds which layers so that the most drafts a second pass.
//!
//! What a chain carries is not its step rate but, by Little's law, the drafts that fit into the
//! request memory of its narrowest layer over the time that each is held. A layer more on an engine
//! takes memory from all of its drafts, and a slow engine holds the memory of all others for longer.
//! So engines are dealt into rows, each a whole copy of the layers, the quickest first; each holds as
//! many layers as leave it a given number of tokens. A few layers each make roomy chains of many
//! stages and leave nobody to spare; many make short quick ones with little room, and second copies
//! beside them. Every number of tokens at which some engine would hold one layer more or less is
//! tried, and the layout that passes most is taken, with second copies weighed in.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::engine::PlacedKey;
use crate::base::LayerRange;

/// Part of what a layout passes that a second copy of all layers is worth.
///
/// Of layers that are held once, any loss cuts every draft of the data centre and leaves it without a
/// chain until the layers are held again, several seconds. More copies pass a little less while all
/// is well, and serve on through a loss.
const MISSING_PART: f64 = 0.5;

/// Memory of an engine, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineMemory {
    /// All of it.
    pub total: u64,
    /// Weights of one layer.
    pub layer: u64,
    /// Request memory of one token in one layer; at least 1.
    pub token: u64,
}

impl EngineMemory {
    /// Tokens of request memory beside `layers` layers.
    pub fn tokens(self, layers: u32) -> u64 {
        let weights = self.layer.saturating_mul(u64::from(layers));
        let each = self.token.saturating_mul(u64::from(layers)).max(1);
        self.total.saturating_sub(weights) / each
    }

    /// Most layers that leave `tokens` of request memory.
    pub fn max_layers_beside(self, tokens: u64) -> u32 {
        let each = self.layer.saturating_add(self.token.saturating_mul(tokens));
        u32::try_from(self.total / each.max(1)).unwrap_or(u32::MAX)
    }
}

/// The usual draft, for what a layout carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DraftLoad {
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens of its answer.
    pub answer: u32,
    /// What each draft that is written beside others adds to a step, in millionths of the step.
    pub step_growth_ppm: u32,
}

impl DraftLoad {
    /// Tokens of request memory that a draft holds on average: its answer grows while it runs.
    fn held_tokens(self) -> f64 {
        f64::from(self.prompt) + f64::from(self.answer) / 2.0
    }

    /// Drafts a second that pass where `tokens` of request memory are held, by Little's law: those that
    /// fit, over the time that each takes at `step` seconds a token. A step takes longer with each
    /// draft that is written beside others.
    pub(crate) fn draft_throughput(self, tokens: u64, step: f64) -> f64 {
        let drafts = tokens as f64 / self.held_tokens().max(1.0);
        let growth = f64::from(self.step_growth_ppm) / 1e6;
        let held = f64::from(self.answer.max(1)) * step * (1.0 + growth * drafts);
        drafts / held.max(f64::MIN_POSITIVE)
    }
}

/// An engine that is to be laid out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LayoutEngine {
    pub(crate) key: PlacedKey,
    pub(crate) memory: EngineMemory,
    /// Most layers that it may hold.
    pub(crate) max_layers: u32,
    /// Tokens a second through a single layer.
    pub(crate) layer_rate: u32,
    /// What it holds now; kept where another engine of its kind would have to load it.
    pub(crate) held: Option<LayerRange>,
}

/// Ranges of engines, and the request memory that each has at least beside its layers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LayerLayout {
    pub(crate) ranges: BTreeMap<PlacedKey, LayerRange>,
    pub(crate) reserved_tokens: u64,
    /// Drafts a second that pass, less what is lost for want of second copies; by it layouts of the
    /// same engines compare.
    value: f64,
}

/// The layout that passes most drafts; `None` where the engines can't hold all layers once.
///
/// Engines that are not in the layout are left over, for second copies.
pub(crate) fn plan_layout(
    engines: &[LayoutEngine],
    layers: u32,
    load: DraftLoad,
) -> Option<LayerLayout> {
    let mut engines = engines.to_vec();
    engines.sort_by_key(|engine| {
        (
            std::cmp::Reverse(engine.layer_rate),
            std::cmp::Reverse(engine.memory.total),
            engine.key,
        )
    });
    let kept: BTreeSet<u64> = engines
        .iter()
        .flat_map(|engine| (1..=engine.max_layers).map(|count| engine.memory.tokens(count)))
        .collect();
    let layouts = kept
        .into_iter()
        .filter_map(|tokens| lay_rows(&engines, layers, load, tokens));
    let best = layouts.max_by(|a, b| a.value.total_cmp(&b.value))?;
    Some(keep_held(&engines, best))
}

/// Rows of engines, each with at least `tokens` beside its layers; `None` without a whole row.
fn lay_rows(
    engines: &[LayoutEngine],
    layers: u32,
    load: DraftLoad,
    tokens: u64,
) -> Option<LayerLayout> {
    let mut layout = LayerLayout {
        reserved_tokens: tokens,
        ..LayerLayout::default()
    };
    let mut rest = engines;
    let (mut passed, mut rows) = (0.0, 0.0);
    while let Some((row, behind)) = cut_row(rest, layers, tokens) {
        passed += row_rate(&row, load);
        rows += 1.0;
        layout
            .ranges
            .extend(row.iter().map(|(engine, range)| (engine.key, *range)));
        rest = behind;
    }
    if rows == 0.0 {
        return None;
    }
    let left_over: u32 = rest.iter().map(|engine| longest(engine, tokens)).sum();
    let copies = rows + f64::from(left_over) / f64::from(layers.max(1));
    let single = (2.0 - copies).clamp(0.0, 1.0);
    layout.value = passed * (1.0 - MISSING_PART * single);
    Some(layout)
}

/// Engines that hold all layers together, with the range of each.
type LayoutRow<'e> = Vec<(&'e LayoutEngine, LayerRange)>;

/// A whole row off the front of `engines`, and the engines behind it.
fn cut_row(
    engines: &[LayoutEngine],
    layers: u32,
    tokens: u64,
) -> Option<(LayoutRow<'_>, &[LayoutEngine])> {
    let mut row = Vec::new();
    let mut first: u32 = 0;
    for (index, engine) in engines.iter().enumerate() {
        let end = first.saturating_add(longest(engine, tokens)).min(layers);
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

fn longest(engine: &LayoutEngine, tokens: u64) -> u32 {
    engine
        .memory
        .max_layers_beside(tokens)
        .min(engine.max_layers)
}

/// Drafts a second that pass the narrowest engine of a row, at the steps of all of its engines.
fn row_rate(row: &LayoutRow<'_>, load: DraftLoad) -> f64 {
    let tokens = row
        .iter()
        .map(|(engine, range)| engine.memory.tokens(range.len()));
    let steps = row
        .iter()
        .map(|(engine, range)| f64::from(range.len()) / f64::from(engine.layer_rate.max(1)));
    load.draft_throughput(tokens.min().unwrap_or(0), steps.sum())
}

/// Deals the ranges of each kind to those of its engines that hold most of them already.
fn keep_held(engines: &[LayoutEngine], mut layout: LayerLayout) -> LayerLayout {
    let mut kinds: BTreeMap<(EngineMemory, u32), Vec<&LayoutEngine>> = BTreeMap::new();
    for engine in engines {
        let kind = (engine.memory, engine.layer_rate);
        kinds.entry(kind).or_default().push(engine);
    }
    let mut dealt = BTreeMap::new();
    for mut members in kinds.into_values() {
        let ranges = members
            .iter()
            .filter_map(|engine| layout.ranges.get(&engine.key));
        let mut ranges: Vec<LayerRange> = ranges.copied().collect();
        while let Some((member, range)) = find_closest(&members, &ranges) {
            dealt.insert(members.remove(member).key, ranges.remove(range));
        }
    }
    layout.ranges = dealt;
    layout
}

/// The member and the range that share most layers, by their places.
fn find_closest(members: &[&LayoutEngine], ranges: &[LayerRange]) -> Option<(usize, usize)> {
    let pairs = members.iter().enumerate().flat_map(|(member, engine)| {
        let shared = |range: &LayerRange| engine.held.map_or(0, |held| shared_layers(held, *range));
        let ranges = ranges.iter().enumerate();
        ranges.map(move |(place, range)| (shared(range), member, place))
    });
    let best =
        pairs.max_by_key(|(shared, member, place)| (*shared, std::cmp::Reverse((*member, *place))));
    best.map(|(_, member, place)| (member, place))
}

fn shared_layers(one: LayerRange, other: LayerRange) -> u32 {
    let end = one.end.min(other.end);
    end.saturating_sub(one.first.max(other.first))
}
