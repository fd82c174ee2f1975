//! Retry budgets: retries of a customer stay a small share of its calls.

use std::collections::BTreeMap;

use super::settings::RetrySettings;
use crate::base::{CustomerName, MonotonicTime};
use crate::limits::TokenBucket;

#[derive(Clone, Copy, Debug)]
struct CustomerBudget {
    bucket: TokenBucket,
    last_call: MonotonicTime,
}

/// Budgets by customer.
///
/// Without them every caller of a failing service would send each call as often as it may, and the
/// service would meet a multiple of its load just when it can take least. A budget bounds the sum.
#[derive(Clone, Debug)]
pub struct BudgetTable {
    settings: RetrySettings,
    budgets: BTreeMap<CustomerName, CustomerBudget>,
}

impl BudgetTable {
    /// A table in which every customer starts with a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            budgets: BTreeMap::new(),
        }
    }

    /// Notes the first attempt of a call, which earns a part of a retry.
    pub fn called(&mut self, now: MonotonicTime, customer: &CustomerName) {
        let ratio = self.settings.budget_ratio;
        let budget = self.find(now, customer);
        budget.last_call = now;
        budget.bucket.deposit(ratio);
    }

    /// Takes a retry from the budget; false if there is none.
    pub fn take(&mut self, now: MonotonicTime, customer: &CustomerName) -> bool {
        self.find(now, customer).bucket.take(now).is_ok()
    }

    /// The settings in force.
    pub fn settings(&self) -> &RetrySettings {
        &self.settings
    }

    /// Customers whose budgets are kept.
    pub fn len(&self) -> usize {
        self.budgets.len()
    }

    /// Whether no budget is kept.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    fn find(&mut self, now: MonotonicTime, customer: &CustomerName) -> &mut CustomerBudget {
        let is_full = self.budgets.len() >= self.settings.max_customers.max(1) as usize;
        if is_full && !self.budgets.contains_key(customer) {
            self.forget_quietest();
        }
        let settings = self.settings;
        self.budgets
            .entry(customer.clone())
            .or_insert_with(|| CustomerBudget {
                bucket: TokenBucket::new(now, settings.budget_floor, settings.budget_burst),
                last_call: now,
            })
    }

    fn forget_quietest(&mut self) {
        let quietest = self
            .budgets
            .iter()
            .min_by_key(|(_, budget)| budget.last_call);
        if let Some(customer) = quietest.map(|(customer, _)| customer.clone()) {
            self.budgets.remove(&customer);
        }
    }
}
