//! Decides when the lists of hosts are read.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::ControlLimits;

/// Times of the reads of both lists of hosts.
///
/// The lists grow with the fleet, so they are read often only after a change and ever more seldom
/// while nothing changes.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ListSchedule {
    last: Option<Timestamp>,
    interval: Duration,
}

impl ListSchedule {
    /// Makes the next reads come soon.
    pub(super) fn hurry(&mut self, limits: &ControlLimits) {
        self.interval = limits.busy_interval;
    }

    /// Returns whether to read now, and plans the read after it.
    pub(super) fn is_due(&mut self, now: Timestamp, limits: &ControlLimits) -> bool {
        let waits = self.last.is_some_and(|last| now < last + self.interval);
        if waits {
            return false;
        }
        self.last = Some(now);
        let longer = (self.interval * 2).max(limits.busy_interval);
        self.interval = longer.min(limits.idle_interval);
        true
    }
}
