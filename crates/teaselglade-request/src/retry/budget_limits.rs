//! Limits of a retry budget.

use std::time::Duration;

/// Limits the retries that a budget grants.
///
/// After `n` first attempts at most `n * ratio + reserve` retries are granted. With the default
/// values a host that starts 30 first attempts during a fault sends at most 1.2 times as many
/// attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries that each first attempt adds to the budget.
    pub ratio: f64,
    /// Limit of unused retries in the budget.
    pub reserve: f64,
    /// Maximum delay before the first retry of a request; doubles with each further retry.
    pub initial_backoff: Duration,
    /// Maximum delay before any retry.
    pub max_backoff: Duration,
    /// Minimum delay after which a refused caller should retry.
    pub min_retry_after: Duration,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            reserve: 3.0,
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_millis(500),
            min_retry_after: Duration::from_secs(1),
        }
    }
}
