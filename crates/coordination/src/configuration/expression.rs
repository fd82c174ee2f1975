//! Label expressions in the manner of Kubernetes: all requirements must hold.

use std::collections::BTreeSet;
use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::label::{LabelKey, LabelSet, LabelValue};

/// How a requirement compares the label's value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RequirementTest {
    /// The label exists and its value is one of these.
    In(BTreeSet<LabelValue>),
    /// The label is absent, or its value is none of these.
    NotIn(BTreeSet<LabelValue>),
    /// The label exists.
    Exists,
    /// The label is absent.
    DoesNotExist,
    /// The label's value is a whole number above this one.
    Gt(i64),
    /// The label's value is a whole number below this one.
    Lt(i64),
}

impl RequirementTest {
    /// All operators, in the words of an error.
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
            Self::In(values) => write!(formatter, "In [{}]", listed(values)),
            Self::NotIn(values) => write!(formatter, "NotIn [{}]", listed(values)),
            Self::Exists => formatter.write_str("Exists"),
            Self::DoesNotExist => formatter.write_str("DoesNotExist"),
            Self::Gt(bound) => write!(formatter, "Gt {bound}"),
            Self::Lt(bound) => write!(formatter, "Lt {bound}"),
        }
    }
}

fn listed(values: &BTreeSet<LabelValue>) -> String {
    let texts: Vec<&str> = values.iter().map(LabelValue::as_str).collect();
    texts.join(", ")
}

/// One requirement on one label.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{key} {test}")]
pub struct Requirement {
    /// Label that is compared.
    pub key: LabelKey,
    /// How.
    pub test: RequirementTest,
}

/// All of these requirements must hold; none holds for everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelExpression {
    /// Sorted and without repeats, so that equal expressions compare equal.
    requirements: BTreeSet<Requirement>,
}

/// The requirement that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mismatch {
    /// What was required.
    pub requirement: Requirement,
    /// The value that was found; `None` where the label is absent.
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
    /// Adds a requirement.
    pub fn require(&mut self, key: LabelKey, test: RequirementTest) {
        self.requirements.insert(Requirement { key, test });
    }

    /// The requirements in order.
    pub fn requirements(&self) -> impl Iterator<Item = &Requirement> {
        self.requirements.iter()
    }

    /// Whether everything matches.
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

    /// The first requirement that `labels` do not meet.
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
