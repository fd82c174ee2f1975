//! An accepted configuration, indexed for matching.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use super::canonical::{CanonicalText, ConfigurationDigest};
use super::constraint::MergedConstraint;
use super::facts::{HostFacts, RequestFacts, ServerFacts};
use super::label::{LabelKey, LabelSet, LabelSubject};
use super::label_settings::LabelSettings;
use super::model::{LabelRule, PublishedSource, Selector, SelectorTarget};
use super::parse::ParsedConfiguration;
use crate::base::{CustomerName, Revision};

new_key_type! {
    /// Key of a selector; valid only in its own [`Configuration`].
    pub struct SelectorKey;
    /// Key of a label rule; valid only in its own [`Configuration`].
    pub struct RuleKey;
}

/// One accepted configuration, immutable and indexed for matching.
///
/// Invariant: each selector is in the general list of its target in `index`, or in the lists of the
/// customers that it names; each list is in the order in which selectors are tried.
#[derive(Debug, Default)]
pub struct Configuration {
    revision: Revision,
    canonical: CanonicalText,
    pub(super) selectors: SlotMap<SelectorKey, Arc<Selector>>,
    pub(super) index: SelectorIndex,
    rules: SlotMap<RuleKey, Arc<LabelRule>>,
    rule_index: RuleIndex,
    source: Option<Arc<PublishedSource>>,
}

/// Selectors by target and customer.
#[derive(Debug, Default)]
pub(super) struct SelectorIndex {
    targets: HashMap<TargetName, TargetSelectors>,
}

/// Selectors of one model or service.
#[derive(Debug, Default)]
pub(super) struct TargetSelectors {
    /// Selectors that name customers, listed under each of these customers.
    by_customer: HashMap<CustomerName, Vec<SelectorKey>>,
    /// Selectors for any customer.
    general: Vec<SelectorKey>,
    /// Number of selectors, each counted once.
    pub(super) total: usize,
}

/// Name of a model or service, the first key of the selector index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum TargetName {
    Model(String),
    Service(String),
}

/// Label rules by subject and exact name, or by subject alone for patterns.
#[derive(Debug, Default)]
struct RuleIndex {
    exact: HashMap<(LabelSubject, String), Vec<RuleKey>>,
    patterns: BTreeMap<LabelSubject, Vec<RuleKey>>,
}

impl Configuration {
    /// Indexes a checked configuration.
    pub fn build(revision: Revision, parsed: &ParsedConfiguration) -> Self {
        let mut configuration = Self {
            revision,
            canonical: parsed.canonical().clone(),
            source: parsed.source().cloned(),
            ..Self::default()
        };
        configuration.add_selectors(parsed.selectors().cloned().collect());
        configuration.add_rules(parsed.rules().cloned().collect());
        configuration
    }

    /// Revision of this configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Canonical text of this configuration.
    pub fn canonical(&self) -> &CanonicalText {
        &self.canonical
    }

    /// Digest of the canonical text.
    pub fn digest(&self) -> ConfigurationDigest {
        self.canonical.digest()
    }

    /// The published source, if there is one.
    pub fn source(&self) -> Option<&Arc<PublishedSource>> {
        self.source.as_ref()
    }

    /// The selector of `key`.
    pub fn selector(&self, key: SelectorKey) -> Option<&Selector> {
        self.selectors.get(key).map(AsRef::as_ref)
    }

    /// All selectors, in no particular order.
    pub fn selectors(&self) -> impl Iterator<Item = (SelectorKey, &Selector)> {
        self.selectors
            .iter()
            .map(|(key, selector)| (key, selector.as_ref()))
    }

    /// Number of selectors.
    pub fn selector_count(&self) -> usize {
        self.selectors.len()
    }

    /// Labels that operators set on a customer.
    pub fn customer_labels(&self, customer: &CustomerName) -> LabelSet {
        self.operator_labels(
            LabelSubject::Customer,
            customer.as_str(),
            &LabelSet::default(),
        )
    }

    /// Well-known labels of a customer: limits, weight, priority, deadline.
    pub fn customer_settings(&self, customer: &CustomerName) -> LabelSettings {
        LabelSettings::of(&self.customer_labels(customer))
    }

    /// All labels of a backend server: its announced facts, overridden by operators' labels.
    pub fn server_labels(&self, facts: &ServerFacts) -> LabelSet {
        let mut labels = facts.labels();
        let own = self.operator_labels(LabelSubject::BackendServer, facts.name.as_str(), &labels);
        labels.overlay(&own);
        labels
    }

