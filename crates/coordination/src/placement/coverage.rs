//! Rate at which each layer of a model is served, and what is missing for a whole pipeline.

use crate::base::LayerRange;

/// Tokens a second by layer.
#[derive(Clone, Debug)]
pub(crate) struct LayerCoverage {
    rates: Vec<f64>,
    holders: Vec<u32>,
}

impl LayerCoverage {
    /// Nothing of a model of so many layers.
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

    /// Takes an engine away that was added.
    pub(crate) fn remove(&mut self, layers: LayerRange, rate: f64) {
        for layer in self.span(layers) {
            self.rates[layer] -= rate;
            self.holders[layer] = self.holders[layer].saturating_sub(1);
        }
    }

    /// Whether every layer is held, so that a pipeline is whole.
    pub(crate) fn is_complete(&self) -> bool {
        self.first_missing(0).is_none()
    }

    /// First layer from `from` on that nobody holds.
    pub(crate) fn first_missing(&self, from: u32) -> Option<u32> {
        let position = self
            .holders
            .iter()
            .skip(from as usize)
            .position(|holders| *holders == 0)?;
        u32::try_from(position).ok().map(|offset| from + offset)
    }

    /// Layers from `missing` on that nobody holds, of a model of `layers`.
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

    /// Whether every layer of `layers` is held by more than one.
    pub(crate) fn is_redundant(&self, layers: LayerRange) -> bool {
        self.span(layers).all(|layer| self.holders[layer] > 1)
    }

    /// Slowest layer and its rate.
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
        self.rates.iter().filter(|other| **other <= limit).count()
    }

    fn span(&self, layers: LayerRange) -> std::ops::Range<usize> {
        let count = self.rates.len();
        (layers.first as usize).min(count)..(layers.end as usize).min(count)
    }
}
