//! Decision of a retry budget.

use std::time::Duration;

/// States whether a failed attempt may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The retry may start after a delay.
    Granted {
        /// Jittered delay before the retry.
        delay: Duration,
    },
    /// The request must be refused now.
    Denied {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}
