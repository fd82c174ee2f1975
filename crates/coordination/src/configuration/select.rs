//! Finds the selector of a request, and checks backend servers against a selector.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::expression::Mismatch;
use super::facts::{RequestFacts, RequestTarget, ServerFacts};
use super::label::LabelSet;
use super::label_settings::{LabelSettings, ServiceState};
use super::model::{Selector, SelectorTarget};
use super::table::{Configuration, SelectorKey, TargetName};
use crate::base::{AdapterName, Revision, SelectorName};

/// Maximum number of selectors that a refusal names; further ones are only counted.
pub const MAX_NAMED_SELECTORS: usize = 16;

/// Reason why a selector does not serve a request.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum SelectMismatch {
    /// The selector serves another model or service.
    #[display("it serves {_0}")]
    Target(SelectorTarget),
    /// The request names an adapter that the selector does not apply.
    #[display("the request asks for adapter {_0}")]
    Adapter(AdapterName),
    /// A requirement of `for` does not hold.
    #[display("for needs {_0}")]
    Label(Mismatch),
}

/// A selector that was considered and does not serve the request.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{selector}: {reason}")]
pub struct ConsideredSelector {
    /// Name of the selector.
    pub selector: SelectorName,
    /// Reason why it does not serve the request.
    pub reason: SelectMismatch,
}

/// Result of selecting for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum SelectionVerdict {
    /// A selector serves the request.
    Selected(Box<SelectedRequest>),
    /// No selector serves the request.
    Refused(SelectionRefusal),
}

/// A request that a selector serves.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedRequest {
    /// Revision of the configuration that made the decision.
    pub revision: Revision,
    /// Key of the selector in that configuration.
    pub key: SelectorKey,
    /// Name of the selector.
    pub selector: SelectorName,
    /// Model or service that serves the request, with the adapter to apply.
    pub target: SelectorTarget,
    /// All labels of the request.
    pub labels: LabelSet,
    /// Limits, priority and deadline; labels of the request override those of its customer.
    pub settings: LabelSettings,
}

/// A request that no selector serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SelectionRefusal {
    /// Revision of the configuration that made the decision.
    pub revision: Revision,
    /// Mismatching selectors in the order tried, at most [`MAX_NAMED_SELECTORS`].
    pub considered: Vec<ConsideredSelector>,
    /// Number of selectors of the model or service that `considered` does not contain.
    pub unnamed: usize,
}

impl fmt::Display for SelectionRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "no selector of revision {}", self.revision)?;
        formatter.write_str(" serves this request")?;
        for (index, considered) in self.considered.iter().enumerate() {
            let separator = if index == 0 { ": " } else { "; " };
            write!(formatter, "{separator}{considered}")?;
        }
        if self.unnamed > 0 {
            write!(formatter, "; {} more do not serve it", self.unnamed)?;
        }
        Ok(())
    }
}

/// Reason why a selector does not allow a backend server.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowMismatch {
    /// An operator's label takes the backend server out of service.
    #[display("it is out of service")]
    OutOfService,
    /// The backend server offers another model or service.
    #[display("it does not offer {_0}")]
    Target(SelectorTarget),
    /// The backend server holds another version.
    #[display("it does not hold the selector's version")]
    Version,
    /// The backend server can't apply the adapter.
    #[display("it can't apply adapter {_0}")]
    Adapter(AdapterName),
    /// A requirement of `allow` does not hold.
    #[display("allow needs {_0}")]
    Label(Mismatch),
}

/// Result of matching one selector against a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SelectorExplanation {
    /// Name of the selector.
    pub selector: SelectorName,
    /// Order of the selector.
    pub order: u32,
    /// Reason for the mismatch; `None` if the selector matches.
    pub mismatch: Option<SelectMismatch>,
    /// Whether it is the first match, which serves the request.
    pub serves: bool,
}

impl Configuration {
    /// Finds the first selector that matches the request, or reports the mismatches.
    ///
    /// Tries only selectors of the request's model or service that name its customer or none.
    pub fn select(&self, facts: &RequestFacts) -> SelectionVerdict {
        let labels = self.request_labels(facts);
        let target = TargetName::of_request(&facts.target);
        let Some(selectors) = self.index.target(&target) else {
            return SelectionVerdict::Refused(self.refusal(Vec::new(), 0));
        };
        let (own, general) = selectors.candidates(&facts.customer);
        let mut considered = Vec::new();
        for key in self.merge_by_rank(own, general) {
            let Some(selector) = self.selector(key) else {
                continue;
            };
            match selector.mismatch(facts, &labels) {
                None => return self.selected(key, selector, facts, labels),
                Some(reason) if considered.len() < MAX_NAMED_SELECTORS => {
                    considered.push(ConsideredSelector {
                        selector: selector.name.clone(),
                        reason,
                    });
                }
                Some(_) => {}
            }
        }
        SelectionVerdict::Refused(self.refusal(considered, selectors.total))
    }

