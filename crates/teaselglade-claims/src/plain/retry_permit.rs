//! Permission to retry.

use std::fmt::Debug;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Answer to a request for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// The retry may start after a delay.
    Granted {
        /// Delay before the retry.
        delay: Duration,
    },
    /// The call must get its final answer now.
    Denied {
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// Source of permits, such as a service's retry budget.
pub trait RetryPermit: Debug {
    /// Decides on the retry with the given number within its call, from 1.
    fn request_retry(&mut self, now: Timestamp, deadline: Timestamp, retry: u32) -> PermitDecision;
}
