//! Retry permit of a plain service.

use teaselglade_claims::plain::{PermitDecision, RetryPermit};
use teaselglade_core::time::Timestamp;
use teaselglade_request::retry::RetryDecision;

use crate::retry::ServiceBudgets;

/// Requests retries from the retry budget of one plain service.
#[derive(Debug)]
pub(super) struct ServicePermit<'a> {
    budgets: &'a ServiceBudgets,
    service: &'a str,
}

impl<'a> ServicePermit<'a> {
    /// Creates the permit of a service.
    pub(super) const fn new(budgets: &'a ServiceBudgets, service: &'a str) -> Self {
        Self { budgets, service }
    }
}

impl RetryPermit for ServicePermit<'_> {
    fn request_retry(&mut self, now: Timestamp, deadline: Timestamp, retry: u32) -> PermitDecision {
        let decision = self.budgets.with_budget(self.service, |budget| {
            budget.request_retry(now, deadline, retry)
        });
        match decision {
            RetryDecision::Granted { delay } => PermitDecision::Granted { delay },
            RetryDecision::Denied { retry_after } => PermitDecision::Denied { retry_after },
        }
    }
}
