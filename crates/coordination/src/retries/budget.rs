//! Retry budgets, which bound the retries of a customer or at a service to a small share of its
//! calls.

use std::collections::BTreeMap;

use super::settings::RetrySettings;
use crate::base::{CustomerName, MonotonicTime};
use crate::limits::TokenBucket;

#[derive(Clone, Copy, Debug)]
struct RetryBudget {
    bucket: TokenBucket,
    last_call: MonotonicTime,
}

/// Retry budgets by customer, or by another key `K`.
///
/// Without budgets, each call to a failing service is sent up to the limit of attempts, which
/// multiplies the load of the service when it can handle the least. A budget bounds the total.
#[derive(Clone, Debug)]
pub struct BudgetTable<K = CustomerName> {
    settings: RetrySettings,
    budgets: BTreeMap<K, RetryBudget>,
}

impl<K> BudgetTable<K>
where
    K: Ord + Clone,
{
    /// Starts without budgets; each key begins with a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            budgets: BTreeMap::new(),
        }
    }

    /// Records the first attempt of a call, which adds `budget_ratio` retries to the budget.
    pub fn record_call(&mut self, now: MonotonicTime, key: &K) {
        let ratio = self.settings.budget_ratio;
        let budget = self.find(now, key);
        budget.last_call = now;
        budget.bucket.deposit(ratio);
    }

    /// Takes a retry from the budget; returns false if the budget is used up.
    pub fn take(&mut self, now: MonotonicTime, key: &K) -> bool {
        self.find(now, key).bucket.take(now).is_ok()
    }

    /// Whether the budget allows a retry, without taking it.
    pub fn has_budget(&mut self, now: MonotonicTime, key: &K) -> bool {
        self.find(now, key).bucket.has_token(now)
    }

    /// Applies new settings; saved retries are kept, capped at the new burst.
    pub fn configure(&mut self, now: MonotonicTime, settings: RetrySettings) {
        self.settings = settings;
        for budget in self.budgets.values_mut() {
            let (floor, burst) = (settings.budget_floor, settings.budget_burst);
            budget.bucket.configure(now, floor, burst);
        }
    }

    /// The current settings.
    pub fn settings(&self) -> &RetrySettings {
        &self.settings
    }

    /// Number of keys with a budget.
    pub fn len(&self) -> usize {
        self.budgets.len()
    }

    /// Whether no key has a budget.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    fn find(&mut self, now: MonotonicTime, key: &K) -> &mut RetryBudget {
        let is_full = self.budgets.len() >= self.settings.max_customers.max(1) as usize;
        if is_full && !self.budgets.contains_key(key) {
            self.remove_least_recent();
        }
        let settings = self.settings;
        self.budgets
            .entry(key.clone())
            .or_insert_with(|| RetryBudget {
                bucket: TokenBucket::new(now, settings.budget_floor, settings.budget_burst),
                last_call: now,
            })
    }

    fn remove_least_recent(&mut self) {
        let least_recent = self
            .budgets
            .iter()
            .min_by_key(|(_, budget)| budget.last_call);
        if let Some(key) = least_recent.map(|(key, _)| key.clone()) {
            self.budgets.remove(&key);
        }
    }
}
