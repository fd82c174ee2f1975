//! Label expressions with the operators of Kubernetes; all requirements must hold.

use std::collections::BTreeSet;
use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::label::{LabelKey, LabelSet, LabelValue};

/// Operator of a requirement and its operands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RequirementTest {
    /// The label exists and its value is in the set.
    In(BTreeSet<LabelValue>),
    /// The label is absent or its value is not in the set.
    NotIn(BTreeSet<LabelValue>),
    /// The label exists.
    Exists,
    /// The label is absent.
    DoesNotExist,
    /// The label's value is an integer greater than the bound.
    Gt(i64),
    /// The label's value is an integer less than the bound.
    Lt(i64),
}

impl RequirementTest {
    /// All operators, as error messages list them.
    pub(super) const NAMES: &str = "In, NotIn, Exists, DoesNotExist, Gt or Lt";

    fn holds(&self, value: Option<&LabelValue>) -> bool {
        match (self, value) {
            (Self::In(values), Some(value)) => values.contains(value),
            (Self::NotIn(values), Some(value)) => !values.contains(value),
            (Self::Gt(bound), Some(value)) => value.as_number().is_some_and(|n| n > *bound),
            (Self::Lt(bound), Some(value)) => value.as_number().is_some_and(|n| n < *bound),
            (Self::Exists, present) => present.is_some(),
            (Self::DoesNotExist, present) => present.is_none(),
            (Self::NotIn(_), None) => true,
            (_, None) => false,
        }
    }
}

impl fmt::Display for RequirementTest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::In(values) => write!(formatter, "In [{}]", join_values(values)),
            Self::NotIn(values) => write!(formatter, "NotIn [{}]", join_values(values)),
            Self::Exists => formatter.write_str("Exists"),
            Self::DoesNotExist => formatter.write_str("DoesNotExist"),
            Self::Gt(bound) => write!(formatter, "Gt {bound}"),
            Self::Lt(bound) => write!(formatter, "Lt {bound}"),
        }
    }
}

fn join_values(values: &BTreeSet<LabelValue>) -> String {
    let texts: Vec<&str> = values.iter().map(LabelValue::as_str).collect();
    texts.join(", ")
}

/// A requirement on one label.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{key} {test}")]
pub struct Requirement {
    /// Key of the label.
    pub key: LabelKey,
    /// Test of its value.
    pub test: RequirementTest,
}

/// Requirements that must all hold; an empty expression matches every label set.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelExpression {
    /// Sorted and without duplicates, so that equal expressions compare equal.
    requirements: BTreeSet<Requirement>,
}

/// A requirement that does not hold, and the value found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mismatch {
    /// The requirement.
    pub requirement: Requirement,
    /// Value of the label; `None` if the label is absent.
    pub found: Option<LabelValue>,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.found {
            Some(found) => write!(formatter, "{}, but it is {found}", self.requirement),
            None => write!(formatter, "{}, but it is absent", self.requirement),
        }
    }
}

impl LabelExpression {
    /// Adds a requirement on the label `key`.
    pub fn require(&mut self, key: LabelKey, test: RequirementTest) {
        self.requirements.insert(Requirement { key, test });
    }

    /// The requirements in their sorted order.
    pub fn requirements(&self) -> impl Iterator<Item = &Requirement> {
        self.requirements.iter()
    }

    /// Whether there are no requirements, so that every label set matches.
    pub fn is_empty(&self) -> bool {
        self.requirements.is_empty()
    }

    /// Number of requirements.
    pub fn len(&self) -> usize {
        self.requirements.len()
    }

    /// Whether all requirements hold for `labels`.
    pub fn matches(&self, labels: &LabelSet) -> bool {
        self.mismatch(labels).is_none()
    }

    /// The first requirement that `labels` does not meet.
    pub fn mismatch(&self, labels: &LabelSet) -> Option<Mismatch> {
        let failed = self
            .requirements
            .iter()
            .find(|requirement| !requirement.test.holds(labels.get(requirement.key.as_str())))?;
        Some(Mismatch {
            requirement: failed.clone(),
            found: labels.get(failed.key.as_str()).cloned(),
        })
    }
}
