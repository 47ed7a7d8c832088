//! Exponential back-off with jitter.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use teaselglade_core::time::Timestamp;

const MOST_DOUBLINGS: u32 = 16;

/// Back-off of one thing that was refused.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BackOff {
    failures: u32,
    until: Timestamp,
}

impl BackOff {
    /// Returns whether the thing should not be tried at `now`.
    pub(super) fn is_waiting(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Waits until `until` at least, without counting a failure.
    pub(super) fn wait_until(&mut self, until: Timestamp) {
        self.until = self.until.max(until);
    }

    /// Notes a failure and waits twice as long as after the one before, at least for `least`.
    pub(super) fn note_failure(
        &mut self,
        now: Timestamp,
        first: Duration,
        longest: Duration,
        least: Option<Duration>,
        random: &mut Pcg64Mcg,
    ) {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        let span = first.saturating_mul(1 << doublings).min(longest);
        // Half of the wait is random, so that refused callers do not return together.
        let jittered = span.mul_f64(random.random_range(0.5..=1.0));
        self.failures += 1;
        self.wait_until(now + jittered.max(least.unwrap_or_default()));
    }

    /// Forgets all failures.
    pub(super) fn note_success(&mut self) {
        *self = Self::default();
    }
}
