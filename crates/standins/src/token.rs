//! Stand-in model whose token values depend on every layer, in order.
//!
//! Each layer hashes its number, the version of the weights and its KV state into the activation,
//! and the activation into its KV state. A skipped, repeated or swapped layer or position, or a
//! layer of another version, therefore changes every later token.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Texts of tokens, by token value modulo 16.
const WORDS: [&str; 16] = [
    "clause", "fixing", "façade", "coastal", "exposure", "valve", "isolate", "permit", "outage",
    "bracket", "rail", "panel", "pump", "switch", "sequence", "check",
];
/// A token whose value is a multiple of this ends the answer.
const STOP_ONE_IN: u64 = 509;

/// Weights of a stand-in model, reduced to a digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandInWeights {
    /// Number of layers of the complete model.
    pub layers: u32,
    digest: u64,
}

impl StandInWeights {
    /// Weights of one model version with an optional adapter.
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

/// Tokens of a prompt, one per word; a prompt without words gives one token.
pub fn prompt_tokens(prompt: &str) -> Vec<u64> {
    let tokens: Vec<u64> = prompt.split_whitespace().map(mix).collect();
    if tokens.is_empty() { vec![0] } else { tokens }
}

/// Text of a token.
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
/// Invariant: `states` and `outputs` have one item per computed position.
#[derive(Clone, Debug)]
pub struct SpanCache {
    weights: StandInWeights,
    first: u32,
    end: u32,
    states: Vec<Vec<u64>>,
    outputs: Vec<u64>,
}

impl SpanCache {
    /// Cache for layers `first..end` without positions.
    pub fn new(weights: StandInWeights, first: u32, end: u32) -> Self {
        Self {
            weights,
            first,
            end,
            states: Vec::new(),
            outputs: Vec::new(),
        }
    }

    /// Whether the cache belongs to these layers and weights.
    pub fn matches(&self, weights: &StandInWeights, first: u32, end: u32) -> bool {
        self.weights == *weights && self.first == first && self.end == end
    }

    /// Number of computed positions.
    pub fn len(&self) -> usize {
        self.outputs.len()
    }

    /// Whether no position is computed.
    pub fn is_empty(&self) -> bool {
        self.outputs.is_empty()
    }

    /// Removes all positions from `len` on.
    pub fn truncate(&mut self, len: usize) {
        self.states.truncate(len);
        self.outputs.truncate(len);
    }

    /// Computes the next position through all layers of the span and returns the output activation.
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

    /// Output activations from position `from` on; empty if there are none.
    pub fn outputs_from(&self, from: usize) -> &[u64] {
        self.outputs.get(from..).unwrap_or(&[])
    }
}

/// Expected answer: the tokens of the complete pipeline, computed in one cache.
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
        spans: &[(u32, u32)],
        prompt: &str,
        count: usize,
    ) -> Vec<u64> {
        let mut stages: Vec<SpanCache> = spans
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

    // Guards against a stand-in model that gives the expected answer although a layer was skipped,
    // repeated or swapped, which would hide routing errors from all tests that check answers.
    #[test]
    fn only_all_layers_in_order_give_the_expected_answer() {
        let weights = StandInWeights::new("m", "v1", None, 8);
        let expected = expected_answer(&weights, "one two three", 5);
        let cases = [
            ("two stages", vec![(0, 3), (3, 8)], true),
            ("skipped layer", vec![(0, 3), (4, 8)], false),
            ("doubled layer", vec![(0, 4), (3, 8)], false),
            ("swapped stages", vec![(3, 8), (0, 3)], false),
        ];
        for (name, spans, same) in cases {
            let answer = split_answer(&weights, &spans, "one two three", expected.len());
            assert_eq!(answer == expected, same, "{name}");
        }
        let other = StandInWeights::new("m", "v2", None, 8);
        assert_ne!(expected_answer(&other, "one two three", 5), expected);
    }
}
