//! Bound on the rate of explanations.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Shortest interval between two explanations, each of which looks at all servers.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Bounds the rate of explanations, so that they take no time from requests.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_host::explain::QueryLimiter;
///
/// let mut limiter = QueryLimiter::default();
/// assert!(limiter.try_start(Timestamp::from_millis(1_000)));
/// assert!(!limiter.try_start(Timestamp::from_millis(1_099)));
/// assert!(limiter.try_start(Timestamp::from_millis(1_100)));
/// ```
#[derive(Debug, Default)]
pub struct QueryLimiter {
    next_at: Timestamp,
}

impl QueryLimiter {
    /// Returns whether an explanation may start now, and counts it if so.
    pub fn try_start(&mut self, now: Timestamp) -> bool {
        let may_start = now >= self.next_at;
        if may_start {
            self.next_at = now + MIN_INTERVAL;
        }
        may_start
    }
}
