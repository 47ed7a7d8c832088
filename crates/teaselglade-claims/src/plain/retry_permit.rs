//! Permission to retry a call.

use std::fmt::Debug;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Decision on a requested retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// The retry may start after a delay.
    Granted {
        /// Delay before the retry.
        delay: Duration,
    },
    /// No retry is permitted; the call ends with a refusal.
    Denied {
        /// Delay after which the caller may send the call again.
        retry_after: Duration,
    },
}

/// Grants or denies retries, for example from a service's retry budget.
pub trait RetryPermit: Debug {
    /// Requests the retry with the given number within its call, from 1.
    fn request_retry(&mut self, now: Timestamp, deadline: Timestamp, retry: u32) -> PermitDecision;
}
