//! Retry budgets of the services, model and plain alike.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use teaselglade_request::retry::{BudgetLimits, RetryBudget};

/// Retry budgets of the services, one for each.
///
/// All hold to the same limits: a larger reserve at each host would let a fault of the whole fleet
/// multiply its load.
#[derive(Debug, Default)]
pub(crate) struct ServiceBudgets {
    budgets: Mutex<HashMap<String, RetryBudget>>,
}

impl ServiceBudgets {
    /// Applies a change to a service's budget.
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
