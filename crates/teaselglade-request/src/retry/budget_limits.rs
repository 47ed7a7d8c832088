//! Limits of a retry budget.

use std::time::Duration;

/// Limits of a retry budget.
///
/// First attempts `n` allow at most `n * ratio + reserve` retries. With the default values a host
/// that sees 30 first attempts during a fault sends at most 1.2 times as many attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries earned by one first attempt.
    pub ratio: f64,
    /// Most retries that can be saved up.
    pub reserve: f64,
    /// Longest delay before the first retry of a request; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest delay before any retry.
    pub max_backoff: Duration,
    /// Shortest time after which a refused caller should come back.
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