    /// Matches the request against every selector, in order, without the index.
    pub fn explain(&self, facts: &RequestFacts) -> Vec<SelectorExplanation> {
        let labels = self.request_labels(facts);
        let mut ordered: Vec<&Selector> = self.selectors.values().map(AsRef::as_ref).collect();
        ordered.sort_by(|a, b| a.rank().cmp(&b.rank()));
        let mut decided = false;
        let explain_one = |selector: &Selector| {
            let mismatch = selector.mismatch(facts, &labels);
            let serves = mismatch.is_none() && !decided;
            decided |= serves;
            SelectorExplanation {
                selector: selector.name.clone(),
                order: selector.order,
                mismatch,
                serves,
            }
        };
        ordered.into_iter().map(explain_one).collect()
    }

    /// Checks the selector against the facts and current labels of a backend server.
    ///
    /// # Errors
    /// [`AllowMismatch`] if the selector does not allow the backend server.
    pub fn allows(&self, selector: &Selector, facts: &ServerFacts) -> Result<(), AllowMismatch> {
        selector.allows_server(facts, &self.server_labels(facts))
    }

    fn selected(
        &self,
        key: SelectorKey,
        selector: &Selector,
        facts: &RequestFacts,
        labels: LabelSet,
    ) -> SelectionVerdict {
        SelectionVerdict::Selected(Box::new(SelectedRequest {
            revision: self.revision(),
            key,
            selector: selector.name.clone(),
            target: selector.target.clone(),
            settings: self.request_settings(facts, &labels),
            labels,
        }))
    }

    fn refusal(&self, considered: Vec<ConsideredSelector>, total: usize) -> SelectionRefusal {
        SelectionRefusal {
            revision: self.revision(),
            unnamed: total.saturating_sub(considered.len()),
            considered,
        }
    }

    /// Merges two lists that are sorted by rank.
    fn merge_by_rank<'a>(
        &'a self,
        own: &'a [SelectorKey],
        general: &'a [SelectorKey],
    ) -> impl Iterator<Item = SelectorKey> + 'a {
        let mut own = own.iter().copied().peekable();
        let mut general = general.iter().copied().peekable();
        std::iter::from_fn(move || {
            let own_first = match (own.peek(), general.peek()) {
                (Some(a), Some(b)) => self.rank_of(*a) <= self.rank_of(*b),
                (next, _) => next.is_some(),
            };
            if own_first {
                own.next()
            } else {
                general.next()
            }
        })
    }

    fn rank_of(&self, key: SelectorKey) -> Option<(u32, &SelectorName)> {
        self.selector(key).map(Selector::rank)
    }
}

impl Selector {
    /// Reason why the selector does not serve a request with these labels; `None` if it does.
    pub fn mismatch(&self, facts: &RequestFacts, labels: &LabelSet) -> Option<SelectMismatch> {
        let other_target = || Some(SelectMismatch::Target(self.target.clone()));
        match (&self.target, &facts.target) {
            (SelectorTarget::Service(own), RequestTarget::Service(requested))
                if own == requested => {}
            (
                SelectorTarget::Model {
                    model: own,
                    adapter,
                    ..
                },
                RequestTarget::Model {
                    model,
                    adapter: requested,
                },
            ) if own == model => {
                if let Some(requested) = requested
                    && adapter.as_ref() != Some(requested)
                {
                    return Some(SelectMismatch::Adapter(requested.clone()));
                }
            }
            _ => return other_target(),
        }
        self.serves.mismatch(labels).map(SelectMismatch::Label)
    }

    /// Checks the selector against a backend server with these labels.
    ///
    /// # Errors
    /// [`AllowMismatch`] if the selector does not allow the backend server.
    pub fn allows_server(
        &self,
        facts: &ServerFacts,
        labels: &LabelSet,
    ) -> Result<(), AllowMismatch> {
        if LabelSettings::of(labels).state == ServiceState::OutOfService {
            return Err(AllowMismatch::OutOfService);
        }
        self.offers_target(facts)?;
        match self.allows.mismatch(labels) {
            Some(mismatch) => Err(AllowMismatch::Label(mismatch)),
            None => Ok(()),
        }
    }

    fn offers_target(&self, facts: &ServerFacts) -> Result<(), AllowMismatch> {
        let other_target = Err(AllowMismatch::Target(self.target.clone()));
        match &self.target {
            SelectorTarget::Service(service) if facts.service.as_ref() == Some(service) => Ok(()),
            SelectorTarget::Service(_) => other_target,
            SelectorTarget::Model { model, .. } if facts.model.as_ref() != Some(model) => {
                other_target
            }
            SelectorTarget::Model {
                version: Some(version),
                ..
            } if facts.version.as_ref() != Some(version) => Err(AllowMismatch::Version),
            SelectorTarget::Model {
                adapter: Some(adapter),
                ..
            } if !facts.adapters.contains(adapter) => Err(AllowMismatch::Adapter(adapter.clone())),
            SelectorTarget::Model { .. } => Ok(()),
        }
    }
}

impl TargetName {
    fn of_request(target: &RequestTarget) -> Self {
        match target {
            RequestTarget::Model { model, .. } => Self::Model(model.to_string()),
            RequestTarget::Service(service) => Self::Service(service.to_string()),
        }
    }
}
