//! Final response to a request that gets no result.

use std::fmt;
use std::time::Duration;

use super::{ExecutionVerdict, RefusalReason};

/// Final response to a request that gets no result.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
///
/// let refusal = RequestRefusal::not_run(RefusalReason::OverLimit, "draft-fleet: 20 requests/s")
///     .retry_after(Duration::from_millis(250));
/// assert_eq!(refusal.verdict, ExecutionVerdict::NotRun);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Whether the request may have run.
    pub verdict: ExecutionVerdict,
    /// Why there is no result.
    pub reason: RefusalReason,
    /// Human-readable description of what was wrong.
    pub detail: String,
    /// Delay before a retry, counted from the response; `None` if a retry cannot help.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self::with_verdict(ExecutionVerdict::NotRun, reason, detail)
    }

    /// Creates the refusal of a request with the given verdict.
    pub fn with_verdict(
        verdict: ExecutionVerdict,
        reason: RefusalReason,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            verdict,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Takes into account that earlier attempts of the request may have run.
    ///
    /// Then there is no retry delay either, as the caller must not take the request for unrun.
    #[must_use]
    pub fn after_attempts(mut self, verdict: ExecutionVerdict) -> Self {
        self.verdict = self.verdict.and(verdict);
        if self.verdict != ExecutionVerdict::NotRun {
            self.retry_after = None;
        }
        self
    }

    /// Sets the delay after which the caller should retry.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl fmt::Display for RequestRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.reason, self.detail)
    }
}

impl std::error::Error for RequestRefusal {}
