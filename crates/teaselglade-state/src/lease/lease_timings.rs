//! Times of a lease.

use std::time::Duration;

/// Times of a lease, the same for every host of a data centre.
///
/// A holder acts for at most `term - margin` after it sent the renewal; a rival claims after
/// `takeover_wait` without a record. The wait is longer than the term, so clocks that run at
/// different speeds do no harm.
///
/// # Examples
///
/// ```
/// use teaselglade_state::lease::LeaseTimings;
///
/// let terms = LeaseTimings::default();
/// assert!(terms.takeover_wait > terms.term);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimings {
    /// Time that one renewal is good for, counted from before it was sent.
    pub term: Duration,
    /// Part of the term in which the holder starts nothing new.
    pub margin: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Time without a record after which a rival claims the lease.
    pub takeover_wait: Duration,
    /// Longest random time that a rival adds to its wait.
    pub takeover_jitter: Duration,
    /// Time between two reads of a host without the lease.
    pub read_interval: Duration,
    /// Time between two reads while an append is unresolved.
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
    /// Divides all times by `divisor`; for tests and the demo.
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
