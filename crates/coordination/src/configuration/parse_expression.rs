//! Parses `matchLabels` and `matchExpressions`.

use std::collections::BTreeSet;

use super::document::{LocatedEntry, LocatedNode, NodeValue};
use super::expression::{LabelExpression, RequirementTest};
use super::label::{KEY_RULE, LabelKey, LabelValue, VALUE_RULE};
use super::parse::read_pairs;
use super::reader::{FieldReader, LocatedText, texts_of};
use crate::base::{FindingList, Place};

/// Maximum number of requirements in one expression.
const MAX_REQUIREMENTS: usize = 64;
/// Maximum number of values in one requirement.
const MAX_VALUES: usize = 4_096;

/// Parses an expression; an absent one matches everything.
pub(super) fn read_expression(
    entry: Option<LocatedEntry>,
    findings: &mut FindingList,
) -> LabelExpression {
    let mut expression = LabelExpression::default();
    let Some(entry) = entry else {
        return expression;
    };
    let name = entry.key;
    let Some(mut reader) = FieldReader::open(entry.node, &name, findings) else {
        return expression;
    };
    if let Some(entry) = reader.take("matchLabels") {
        for label in read_pairs(entry.node, "matchLabels", findings) {
            let values = BTreeSet::from([label.value]);
            expression.require(label.key, RequirementTest::In(values));
        }
    }
    if let Some(entry) = reader.take("matchExpressions") {
        read_requirements(entry.node, &mut expression, findings);
    }
    let place = reader.place().clone();
    reader.close(findings);
    if expression.len() > MAX_REQUIREMENTS {
        let message = format!("{name} holds {} requirements", expression.len());
        findings.error(place, message, format!("at most {MAX_REQUIREMENTS}"));
    }
    expression
}

fn read_requirements(
    node: LocatedNode,
    expression: &mut LabelExpression,
    findings: &mut FindingList,
) {
    let NodeValue::List(nodes) = node.value else {
        let message = format!("matchExpressions is {}", node.value.kind());
        findings.error(node.place, message, "a list of {key, operator, values}");
        return;
    };
    for node in nodes {
        if let Some((key, test)) = read_requirement(node, findings) {
            expression.require(key, test);
        }
    }
}

fn read_requirement(
    node: LocatedNode,
    findings: &mut FindingList,
) -> Option<(LabelKey, RequirementTest)> {
    let mut reader = FieldReader::open(node, "the requirement", findings)?;
    let key = reader.require_text("key", "a label key", findings);
    let operator = reader.require_text("operator", RequirementTest::NAMES, findings);
    let values = reader
        .take("values")
        .map(|entry| (entry.key_place, texts_of(entry.node, "values", findings)));
    reader.close(findings);
    let key = key.and_then(|text| checked_key(text, findings));
    let test = operator.and_then(|operator| read_test(operator, values, findings));
    Some((key?, test?))
}

fn checked_key(text: LocatedText, findings: &mut FindingList) -> Option<LabelKey> {
    let key = LabelKey::new(&text.text);
    if key.is_none() {
        let message = format!("{} is no label key", text.text);
        findings.error(text.place, message, KEY_RULE);
    }
    key
}

fn read_test(
    operator: LocatedText,
    values: Option<(Place, Option<Vec<LocatedText>>)>,
    findings: &mut FindingList,
) -> Option<RequirementTest> {
    let place = operator.place;
    match operator.text.as_str() {
        "In" => Some(RequirementTest::In(require_values(
            place, values, findings,
        )?)),
        "NotIn" => Some(RequirementTest::NotIn(require_values(
            place, values, findings,
        )?)),
        "Gt" => Some(RequirementTest::Gt(require_number(
            place, values, findings,
        )?)),
        "Lt" => Some(RequirementTest::Lt(require_number(
            place, values, findings,
        )?)),
        "Exists" | "DoesNotExist" if values.is_some() => {
            let message = format!("{} takes no values", operator.text);
            findings.error(values?.0, message, "no values, or In or NotIn");
            None
        }
        "Exists" => Some(RequirementTest::Exists),
        "DoesNotExist" => Some(RequirementTest::DoesNotExist),
        other => {
            let message = format!("there is no operator {other}");
            findings.error(place, message, RequirementTest::NAMES);
            None
        }
    }
}

fn require_values(
    place: Place,
    values: Option<(Place, Option<Vec<LocatedText>>)>,
    findings: &mut FindingList,
) -> Option<BTreeSet<LabelValue>> {
    let expected = format!("values: a list of 1 to {MAX_VALUES} label values");
    let Some((place, texts)) = values else {
        findings.error(place, "values is missing", expected);
        return None;
    };
    let texts = texts?;
    if texts.is_empty() || texts.len() > MAX_VALUES {
        findings.error(place, format!("values holds {}", texts.len()), expected);
        return None;
    }
    let mut checked = BTreeSet::new();
    for text in texts {
        match LabelValue::new(&text.text) {
            Some(value) => {
                checked.insert(value);
            }
            None => findings.error(text.place, "this is no label value", VALUE_RULE),
        }
    }
    Some(checked)
}

fn require_number(
    place: Place,
    values: Option<(Place, Option<Vec<LocatedText>>)>,
    findings: &mut FindingList,
) -> Option<i64> {
    let expected = "values: a list of one whole number";
    let Some((place, texts)) = values else {
        findings.error(place, "values is missing", expected);
        return None;
    };
    let texts = texts?;
    let number = match texts.as_slice() {
        [text] => text.text.parse().ok(),
        _ => None,
    };
    if number.is_none() {
        findings.error(place, "the bound is no whole number", expected);
    }
    number
}
