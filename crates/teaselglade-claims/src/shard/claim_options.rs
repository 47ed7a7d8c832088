//! Limits of the claims' decisions.

use std::time::Duration;

use crate::key::KeyWindow;

/// Limits of the claims' decisions.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_claims::shard::ClaimOptions;
///
/// let options = ClaimOptions::default().with_outcome_timeout(Duration::from_secs(1));
/// assert_eq!(options.outcome_timeout, Duration::from_secs(1));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimOptions {
    /// Window in which a key can be claimed.
    pub window: KeyWindow,
    /// Longest time from a booking to the dispatch of its call.
    pub claim_timeout: Duration,
    /// Longest wait for the outcome of another claim.
    pub outcome_timeout: Duration,
    /// Age from which an unsettled claim of another host is not waited for.
    pub stale_claim_age: Duration,
    /// Longest wait of one read for a new record.
    pub poll_timeout: Duration,
    /// Time for which the log is left alone after a failure.
    pub outage_backoff: Duration,
    /// Time for which appends pause after a lost answer.
    pub append_backoff: Duration,
    /// Most records of a shard that are read without a search for the first useful one.
    pub max_scan_records: u64,
}

impl ClaimOptions {
    /// Sets the window in which a key can be claimed.
    #[must_use]
    pub const fn with_window(mut self, window: KeyWindow) -> Self {
        self.window = window;
        self
    }

    /// Sets the longest time from a booking to the dispatch of its call.
    #[must_use]
    pub fn with_claim_timeout(mut self, span: impl Into<Duration>) -> Self {
        self.claim_timeout = span.into();
        self
    }

    /// Sets the most records of a shard that are read without a search.
    #[must_use]
    pub const fn with_max_scan_records(mut self, records: u64) -> Self {
        self.max_scan_records = records;
        self
    }

    /// Sets the longest wait for the outcome of another claim.
    #[must_use]
    pub fn with_outcome_timeout(mut self, span: impl Into<Duration>) -> Self {
        self.outcome_timeout = span.into();
        self
    }
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            window: KeyWindow::default(),
            claim_timeout: Duration::from_secs(2),
            outcome_timeout: Duration::from_secs(3),
            stale_claim_age: Duration::from_secs(10),
            poll_timeout: Duration::from_millis(500),
            outage_backoff: Duration::from_secs(1),
            append_backoff: Duration::from_millis(50),
            max_scan_records: 16,
        }
    }
}
