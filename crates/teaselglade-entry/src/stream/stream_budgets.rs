//! Retry budgets of the model services.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use teaselglade_core::time::Timestamp;
use teaselglade_request::retry::{BudgetLimits, RetryBudget, RetryDecision};

/// Retries that can be saved up: the batch of one server, which is lost as a whole.
const BATCH_RESERVE: f64 = 64.0;

/// Retry budgets of the model services, one for each.
#[derive(Debug, Default)]
pub(crate) struct StreamBudgets {
    budgets: Mutex<HashMap<String, RetryBudget>>,
}

impl StreamBudgets {
    /// Records the first attempt of a request.
    pub(super) fn record_first(&self, service: &str) {
        self.with_budget(service, RetryBudget::record_first);
    }

    /// Decides on a retry.
    pub(super) fn ask(
        &self,
        service: &str,
        now: Timestamp,
        deadline: Timestamp,
        retry: u32,
    ) -> RetryDecision {
        self.with_budget(service, |budget| budget.ask(now, deadline, retry))
    }

    fn with_budget<T>(&self, service: &str, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
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
