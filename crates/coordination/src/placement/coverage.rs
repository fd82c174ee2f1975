//! Rate of each layer of a model, and the layers missing for a complete pipeline.

use crate::base::LayerRange;

/// Rate in tokens per second, and number of engines with the layer.
#[derive(Clone, Debug)]
pub(crate) struct LayerCoverage {
    rates: Vec<f64>,
    holders: Vec<u32>,
}

impl LayerCoverage {
    /// Creates a coverage of `layers` layers, none of them on an engine.
    pub(crate) fn new(layers: u32) -> Self {
        let count = layers as usize;
        Self {
            rates: vec![0.0; count],
            holders: vec![0; count],
        }
    }

    /// Adds an engine that runs `layers` at `rate`.
    pub(crate) fn add(&mut self, layers: LayerRange, rate: f64) {
        for layer in self.span(layers) {
            self.rates[layer] += rate;
            self.holders[layer] += 1;
        }
    }

    /// Removes an engine that was added with the same arguments.
    pub(crate) fn remove(&mut self, layers: LayerRange, rate: f64) {
        for layer in self.span(layers) {
            self.rates[layer] -= rate;
            self.holders[layer] = self.holders[layer].saturating_sub(1);
        }
    }

    /// Whether every layer is on an engine, so that a complete pipeline exists.
    pub(crate) fn is_complete(&self) -> bool {
        self.first_missing(0).is_none()
    }

    /// First layer at or after `from` that no engine has.
    pub(crate) fn first_missing(&self, from: u32) -> Option<u32> {
        let position = self
            .holders
            .iter()
            .skip(from as usize)
            .position(|holders| *holders == 0)?;
        u32::try_from(position).ok().map(|offset| from + offset)
    }

    /// Range from `missing` on of consecutive layers that no engine has, in a model of
    /// `layers` layers.
    pub(crate) fn find_gap(&self, missing: u32, layers: u32) -> LayerRange {
        let mut end = missing + 1;
        while end < layers && self.first_missing(end) == Some(end) {
            end += 1;
        }
        LayerRange {
            first: missing,
            end,
        }
    }

    /// Whether every layer of `layers` is on more than one engine.
    pub(crate) fn is_redundant(&self, layers: LayerRange) -> bool {
        self.span(layers).all(|layer| self.holders[layer] > 1)
    }

    /// Returns the slowest layer and its rate.
    pub(crate) fn slowest(&self) -> (u32, f64) {
        let mut slowest = (0, f64::INFINITY);
        for (layer, rate) in (0..).zip(&self.rates) {
            if *rate < slowest.1 {
                slowest = (layer, *rate);
            }
        }
        slowest
    }

    /// Number of layers at about the slowest rate.
    pub(crate) fn count_slowest(&self) -> usize {
        let (_, rate) = self.slowest();
        let limit = rate * 1.001 + f64::EPSILON;
        self.rates
            .iter()
            .filter(|candidate| **candidate <= limit)
            .count()
    }

    fn span(&self, layers: LayerRange) -> std::ops::Range<usize> {
        let count = self.rates.len();
        (layers.first as usize).min(count)..(layers.end as usize).min(count)
    }
}
