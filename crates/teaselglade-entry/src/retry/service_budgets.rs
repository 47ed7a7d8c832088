//! Retry budgets of model and plain services.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use teaselglade_request::retry::{BudgetLimits, RetryBudget};

/// Holds one retry budget per service.
///
/// All budgets have the same limits: with a larger reserve at each host, retries could multiply
/// the load during a fault of the whole fleet.
#[derive(Debug, Default)]
pub(crate) struct ServiceBudgets {
    budgets: Mutex<HashMap<String, RetryBudget>>,
}

impl ServiceBudgets {
    /// Calls `change` with the budget of a service, which is created if it is missing.
    pub(crate) fn with_budget<T>(
        &self,
        service: &str,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let seed = u64::from(std::process::id());
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(BudgetLimits::default(), seed));
        change(budget)
    }
}
