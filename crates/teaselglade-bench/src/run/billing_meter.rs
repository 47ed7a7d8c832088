//! Measures the billed and the busy time of a host.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Time after which an idle host is released.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_mins(5);

/// Measures the time for which a host is billed.
///
/// A host is billed while it runs requests and for at most [`IDLE_TIMEOUT`] after that.
#[derive(Debug, Clone, Default)]
pub(super) struct BillingMeter {
    billed: Duration,
    busy: Duration,
    busy_since: Option<Timestamp>,
    idle_since: Option<Timestamp>,
}

impl BillingMeter {
    /// Records that the host has work, and returns whether it was newly acquired.
    pub(super) fn start(&mut self, now: Timestamp) -> bool {
        if self.busy_since.is_some() {
            return false;
        }
        self.busy_since = Some(now);
        let Some(idle_since) = self.idle_since.take() else {
            return true;
        };
        let idle = now - idle_since;
        self.billed += idle.min(IDLE_TIMEOUT);
        idle > IDLE_TIMEOUT
    }

    /// Records that the host has no more work.
    pub(super) fn stop(&mut self, now: Timestamp) {
        if let Some(since) = self.busy_since.take() {
            self.billed += now - since;
            self.busy += now - since;
            self.idle_since = Some(now);
        }
    }

    /// Returns the billed time until `end`.
    pub(super) fn billed_time(&self, end: Timestamp) -> Duration {
        let busy = self.busy_since.map_or(Duration::ZERO, |since| end - since);
        let idle = self.idle_since.map_or(Duration::ZERO, |since| end - since);
        self.billed + busy + idle.min(IDLE_TIMEOUT)
    }

    /// Returns the time with work until `end`.
    pub(super) fn busy_time(&self, end: Timestamp) -> Duration {
        self.busy + self.busy_since.map_or(Duration::ZERO, |since| end - since)
    }
}
