//! A token that proves its path: its value is computed from every layer in order.
//!
//! Each layer mixes its number, the weights' version and its KV state into the activation, and
//! folds the activation into its KV state. A skipped, doubled or swapped layer or position, or a
//! layer of another version, changes every later token.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Words that token values are shown as.
const WORDS: [&str; 16] = [
    "clause", "fixing", "façade", "coastal", "exposure", "valve", "isolate", "permit", "outage",
    "bracket", "rail", "panel", "pump", "switch", "sequence", "check",
];
/// One token in this many ends an answer.
const STOP_ONE_IN: u64 = 509;

/// Weights that a stand-in model is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandInWeights {
    /// Layers of the whole model.
    pub layers: u32,
    digest: u64,
}

impl StandInWeights {
    /// Weights of one model version, with an adapter if any.
    pub fn new(model: &str, version: &str, adapter: Option<&str>, layers: u32) -> Self {
        Self {
            layers,
            digest: mix(&(model, version, adapter)),
        }
    }
}

fn mix<T>(value: &T) -> u64
where
    T: Hash + ?Sized,
{
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Tokens of a prompt: one for each word.
pub fn prompt_tokens(prompt: &str) -> Vec<u64> {
    let tokens: Vec<u64> = prompt.split_whitespace().map(mix).collect();
    if tokens.is_empty() { vec![0] } else { tokens }
}

/// Text that a token is shown as.
pub fn token_text(token: u64) -> String {
    let word = usize::try_from(token % 16).unwrap_or(0);
    format!("{} ", WORDS.get(word).copied().unwrap_or("check"))
}

/// Whether a token ends the answer.
pub fn is_stop(token: u64) -> bool {
    token.is_multiple_of(STOP_ONE_IN)
}

/// KV state of one sequence in one span of layers.
///
/// Invariant: `states` and `outputs` hold one item for each position that has been run.
#[derive(Clone, Debug)]
pub struct SpanCache {
    weights: StandInWeights,
    first: u32,
    end: u32,
    states: Vec<Vec<u64>>,
    outputs: Vec<u64>,
}

impl SpanCache {
    /// An empty cache for layers `first..end`.
    pub fn new(weights: StandInWeights, first: u32, end: u32) -> Self {
        Self {
            weights,
            first,
            end,
            states: Vec::new(),
            outputs: Vec::new(),
        }
    }

    /// Whether the cache was made for this span and these weights.
    pub fn serves(&self, weights: &StandInWeights, first: u32, end: u32) -> bool {
        self.weights == *weights && self.first == first && self.end == end
    }

    /// Positions that have been run.
    pub fn len(&self) -> usize {
        self.outputs.len()
    }

    /// Whether no position has been run.
    pub fn is_empty(&self) -> bool {
        self.outputs.is_empty()
    }

    /// Forgets all positions from `len` on.
    pub fn truncate(&mut self, len: usize) {
        self.states.truncate(len);
        self.outputs.truncate(len);
    }

    /// Runs the span's layers for the next position and returns the activation after them.
    pub fn extend(&mut self, input: u64) -> u64 {
        let mut activation = input;
        let span = usize::try_from(self.end - self.first).unwrap_or(0);
        let mut states = self.states.last().cloned().unwrap_or_else(|| vec![0; span]);
        for (layer, state) in (self.first..self.end).zip(states.iter_mut()) {
            let next = mix(&(activation, *state, layer, self.weights.digest));
            *state = mix(&(*state, activation));
            activation = next;
        }
        self.states.push(states);
        self.outputs.push(activation);
        activation
    }

    /// Activations after the span from position `from` on.
    pub fn outputs_from(&self, from: usize) -> &[u64] {
        self.outputs.get(from..).unwrap_or(&[])
    }
}

/// The answer that a whole pipeline gives, computed in one place.
pub fn expected_answer(weights: &StandInWeights, prompt: &str, max_tokens: u32) -> Vec<u64> {
    let mut cache = SpanCache::new(weights.clone(), 0, weights.layers);
    let mut last = 0;
    for token in prompt_tokens(prompt) {
        last = cache.extend(token);
    }
    let mut answer = Vec::new();
    for _ in 0..max_tokens {
        answer.push(last);
        if is_stop(last) {
            break;
        }
        last = cache.extend(last);
    }
    answer
}

#[cfg(test)]
mod tests {
    use super::{SpanCache, StandInWeights, expected_answer, prompt_tokens};

    fn split_answer(
        weights: &StandInWeights,
        cuts: &[(u32, u32)],
        prompt: &str,
        count: usize,
    ) -> Vec<u64> {
        let mut stages: Vec<SpanCache> = cuts
            .iter()
            .map(|(first, end)| SpanCache::new(weights.clone(), *first, *end))
            .collect();
        let mut run = |token: u64| {
            stages
                .iter_mut()
                .fold(token, |activation, stage| stage.extend(activation))
        };
        let mut last = 0;
        for token in prompt_tokens(prompt) {
            last = run(token);
        }
        let mut answer = Vec::new();
        while answer.len() < count {
            answer.push(last);
            last = run(last);
        }
        answer
    }

    #[test]
    fn only_the_whole_chain_in_order_gives_the_expected_answer() {
        let weights = StandInWeights::new("m", "v1", None, 8);
        let expected = expected_answer(&weights, "one two three", 5);
        let cases = [
            ("two stages", vec![(0, 3), (3, 8)], true),
            ("skipped layer", vec![(0, 3), (4, 8)], false),
            ("doubled layer", vec![(0, 4), (3, 8)], false),
            ("swapped stages", vec![(3, 8), (0, 3)], false),
        ];
        for (name, cuts, same) in cases {
            let answer = split_answer(&weights, &cuts, "one two three", expected.len());
            assert_eq!(answer == expected, same, "{name}");
        }
        let other = StandInWeights::new("m", "v2", None, 8);
        assert_ne!(expected_answer(&other, "one two three", 5), expected);
    }
}
