//! What this host saw of a server's failures.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Time for which a server is avoided after its first failed connection.
///
/// A dead server's entry lapses after three heartbeats of about 1.2 s, so longer pauses add
/// nothing for one that crashed, and one that only dropped a connection is back soon.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which a server is avoided; three heartbeats.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Weight of one answer in the share of failed answers; about the last ten count.
const FAILURE_WEIGHT: f64 = 0.1;

/// What this host saw of a server's failures.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::registry::ServerHealth;
///
/// let mut health = ServerHealth::default();
/// let now = Timestamp::from_millis(1_000);
/// health.record_unreachable(now);
/// assert!(health.is_avoided(now));
/// health.record_answer(true);
/// assert!(!health.is_avoided(now));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerHealth {
    avoided_until: Timestamp,
    unreachable_in_a_row: u32,
    failure_share: f64,
}

impl ServerHealth {
    /// Records that the server could not be reached, or went silent.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        let shift = self.unreachable_in_a_row.min(3);
        let pause = FIRST_PAUSE.saturating_mul(1 << shift).min(LONGEST_PAUSE);
        self.avoided_until = self.avoided_until.max(now + pause);
        self.unreachable_in_a_row += 1;
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
    }

    /// Records a whole answer, or one that failed.
    pub fn record_answer(&mut self, is_good: bool) {
        let failure = if is_good { 0.0 } else { 1.0 };
        self.failure_share += FAILURE_WEIGHT * (failure - self.failure_share);
        if is_good {
            self.avoided_until = Timestamp::ZERO;
            self.unreachable_in_a_row = 0;
        }
    }

    /// Returns whether the server should get no new work while others can.
    #[must_use]
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.avoided_until
    }

    /// Returns the recent share of failed answers, from 0 to 1.
    #[must_use]
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
