//! Applies what servers state about their capacity in their answers.

use pollendrift_coordination::backpressure::{RateChange, StatedRate};
use pollendrift_coordination::base::ServerName;
use pollendrift_dialect::AnswerHead;

use super::context::RelayContext;

impl RelayContext {
    /// Applies the statements of `server` in the head of its answer to a request.
    pub(super) fn apply_statements(&self, server: &ServerName, head: &AnswerHead) {
        if head.accepted_rate == StatedRate::Invalid {
            log::warn!(server:% = server; "server states a request rate that can't be decoded; its last valid statement holds");
        }
        let now = self.clock.now();
        let change = self
            .fleet
            .rates()
            .apply_statement(now, server, head.accepted_rate);
        if let Some(change) = change {
            log_rate_change(server, change);
        }
    }
}

fn log_rate_change(server: &ServerName, change: RateChange) {
    match change {
        RateChange::Limited { rate, former } => {
            let former = former.map_or_else(|| "none".to_owned(), |former| former.to_string());
            log::info!(server:% = server, rate:% = rate, former = former.as_str(); "server states a request rate");
        }
        RateChange::Ended { former } => {
            log::info!(server:% = server, former:% = former; "server no longer states a request rate");
        }
    }
}
