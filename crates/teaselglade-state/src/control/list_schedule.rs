//! Schedules the reads of both host lists.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::ControlLimits;

/// Schedule of the reads of the host list and of the cloud API's hosts.
///
/// The lists grow with the fleet, so they are read often only after a change; while nothing
/// changes, the interval doubles up to `ControlLimits::idle_interval`.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ListSchedule {
    last_read: Option<Timestamp>,
    interval: Duration,
}

impl ListSchedule {
    /// Shortens the interval to `ControlLimits::busy_interval`.
    pub(super) fn shorten_interval(&mut self, limits: &ControlLimits) {
        self.interval = limits.busy_interval;
    }

    /// Returns whether to read now; if so, schedules the next read.
    pub(super) fn is_due(&mut self, now: Timestamp, limits: &ControlLimits) -> bool {
        let is_early = self
            .last_read
            .is_some_and(|last| now < last + self.interval);
        if is_early {
            return false;
        }
        self.last_read = Some(now);
        let longer = (self.interval * 2).max(limits.busy_interval);
        self.interval = longer.min(limits.idle_interval);
        true
    }
}
