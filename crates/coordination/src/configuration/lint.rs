//! Warns about selectors that never serve a request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::checked::{CheckedDocument, DocumentContent};
use super::constraint::MergedConstraint;
use super::expression::{LabelExpression, RequirementTest};
use super::label::{LabelKey, LabelValue};
use super::model::{Selector, SelectorTarget};
use crate::base::{FindingList, Place};

const CUSTOMER_NAME: &str = "customer/name";

struct LintedSelector<'a> {
    selector: &'a Selector,
    place: &'a Place,
    serves: MergedConstraint,
}

/// Adds a warning for each selector that matches nothing, or whose requests an earlier selector all
/// serves.
pub(super) fn warn_selectors(
    documents: &[Arc<CheckedDocument>],
    places: &[Place],
    findings: &mut FindingList,
) {
    let mut by_target: BTreeMap<String, Vec<LintedSelector<'_>>> = BTreeMap::new();
    for (document, place) in documents.iter().zip(places) {
        let DocumentContent::Selector(selector) = &document.content else {
            continue;
        };
        let serves = MergedConstraint::of(&with_target_requirements(selector));
        if let Some(reason) = never_matches(selector, &serves) {
            let message = format!("selector {} never matches: {reason}", selector.name);
            findings.warning(
                place.clone(),
                message,
                "requirements that can hold together",
            );
            continue;
        }
        let linted = LintedSelector {
            selector,
            place,
            serves,
        };
        let target = selector.target.to_string();
        by_target.entry(target).or_default().push(linted);
    }
    for mut group in by_target.into_values() {
        group.sort_by(|a, b| a.selector.rank().cmp(&b.selector.rank()));
        warn_shadowed(&group, findings);
    }
}

/// Requirements of a selector on requests, with those that its target implies.
fn with_target_requirements(selector: &Selector) -> LabelExpression {
    let (key, name) = match &selector.target {
        SelectorTarget::Model { model, .. } => ("request/model", model.as_str()),
        SelectorTarget::Service(service) => ("request/service", service.as_str()),
    };
    let mut expression = selector.serves.clone();
    if let (Some(key), Some(value)) = (LabelKey::new(key), LabelValue::new(name)) {
        expression.require(key, RequirementTest::In(BTreeSet::from([value])));
    }
    if let Some(customer) = LabelKey::new(CUSTOMER_NAME) {
        expression.require(customer, RequirementTest::Exists);
    }
    expression
}

/// Reason why the selector matches no request or allows no backend server; `None` if there is none.
fn never_matches(selector: &Selector, serves: &MergedConstraint) -> Option<String> {
    if let Some(key) = serves.contradiction() {
        return Some(format!("no request meets all that for says of {key}"));
    }
    let allows = MergedConstraint::of(&selector.allows);
    if let Some(key) = allows.contradiction() {
        return Some(format!(
            "no backend server meets all that allow says of {key}"
        ));
    }
    let (announced, name) = match &selector.target {
        SelectorTarget::Model { model, .. } => ("announced/model", model.as_str()),
        SelectorTarget::Service(service) => ("announced/service", service.as_str()),
    };
    let offered = allows.values(announced)?;
    let excluded = offered.iter().all(|value| value.as_str() != name);
    excluded.then(|| format!("allow asks for another {announced} than {name}"))
}

/// Warns of each selector whose requests are all served by an earlier one.
///
/// Only a selector for all customers, or one that names every customer of `later`, can shadow it.
/// The second kind is found under the first customer of `later`.
fn warn_shadowed(selectors: &[LintedSelector<'_>], findings: &mut FindingList) {
    let mut general: Vec<&LintedSelector<'_>> = Vec::new();
    let mut by_customer: BTreeMap<&LabelValue, Vec<&LintedSelector<'_>>> = BTreeMap::new();
    for later in selectors {
        let customers = later.serves.values(CUSTOMER_NAME).unwrap_or_default();
        let own = customers.first().and_then(|first| by_customer.get(*first));
        let mut candidates = own.into_iter().flatten().chain(&general);
        let earlier = candidates.find(|earlier| shadows(earlier, later));
        if let Some(earlier) = earlier {
            let message = format!(
                "selector {} is shadowed: {} stands before it and takes all of its requests",
                later.selector.name, earlier.selector.name
            );
            let expected = "a lower order, or a for that the earlier one does not take";
            findings.warning(later.place.clone(), message, expected);
        }
        if customers.is_empty() {
            general.push(later);
        }
        for customer in customers {
            by_customer.entry(customer).or_default().push(later);
        }
    }
}

/// Whether `earlier` serves every request that `later` matches.
fn shadows(earlier: &LintedSelector<'_>, later: &LintedSelector<'_>) -> bool {
    serves_adapters_of(&earlier.selector.target, &later.selector.target)
        && later.serves.implies(&earlier.selector.serves)
}

/// Whether `earlier` serves every adapter that `later` serves. A selector with an adapter serves
/// requests that name that adapter or none; one without serves only requests that name none.
fn serves_adapters_of(earlier: &SelectorTarget, later: &SelectorTarget) -> bool {
    let adapter = |target: &SelectorTarget| match target {
        SelectorTarget::Model { adapter, .. } => adapter.clone(),
        SelectorTarget::Service(_) => None,
    };
    let later = adapter(later);
    later.is_none() || adapter(earlier) == later
}
