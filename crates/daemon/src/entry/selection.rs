//! Which selector serves a request, and which backend servers it allows.

use std::collections::BTreeMap;
use std::sync::Arc;

use http::StatusCode;
use pollendrift_coordination::base::{CustomerName, MonotonicTime};
use pollendrift_coordination::configuration::{
    Configuration, ConsideredSelector, LabelSet, RequestFacts, RequestTarget, SelectedRequest,
    SelectionRefusal, SelectionVerdict, Selector,
};
use pollendrift_coordination::evidence::{DecisionTrace, SelectorVerdict};
use pollendrift_coordination::retries::CallDeadline;

use super::context::EntryContext;
use super::refusal::Refusal;
use crate::admission::{AdmissionTicket, GateRequest};
use crate::fleet::ServerView;

/// A request that a selector serves, in the configuration that decided.
#[derive(Clone, Debug)]
pub(super) struct ServedRequest {
    pub(super) configuration: Arc<Configuration>,
    pub(super) selected: SelectedRequest,
}

/// Acts on every request before it is routed; refuses it where no selector serves it.
pub(super) fn select(
    context: &EntryContext,
    facts: &RequestFacts,
) -> Result<ServedRequest, Refusal> {
    let configuration = context
        .agreed
        .configuration()
        .map_err(|stale| Refusal::not_ready(&stale.to_string()))?;
    match configuration.select(facts) {
        SelectionVerdict::Selected(selected) => Ok(ServedRequest {
            configuration,
            selected: *selected,
        }),
        SelectionVerdict::Refused(refused) => {
            let refusal = Refusal::not_run(
                StatusCode::FORBIDDEN,
                "no-selector",
                "No selector allows this request",
                refusal_detail(&configuration, facts, &refused),
            );
            Err(Refusal {
                decision: Some(Box::new(refused_decision(&configuration, facts, &refused))),
                revision: Some(refused.revision),
                ..refusal
            })
        }
    }
}

/// Why no selector serves the request; where none names its target, that is said too, since such
/// selectors are passed over without being considered one by one.
fn refusal_detail(
    configuration: &Configuration,
    facts: &RequestFacts,
    refused: &SelectionRefusal,
) -> String {
    if !refused.considered.is_empty() || refused.unnamed > 0 {
        return refused.to_string();
    }
    let target = match &facts.target {
        RequestTarget::Model { model, .. } => format!("model {model}"),
        RequestTarget::Service(service) => format!("service {service}"),
    };
    let count = configuration.selector_count();
    format!("{refused}: none of its {count} selectors names {target} for this customer")
}

fn refused_decision(
    configuration: &Configuration,
    facts: &RequestFacts,
    refused: &SelectionRefusal,
) -> DecisionTrace {
    let verdict = |considered: &ConsideredSelector| SelectorVerdict {
        selector: considered.selector.clone(),
        reason: considered.reason.to_string().into(),
    };
    DecisionTrace {
        selector: None,
        labels: traced_labels(&configuration.request_labels(facts)),
        considered: refused.considered.iter().map(verdict).collect(),
    }
}

fn traced_labels(labels: &LabelSet) -> BTreeMap<Arc<str>, Arc<str>> {
    let pairs = labels.iter();
    pairs
        .map(|(key, value)| (Arc::from(key.as_str()), Arc::from(value.as_str())))
        .collect()
}

impl ServedRequest {
    /// Time by which a request that came in at `arrived` must have ended.
    pub(super) fn deadline(&self, context: &EntryContext, arrived: MonotonicTime) -> CallDeadline {
        let time = self
            .selected
            .settings
            .deadline
            .unwrap_or(context.default_deadline);
        CallDeadline::from_remaining(arrived, time)
    }

    /// Waits for room for a request of `tokens` tokens; 0 for a call of a plain service.
    pub(super) async fn admit(
        &self,
        context: &EntryContext,
        customer: &CustomerName,
        tokens: u64,
        deadline: CallDeadline,
    ) -> Result<AdmissionTicket, Refusal> {
        let request = GateRequest {
            customer,
            settings: &self.selected.settings,
            tokens,
            deadline: Some(deadline.0),
        };
        let admitted = context.gate.admit(request).await;
        admitted.map_err(|refusal| Refusal {
            decision: Some(Box::new(self.decision())),
            revision: Some(self.configuration.revision()),
            ..Refusal::not_admitted(&refusal)
        })
    }

    /// What decided, for the evidence.
    pub(super) fn decision(&self) -> DecisionTrace {
        DecisionTrace {
            selector: Some(self.selected.selector.clone()),
            labels: traced_labels(&self.selected.labels),
            considered: Vec::new(),
        }
    }

    /// The selector that serves the request.
    pub(super) fn selector(&self) -> Option<&Selector> {
        self.configuration.selector(self.selected.key)
    }

    /// The servers that may take work at `now` and that the selector allows.
    pub(super) fn allowed(&self, servers: Vec<Arc<ServerView>>) -> Vec<Arc<ServerView>> {
        let Some(selector) = self.selector() else {
            return Vec::new();
        };
        let mut servers = servers;
        servers.retain(|server| self.configuration.allows(selector, &server.facts).is_ok());
        servers
    }
}
