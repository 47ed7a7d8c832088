//! Timeouts and limits of keyed calls.

use std::time::Duration;

use crate::key::KeyWindow;

/// Timeouts and limits of keyed calls.
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
    /// Window of key ages in which a key can be claimed.
    pub window: KeyWindow,
    /// Longest time from the submission of a call to its dispatch.
    ///
    /// Starts again once another claim that the call waited for is withdrawn.
    pub claim_timeout: Duration,
    /// Longest wait for the outcome of another claim of the key.
    pub outcome_timeout: Duration,
    /// Age from which an unsettled claim is no longer waited for.
    pub stale_claim_age: Duration,
    /// Longest wait of a long-poll read for a new record.
    pub poll_timeout: Duration,
    /// Pause of all log access after a failed read or a refused append.
    pub outage_backoff: Duration,
    /// Pause of appends after one whose result is unknown.
    pub append_backoff: Duration,
    /// Most records to read before the first relevant one, instead of a search.
    pub max_scan_records: u64,
}

impl ClaimOptions {
    /// Sets the window of key ages in which a key can be claimed.
    #[must_use]
    pub const fn with_window(mut self, window: KeyWindow) -> Self {
        self.window = window;
        self
    }

    /// Sets the longest time from the submission of a call to its dispatch.
    #[must_use]
    pub fn with_claim_timeout(mut self, timeout: impl Into<Duration>) -> Self {
        self.claim_timeout = timeout.into();
        self
    }

    /// Sets the most records that are read before the first relevant one.
    #[must_use]
    pub const fn with_max_scan_records(mut self, records: u64) -> Self {
        self.max_scan_records = records;
        self
    }

    /// Sets the longest wait for the outcome of another claim of the key.
    #[must_use]
    pub fn with_outcome_timeout(mut self, timeout: impl Into<Duration>) -> Self {
        self.outcome_timeout = timeout.into();
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
