//! Retry budgets: retries of a customer, or at a service, stay a small share of its calls.

use std::collections::BTreeMap;

use super::settings::RetrySettings;
use crate::base::{CustomerName, MonotonicTime};
use crate::limits::TokenBucket;

#[derive(Clone, Copy, Debug)]
struct RetryBudget {
    bucket: TokenBucket,
    last_call: MonotonicTime,
}

/// Budgets by customer, or by whatever else `K` names.
///
/// Without them every caller of a failing service would send each call as often as it may, and the
/// service would meet a multiple of its load just when it can take least. A budget bounds the sum.
#[derive(Clone, Debug)]
pub struct BudgetTable<K = CustomerName> {
    settings: RetrySettings,
    budgets: BTreeMap<K, RetryBudget>,
}

impl<K> BudgetTable<K>
where
    K: Ord + Clone,
{
    /// A table in which everybody starts with a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            budgets: BTreeMap::new(),
        }
    }

    /// Notes the first attempt of a call, which earns a part of a retry.
    pub fn record_call(&mut self, now: MonotonicTime, key: &K) {
        let ratio = self.settings.budget_ratio;
        let budget = self.find(now, key);
        budget.last_call = now;
        budget.bucket.deposit(ratio);
    }

    /// Takes a retry from the budget; false if there is none.
    pub fn take(&mut self, now: MonotonicTime, key: &K) -> bool {
        self.find(now, key).bucket.take(now).is_ok()
    }

    /// Whether the budget allows a retry; takes none.
    pub fn has_budget(&mut self, now: MonotonicTime, key: &K) -> bool {
        self.find(now, key).bucket.has_token(now)
    }

    /// Takes other settings into force; what is saved up stays, within the new burst.
    pub fn configure(&mut self, now: MonotonicTime, settings: RetrySettings) {
        self.settings = settings;
        for budget in self.budgets.values_mut() {
            let (floor, burst) = (settings.budget_floor, settings.budget_burst);
            budget.bucket.configure(now, floor, burst);
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &RetrySettings {
        &self.settings
    }

    /// Keys whose budgets are kept.
    pub fn len(&self) -> usize {
        self.budgets.len()
    }

    /// Whether no budget is kept.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    fn find(&mut self, now: MonotonicTime, key: &K) -> &mut RetryBudget {
        let is_full = self.budgets.len() >= self.settings.max_customers.max(1) as usize;
        if is_full && !self.budgets.contains_key(key) {
            self.forget_quietest();
        }
        let settings = self.settings;
        self.budgets
            .entry(key.clone())
            .or_insert_with(|| RetryBudget {
                bucket: TokenBucket::new(now, settings.budget_floor, settings.budget_burst),
                last_call: now,
            })
    }

    fn forget_quietest(&mut self) {
        let quietest = self
            .budgets
            .iter()
            .min_by_key(|(_, budget)| budget.last_call);
        if let Some(key) = quietest.map(|(key, _)| key.clone()) {
            self.budgets.remove(&key);
        }
    }
}
