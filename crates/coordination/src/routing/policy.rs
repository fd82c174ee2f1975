//! Policies that pick the engine of one stage. One file each; all see the same view.

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

/// Which policy picks engines.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// By the weights of the maximum flow.
    #[display("flow-weighted")]
    FlowWeighted,
    /// The fewest own requests outstanding.
    #[display("least-outstanding")]
    LeastOutstanding,
    /// The less loaded of two at random.
    #[display("power-of-two")]
    PowerOfTwo,
    /// The earliest predicted finish of some by flow and some at random.
    #[default]
    #[display("predicted-finish")]
    PredictedFinish,
    /// Each in turn.
    #[display("round-robin")]
    RoundRobin,
}

impl PolicyKind {
    /// All policies, by name.
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
    /// An engine that the view accepts, or none if a few tries found none.
    fn pick(&mut self, view: &mut StageView<'_>) -> Option<EngineKey>;
}
