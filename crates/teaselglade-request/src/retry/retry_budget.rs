//! Retry budget, which bounds the load that retries add.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::fault_scope::FaultScope;
use super::{BudgetLimits, RetryDecision};

const MAX_BACKOFF_SHIFT: u32 = 16;

/// Limits the retries of one service at one entry host.
///
/// Only idempotent work may request a retry. A retry is denied if the budget is spent or if its
/// delay would reach the deadline.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_request::retry::{BudgetLimits, RetryBudget, RetryDecision};
///
/// let limits = BudgetLimits { reserve: 1.0, ..BudgetLimits::default() };
/// let mut budget = RetryBudget::new(limits, 7);
/// budget.record_first_attempt();
/// let now = Timestamp::from_millis(0);
/// let deadline = Timestamp::from_millis(5_000);
/// assert!(matches!(budget.request_retry(now, deadline, 1), RetryDecision::Granted { .. }));
/// assert!(matches!(budget.request_retry(now, deadline, 1), RetryDecision::Denied { .. }));
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: BudgetLimits,
    random: Pcg32,
    /// Retries that the budget currently allows.
    balance: f64,
    scope: FaultScope,
    granted: u64,
    denied: u64,
}

impl RetryBudget {
    /// Creates a budget with a full reserve.
    #[must_use]
    pub fn new(limits: BudgetLimits, seed: u64) -> Self {
        Self {
            limits,
            random: Pcg32::seed_from_u64(seed),
            balance: limits.reserve,
            scope: FaultScope::default(),
            granted: 0,
            denied: 0,
        }
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.limits.ratio).min(self.limits.reserve);
    }

    /// Records that an attempt at a server made progress.
    pub fn record_progress(&mut self, now: Timestamp, server: ServerKey) {
        self.scope.record_progress(now, server);
    }

    /// Decides on the retry of an attempt that was lost at a server.
    ///
    /// While only that server loses attempts and another server makes progress, the fault is not
    /// one of the service, and the retry does not spend the budget.
    pub fn request_retry_after_loss(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        retry: u32,
        lost: ServerKey,
    ) -> RetryDecision {
        self.scope.record_loss(now, lost);
        let delay = self.delay(retry);
        if !self.scope.is_single_server_fault(now, lost) || now + delay >= deadline {
            return self.request_retry(now, deadline, retry);
        }
        self.granted += 1;
        RetryDecision::Granted { delay }
    }

    /// Decides on a retry, given its number within the request, from 1.
    pub fn request_retry(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        retry: u32,
    ) -> RetryDecision {
        let delay = self.delay(retry);
        if self.balance < 1.0 || now + delay >= deadline {
            return self.deny();
        }
        self.balance -= 1.0;
        self.granted += 1;
        RetryDecision::Granted { delay }
    }

    /// Returns whether the budget has a retry left.
    #[must_use]
    pub fn has_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Returns the number of granted retries.
    #[must_use]
    pub const fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns the number of denied retries.
    #[must_use]
    pub const fn denied(&self) -> u64 {
        self.denied
    }

    fn deny(&mut self) -> RetryDecision {
        self.denied += 1;
        let jitter = self.random.random_range(1.0..2.0);
        RetryDecision::Denied {
            retry_after: self.limits.min_retry_after.mul_f64(jitter),
        }
    }

    fn delay(&mut self, retry: u32) -> Duration {
        let shift = retry.saturating_sub(1).min(MAX_BACKOFF_SHIFT);
        let max_delay = self.limits.initial_backoff.saturating_mul(1 << shift);
        let max_delay = max_delay.min(self.limits.max_backoff);
        max_delay.mul_f64(self.random.random_range(0.0..=1.0))
    }
}
