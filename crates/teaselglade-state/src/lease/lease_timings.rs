//! Durations that govern a lease.

use std::time::Duration;

/// Durations that govern a lease, the same on every host of a data centre.
///
/// A holder acts for at most `term - margin` after it sent a renewal; a rival claims the lease
/// after `takeover_wait` without a record. The wait exceeds the term, which tolerates clocks that
/// run at different rates.
///
/// # Examples
///
/// ```
/// use teaselglade_state::lease::LeaseTimings;
///
/// let timings = LeaseTimings::default();
/// assert!(timings.takeover_wait > timings.term);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimings {
    /// Validity of one renewal, counted from just before it was sent.
    pub term: Duration,
    /// Last part of the term, in which the holder no longer acts.
    pub margin: Duration,
    /// Interval between renewals.
    pub renew_interval: Duration,
    /// Time without a record of other processes after which a rival claims the lease.
    pub takeover_wait: Duration,
    /// Maximum random delay that a rival adds to `takeover_wait`.
    pub takeover_jitter: Duration,
    /// Interval between reads while no append is unconfirmed.
    pub read_interval: Duration,
    /// Interval between reads while an append is unconfirmed.
    pub resolve_interval: Duration,
}

impl Default for LeaseTimings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(15),
            margin: Duration::from_secs(3),
            renew_interval: Duration::from_secs(4),
            takeover_wait: Duration::from_secs(20),
            takeover_jitter: Duration::from_secs(2),
            read_interval: Duration::from_secs(5),
            resolve_interval: Duration::from_secs(1),
        }
    }
}

impl LeaseTimings {
    /// Divides all durations by `divisor`; for tests and the demo.
    #[must_use]
    pub fn shortened(self, divisor: u32) -> Self {
        Self {
            term: self.term / divisor,
            margin: self.margin / divisor,
            renew_interval: self.renew_interval / divisor,
            takeover_wait: self.takeover_wait / divisor,
            takeover_jitter: self.takeover_jitter / divisor,
            read_interval: self.read_interval / divisor,
            resolve_interval: self.resolve_interval / divisor,
        }
    }
}
