//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use teaselglade_core::time::Timestamp;

const MAX_DOUBLINGS: u32 = 16;

/// Backoff of one offer whose orders were rejected.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Backoff {
    failures: u32,
    until: Timestamp,
}

impl Backoff {
    /// Returns whether no attempt should be made at `now`.
    pub(super) fn is_waiting(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Waits at least until `until`, without counting a failure.
    pub(super) fn wait_until(&mut self, until: Timestamp) {
        self.until = self.until.max(until);
    }

    /// Counts a failure and doubles the wait after the previous one, from `initial` up to `max`.
    ///
    /// The wait lasts at least `min`, which may exceed `max`.
    pub(super) fn record_failure(
        &mut self,
        now: Timestamp,
        initial: Duration,
        max: Duration,
        min: Option<Duration>,
        random: &mut Pcg64Mcg,
    ) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let wait = initial.saturating_mul(1 << doublings).min(max);
        // Half of the wait is random, so that rejected callers do not all retry at once.
        let jittered = wait.mul_f64(random.random_range(0.5..=1.0));
        self.failures += 1;
        self.wait_until(now + jittered.max(min.unwrap_or_default()));
    }

    /// Resets the failure count and the wait after a success.
    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }
}
