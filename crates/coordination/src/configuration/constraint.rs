//! Merges the requirements of an expression by key, to find contradictions and implications.

use std::collections::{BTreeMap, BTreeSet};

use super::expression::{LabelExpression, RequirementTest};
use super::label::{LabelKey, LabelValue};

/// All requirements on one key, merged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct KeyConstraint {
    must_exist: bool,
    must_be_absent: bool,
    allowed: Option<BTreeSet<LabelValue>>,
    denied: BTreeSet<LabelValue>,
    above: Option<i64>,
    below: Option<i64>,
}

impl KeyConstraint {
    fn add(&mut self, test: &RequirementTest) {
        match test {
            RequirementTest::Exists => self.must_exist = true,
            RequirementTest::DoesNotExist => self.must_be_absent = true,
            RequirementTest::NotIn(values) => self.denied.extend(values.iter().cloned()),
            RequirementTest::In(values) => {
                self.must_exist = true;
                let allowed = self.allowed.take();
                self.allowed = Some(match allowed {
                    Some(before) => before.intersection(values).cloned().collect(),
                    None => values.clone(),
                });
            }
            RequirementTest::Gt(bound) => {
                self.must_exist = true;
                self.above = Some(self.above.map_or(*bound, |before| before.max(*bound)));
            }
            RequirementTest::Lt(bound) => {
                self.must_exist = true;
                self.below = Some(self.below.map_or(*bound, |before| before.min(*bound)));
            }
        }
    }

    fn admits(&self, value: &LabelValue) -> bool {
        let above = self
            .above
            .is_none_or(|bound| value.as_number().is_some_and(|number| number > bound));
        let below = self
            .below
            .is_none_or(|bound| value.as_number().is_some_and(|number| number < bound));
        above && below && !self.denied.contains(value)
    }

    /// Admitted values; `None` unless an `In` requirement limits them to a finite list.
    fn values(&self) -> Option<Vec<&LabelValue>> {
        let allowed = self.allowed.as_ref()?;
        Some(allowed.iter().filter(|value| self.admits(value)).collect())
    }

    fn is_contradiction(&self) -> bool {
        if self.must_exist && self.must_be_absent {
            return true;
        }
        if let (Some(above), Some(below)) = (self.above, self.below)
            && below <= above.saturating_add(1)
        {
            return true;
        }
        self.values().is_some_and(|values| values.is_empty())
    }

    /// Whether every label that meets this constraint also meets `test`.
    fn implies(&self, test: &RequirementTest) -> bool {
        if self.must_be_absent {
            return matches!(
                test,
                RequirementTest::DoesNotExist | RequirementTest::NotIn(_)
            );
        }
        let all_values = |holds: &dyn Fn(&LabelValue) -> bool| {
            self.values()
                .is_some_and(|values| values.into_iter().all(holds))
        };
        match test {
            RequirementTest::Exists => self.must_exist,
            RequirementTest::DoesNotExist => false,
            RequirementTest::In(listed) => all_values(&|value| listed.contains(value)),
            RequirementTest::NotIn(excluded) => {
                excluded.is_subset(&self.denied) || all_values(&|value| !excluded.contains(value))
            }
            RequirementTest::Gt(bound) => {
                self.above.is_some_and(|above| above >= *bound)
                    || all_values(&|value| value.as_number().is_some_and(|n| n > *bound))
            }
            RequirementTest::Lt(bound) => {
                self.below.is_some_and(|below| below <= *bound)
                    || all_values(&|value| value.as_number().is_some_and(|n| n < *bound))
            }
        }
    }
}

/// Requirements of an expression, merged by key.
#[derive(Clone, Debug, Default)]
pub(super) struct MergedConstraint {
    keys: BTreeMap<LabelKey, KeyConstraint>,
}

impl MergedConstraint {
    pub(super) fn of(expression: &LabelExpression) -> Self {
        let mut merged = Self::default();
        for requirement in expression.requirements() {
            let constraint = merged.keys.entry(requirement.key.clone()).or_default();
            constraint.add(&requirement.test);
        }
        merged
    }

    /// The first key whose requirements contradict each other.
    pub(super) fn contradiction(&self) -> Option<&LabelKey> {
        self.keys
            .iter()
            .find(|(_, constraint)| constraint.is_contradiction())
            .map(|(key, _)| key)
    }

    /// Whether all label sets that meet this constraint also match `other`.
    pub(super) fn implies(&self, other: &LabelExpression) -> bool {
        other.requirements().all(|requirement| {
            self.keys
                .get(&requirement.key)
                .is_some_and(|constraint| constraint.implies(&requirement.test))
        })
    }

    /// Admitted values of `key`; `None` unless the expression limits them to a finite list.
    pub(super) fn values(&self, key: &str) -> Option<Vec<&LabelValue>> {
        self.keys.get(key)?.values()
    }
}
