//! Answer of a retry budget.

use std::time::Duration;

/// Whether a failed attempt may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The retry may start after a delay.
    Granted {
        /// Jittered delay before the retry.
        delay: Duration,
    },
    /// The request must get its final answer now.
    Denied {
        /// When the caller should come back.
        retry_after: Duration,
    },
}
