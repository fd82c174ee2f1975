//! Selection: chooses the selector for a request and filters the backend servers that it allows.

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

/// A request with its selector and the configuration that selected it.
#[derive(Clone, Debug)]
pub(super) struct ServedRequest {
    pub(super) configuration: Arc<Configuration>,
    pub(super) selected: SelectedRequest,
}

/// Selects the selector for a request; called for every request before it is routed.
///
/// # Errors
/// Refuses the request if no selector serves it or this host's configuration may be stale.
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

/// Explains why no selector serves the request.
///
/// Selectors that do not name the target are skipped without being considered one by one, so the
/// text states explicitly if no selector names the target.
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
    /// Deadline of a request that arrived at `arrived`.
    pub(super) fn deadline(&self, context: &EntryContext, arrived: MonotonicTime) -> CallDeadline {
        let time = self
            .selected
            .settings
            .deadline
            .unwrap_or(context.default_deadline);
        CallDeadline::from_remaining(arrived, time)
    }

    /// Waits until the request is admitted; `tokens` is 0 for a call of a plain service.
    ///
    /// # Errors
    /// Refuses the request if the gate does not admit it.
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

    /// Selection decision, for the evidence.
    pub(super) fn decision(&self) -> DecisionTrace {
        DecisionTrace {
            selector: Some(self.selected.selector.clone()),
            labels: traced_labels(&self.selected.labels),
            considered: Vec::new(),
        }
    }

    /// Selector that serves the request; `None` if the configuration does not contain it.
    pub(super) fn selector(&self) -> Option<&Selector> {
        self.configuration.selector(self.selected.key)
    }

    /// Filters `servers` to those that the selector allows; none if the selector is missing.
    pub(super) fn allowed(&self, servers: Vec<Arc<ServerView>>) -> Vec<Arc<ServerView>> {
        let Some(selector) = self.selector() else {
            return Vec::new();
        };
        let mut servers = servers;
        servers.retain(|server| self.configuration.allows(selector, &server.facts).is_ok());
        servers
    }
}
