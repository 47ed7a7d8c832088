//! Credit of one host for requests to a version on trial.

/// Credit of one host for requests to a version on trial.
///
/// The host sends the new version at most `share` of what it itself sent to the service since the
/// order, plus its part of the slack. Over all hosts the sum is at most `share` of all requests plus
/// the slack, at any number of hosts and without any message between them. Credit accrues only
/// with requests that were sent; none is there before.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::rollout::ExposureCredit;
///
/// let mut credit = ExposureCredit::new(0.0);
/// assert!(!credit.take(0.1));
/// (0..10).for_each(|_| credit.record_answered());
/// assert!(credit.take(0.1));
/// assert!(!credit.take(0.1));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ExposureCredit {
    sent: u64,
    exposed: u64,
    slack: f64,
}

impl ExposureCredit {
    /// Creates the credit of a host at the time of an order; `slack` is its part, in requests.
    #[must_use]
    pub const fn new(slack: f64) -> Self {
        Self {
            sent: 0,
            exposed: 0,
            slack,
        }
    }

    /// Records a request to the service that was answered, whatever the version.
    pub const fn record_answered(&mut self) {
        self.sent += 1;
    }

    /// Takes credit for one request to the new version, of `share` of all; returns whether it was there.
    pub fn take(&mut self, share: f64) -> bool {
        let is_granted = self.has(share, 1);
        self.exposed += u64::from(is_granted);
        is_granted
    }

    /// Returns whether there is credit for some requests to the new version.
    #[must_use]
    pub fn has(&self, share: f64, requests: usize) -> bool {
        self.exposed as f64 + requests as f64 <= self.left_bound(share)
    }

    /// Gives back the credit of a request that was not sent to the new version.
    pub const fn give_back(&mut self) {
        self.exposed = self.exposed.saturating_sub(1);
    }

    /// Returns the number of requests to the service that were answered since the order.
    #[must_use]
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the number of requests sent to the new version.
    #[must_use]
    pub const fn exposed(&self) -> u64 {
        self.exposed
    }

    /// Returns the number of requests that may go to the new version in all, at this share.
    pub(super) fn left_bound(&self, share: f64) -> f64 {
        self.sent as f64 * share + self.slack
    }
}
