//! Retry budgets of the model services.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use teaselglade_request::retry::{BudgetLimits, RetryBudget};

/// Retries that can be saved up: the batch of one server, which is lost as a whole.
const BATCH_RESERVE: f64 = 64.0;

/// Retry budgets of the model services, one for each.
#[derive(Debug, Default)]
pub(crate) struct StreamBudgets {
    budgets: Mutex<HashMap<String, RetryBudget>>,
}

impl StreamBudgets {
    /// Applies a change to a service's budget.
    pub(super) fn with_budget<T>(
        &self,
        service: &str,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let seed = u64::from(std::process::id());
        let limits = BudgetLimits {
            reserve: BATCH_RESERVE,
            ..BudgetLimits::default()
        };
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(limits, seed));
        change(budget)
    }
}
