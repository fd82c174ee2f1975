//! Progress of a running draft: the start of a resumed answer and attempt traces for evidence.

use pollendrift_coordination::base::TokenPosition;
use pollendrift_coordination::evidence::{AttemptTrace, TracedStage};
use pollendrift_coordination::ledger::ReleasedToken;

use super::{AttemptEnd, DraftRunner};
use crate::fleet::{DraftRoute, PlannedStage};

impl DraftRunner {
    /// Sends the tokens that the entry that served the stream before released and the caller has
    /// not received.
    ///
    /// Returns the finish reason if the answer was already complete.
    pub(super) async fn send_resumed(&mut self) -> Option<String> {
        let resume = self.job.resume.take()?;
        let missing = resume
            .tokens
            .into_iter()
            .zip(0..)
            .skip(to_usize(resume.from.0));
        let missing: Vec<ReleasedToken> = missing
            .map(|(token, position)| ReleasedToken {
                position: TokenPosition(position),
                token,
            })
            .collect();
        if !missing.is_empty() {
            self.job.record.record_first_byte().await;
            // The host that stored the answer until now may be this one.
            self.release(missing);
            self.send_waiting().await;
        }
        resume.finish
    }

    /// Builds the evidence record of one attempt that started at position `from`.
    pub(super) fn trace(
        &self,
        route: &DraftRoute,
        from: TokenPosition,
        end: &AttemptEnd,
    ) -> AttemptTrace {
        let ending = match end {
            AttemptEnd::Complete { reason } => format!("complete: {reason}"),
            AttemptEnd::Failed { server, reason, .. } => format!("{server}: {reason}"),
        };
        let stage = |stage: &PlannedStage| TracedStage {
            server: stage.server.clone(),
            layers: Some(stage.layers),
        };
        AttemptTrace {
            attempt: self.attempt,
            model: Some(self.job.model.clone()),
            version: Some(route.plan.version.clone()),
            adapter: self.job.adapter.clone(),
            stages: route.stages.iter().map(stage).collect(),
            from,
            tokens: self.next_position().0.saturating_sub(from.0),
            ending: ending.into(),
        }
    }
}

fn to_usize(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
