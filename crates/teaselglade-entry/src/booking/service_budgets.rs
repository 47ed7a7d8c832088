//! Retry budgets of the plain services.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use teaselglade_claims::plain::{PermitDecision, RetryPermit};
use teaselglade_core::time::Timestamp;
use teaselglade_request::retry::{BudgetLimits, RetryBudget, RetryDecision};

/// Retry budgets of the plain services, one for each.
#[derive(Debug, Default)]
pub(super) struct ServiceBudgets {
    budgets: Mutex<HashMap<String, RetryBudget>>,
}

impl ServiceBudgets {
    /// Records the first attempt of a call.
    pub(super) fn record_first(&self, service: &str) {
        let mut budgets = self.lock();
        budget(&mut budgets, service).record_first();
    }

    /// Returns the permit of one service.
    pub(super) const fn permit<'a>(&'a self, service: &'a str) -> ServicePermit<'a> {
        ServicePermit {
            budgets: self,
            service,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, RetryBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permit of one service.
#[derive(Debug)]
pub(super) struct ServicePermit<'a> {
    budgets: &'a ServiceBudgets,
    service: &'a str,
}

impl RetryPermit for ServicePermit<'_> {
    fn ask(&mut self, now: Timestamp, deadline: Timestamp, retry: u32) -> PermitDecision {
        let mut budgets = self.budgets.lock();
        match budget(&mut budgets, self.service).ask(now, deadline, retry) {
            RetryDecision::Granted { delay } => PermitDecision::Granted { delay },
            RetryDecision::Denied { retry_after } => PermitDecision::Denied { retry_after },
        }
    }
}

fn budget<'a>(budgets: &'a mut HashMap<String, RetryBudget>, service: &str) -> &'a mut RetryBudget {
    let seed = u64::from(std::process::id());
    budgets
        .entry(service.to_owned())
        .or_insert_with(|| RetryBudget::new(BudgetLimits::default(), seed))
}