    /// Well-known labels of a backend server: limits, weight, service state.
    pub fn server_settings(&self, facts: &ServerFacts) -> LabelSettings {
        LabelSettings::of(&self.server_labels(facts))
    }

    /// All labels of a host: its facts, overridden by operators' labels.
    pub fn host_labels(&self, facts: &HostFacts) -> LabelSet {
        let mut labels = facts.labels();
        let own = self.operator_labels(LabelSubject::Host, facts.name.as_str(), &labels);
        labels.overlay(&own);
        labels
    }

    /// All labels of a request: its facts, the labels of its customer under `customer/`, and labels
    /// that operators' rules derive from both.
    pub fn request_labels(&self, facts: &RequestFacts) -> LabelSet {
        let mut labels = facts.labels();
        for (key, value) in self.customer_labels(&facts.customer).iter() {
            if let Some(key) = LabelKey::new(&format!("customer/{key}")) {
                labels.set(key, value.clone());
            }
        }
        let derived = self.operator_labels(LabelSubject::Request, "", &labels);
        labels.overlay(&derived);
        labels
    }

    /// Well-known labels of a request; its own labels override those of its customer.
    pub fn request_settings(&self, facts: &RequestFacts, labels: &LabelSet) -> LabelSettings {
        LabelSettings::of(labels).or(&self.customer_settings(&facts.customer))
    }

    /// Labels of all matching rules; a more specific rule overrides a less specific one.
    fn operator_labels(&self, subject: LabelSubject, name: &str, facts: &LabelSet) -> LabelSet {
        let exact = self.rule_index.exact.get(&(subject, name.to_owned()));
        let patterns = self.rule_index.patterns.get(&subject);
        let keys = patterns
            .into_iter()
            .flatten()
            .chain(exact.into_iter().flatten());
        let mut labels = LabelSet::default();
        for rule in keys.filter_map(|key| self.rules.get(*key)) {
            let name_matches = rule
                .name
                .as_ref()
                .is_none_or(|pattern| pattern.matches(name));
            if name_matches && rule.matching.matches(facts) {
                labels.overlay(&rule.labels);
            }
        }
        labels
    }

    fn add_selectors(&mut self, mut selectors: Vec<Arc<Selector>>) {
        selectors.sort_by(|a, b| a.rank().cmp(&b.rank()));
        for selector in selectors {
            let key = self.selectors.insert(selector.clone());
            self.index.add(key, &selector);
        }
    }

    fn add_rules(&mut self, mut rules: Vec<Arc<LabelRule>>) {
        rules.sort_by(|a, b| (a.specificity(), a).cmp(&(b.specificity(), b)));
        for rule in rules {
            let key = self.rules.insert(rule.clone());
            match &rule.name {
                Some(name) if name.is_exact() => {
                    let exact_key = (rule.subject, name.as_str().to_owned());
                    self.rule_index
                        .exact
                        .entry(exact_key)
                        .or_default()
                        .push(key);
                }
                _ => self
                    .rule_index
                    .patterns
                    .entry(rule.subject)
                    .or_default()
                    .push(key),
            }
        }
    }
}

impl SelectorIndex {
    fn add(&mut self, key: SelectorKey, selector: &Selector) {
        let target = TargetName::of_selector(&selector.target);
        let selectors = self.targets.entry(target).or_default();
        selectors.total += 1;
        let serves = MergedConstraint::of(&selector.serves);
        let Some(customers) = serves.values("customer/name") else {
            selectors.general.push(key);
            return;
        };
        for customer in customers {
            let customer = CustomerName::from(customer.as_str());
            selectors.by_customer.entry(customer).or_default().push(key);
        }
    }

    pub(super) fn target(&self, target: &TargetName) -> Option<&TargetSelectors> {
        self.targets.get(target)
    }
}

impl TargetSelectors {
    /// Selectors that name the customer, and selectors for any customer; both lists are in the
    /// order in which selectors are tried.
    pub(super) fn candidates(&self, customer: &CustomerName) -> (&[SelectorKey], &[SelectorKey]) {
        let own = self
            .by_customer
            .get(customer)
            .map_or(&[][..], Vec::as_slice);
        (own, &self.general)
    }
}

impl TargetName {
    fn of_selector(target: &SelectorTarget) -> Self {
        match target {
            SelectorTarget::Model { model, .. } => Self::Model(model.to_string()),
            SelectorTarget::Service(service) => Self::Service(service.to_string()),
        }
    }
}
