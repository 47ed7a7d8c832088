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
/// let options = ClaimOptions::default().with_attach_limit(Duration::from_secs(1));
/// assert_eq!(options.attach_limit, Duration::from_secs(1));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimOptions {
    /// Window in which a key can be claimed.
    pub window: KeyWindow,
    /// Longest time from a booking to the dispatch of its call.
    pub claim_limit: Duration,
    /// Longest wait for the outcome of another claim.
    pub attach_limit: Duration,
    /// Age from which an unsettled claim of another host is not waited for.
    pub stale_after: Duration,
    /// Longest wait of one read for a new record.
    pub poll_wait: Duration,
    /// Time for which the log is left alone after a failure.
    pub outage_pause: Duration,
    /// Time for which appends pause after a lost answer.
    pub append_pause: Duration,
    /// Most records of a shard that are read without a search for the first useful one.
    pub short_shard: u64,
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
    pub fn with_claim_limit(mut self, span: impl Into<Duration>) -> Self {
        self.claim_limit = span.into();
        self
    }

    /// Sets the most records of a shard that are read without a search.
    #[must_use]
    pub const fn with_short_shard(mut self, records: u64) -> Self {
        self.short_shard = records;
        self
    }

    /// Sets the longest wait for the outcome of another claim.
    #[must_use]
    pub fn with_attach_limit(mut self, span: impl Into<Duration>) -> Self {
        self.attach_limit = span.into();
        self
    }
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            window: KeyWindow::default(),
            claim_limit: Duration::from_secs(2),
            attach_limit: Duration::from_secs(3),
            stale_after: Duration::from_secs(10),
            poll_wait: Duration::from_millis(500),
            outage_pause: Duration::from_secs(1),
            append_pause: Duration::from_millis(50),
            short_shard: 16,
        }
    }
}
