//! Health of a server, from the failures that this host saw.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Time for which a server is avoided after its first failed connection.
///
/// The registration of a crashed server expires after three heartbeats of about 1.2 s, so longer
/// pauses add nothing for it. A server that only dropped a connection is available again soon.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which a server is avoided, about three heartbeats.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Weight of one response in the moving average of failures, which covers about ten responses.
const FAILURE_WEIGHT: f64 = 0.1;

/// Health of a server, from the failures that this host saw.
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
/// health.record_response(true);
/// assert!(!health.is_avoided(now));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerHealth {
    avoided_until: Timestamp,
    consecutive_unreachable: u32,
    failure_share: f64,
}

impl ServerHealth {
    /// Records that the server was unreachable or stopped responding.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        let shift = self.consecutive_unreachable.min(3);
        let pause = FIRST_PAUSE.saturating_mul(1 << shift).min(LONGEST_PAUSE);
        self.avoided_until = self.avoided_until.max(now + pause);
        self.consecutive_unreachable += 1;
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
    }

    /// Records a response; an unhealthy one counts as a failure.
    pub fn record_response(&mut self, is_healthy: bool) {
        let failure = if is_healthy { 0.0 } else { 1.0 };
        self.failure_share += FAILURE_WEIGHT * (failure - self.failure_share);
        if is_healthy {
            self.avoided_until = Timestamp::ZERO;
            self.consecutive_unreachable = 0;
        }
    }

    /// Returns whether the server should get no new work while others can take it.
    #[must_use]
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.avoided_until
    }

    /// Returns the moving average of failed responses, from 0 to 1.
    #[must_use]
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
