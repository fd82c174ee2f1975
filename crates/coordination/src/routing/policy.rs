//! Policies that pick the engine of a stage, one module each. All of them work on a [`StageView`].

mod extended_sampling;
mod flow_weighted;
mod least_outstanding;
mod power_of_two;
mod predicted_finish;
mod round_robin;

use std::fmt::Debug;

use derive_more::Display;
use serde::{Deserialize, Serialize};

pub(super) use extended_sampling::{ExtendedSampling, MAX_SAMPLES};

use super::fleet::EngineKey;
use super::view::StageView;

/// Policy that picks the engine of each stage.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// Samples engines by the weights of the maximum flow.
    #[display("flow-weighted")]
    FlowWeighted,
    /// Picks the engine with the fewest own requests in progress.
    #[display("least-outstanding")]
    LeastOutstanding,
    /// Picks the less loaded of two random engines.
    #[display("power-of-two")]
    PowerOfTwo,
    /// Picks the earliest predicted finish among samples by flow and uniform samples.
    #[default]
    #[display("predicted-finish")]
    PredictedFinish,
    /// Picks each engine in turn.
    #[display("round-robin")]
    RoundRobin,
}

impl PolicyKind {
    /// All policies, sorted by name.
    pub const ALL: [Self; 5] = [
        Self::FlowWeighted,
        Self::LeastOutstanding,
        Self::PowerOfTwo,
        Self::PredictedFinish,
        Self::RoundRobin,
    ];

    pub(crate) fn build(self, candidates: u32) -> Box<dyn RoutePolicy> {
        match self {
            Self::FlowWeighted => Box::new(flow_weighted::FlowWeighted),
            Self::LeastOutstanding => Box::new(least_outstanding::LeastOutstanding),
            Self::PowerOfTwo => Box::new(power_of_two::PowerOfTwo),
            Self::PredictedFinish => {
                Box::new(predicted_finish::PredictedFinish::new(candidates.max(2)))
            }
            Self::RoundRobin => Box::new(round_robin::RoundRobin::default()),
        }
    }
}

/// Picks the engine of one stage, in time that does not grow with the fleet.
pub(crate) trait RoutePolicy: Debug + Send {
    /// Returns an engine that the view accepts, or `None` if a bounded number of tries finds none.
    fn pick(&mut self, view: &mut StageView<'_>) -> Option<EngineKey>;
}
