//! Mean interval between the events of one attempt.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Fewest events after the first ones for which the mean interval tells of the server's speed.
const MIN_EVENTS: u32 = 4;

/// Times and number of the events of one attempt.
///
/// The first events' number is left out, as they arrive with the end of the prefill.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EventPace {
    first_at: Option<Timestamp>,
    last_at: Timestamp,
    later_events: u32,
}

impl EventPace {
    /// Records that `events` arrived together.
    pub(super) fn record(&mut self, now: Timestamp, events: usize) {
        if self.first_at.is_none() {
            self.first_at = Some(now);
            return;
        }
        self.last_at = now;
        self.later_events = self.later_events.saturating_add(events as u32);
    }

    /// Returns the mean interval, if enough events arrived.
    pub(super) fn interval(&self) -> Option<Duration> {
        let first_at = self.first_at?;
        let has_enough = self.later_events >= MIN_EVENTS;
        has_enough.then(|| self.last_at.since(first_at) / self.later_events)
    }
}
