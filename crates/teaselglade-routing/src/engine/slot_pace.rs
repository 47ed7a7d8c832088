//! How long streams hold the slots of an engine.

use std::time::Duration;

/// Time for which a stream holds a slot, before any stream ended; about 200 output tokens.
const INITIAL_HOLD_MS: f64 = 800.0;
/// Weight of one stream in the moving average; about the last fifty streams count.
const STREAM_WEIGHT: f64 = 0.02;
/// Longest time that one stream contributes, so that a hung one does not distort the average.
const MAX_HOLD_MS: f64 = 30_000.0;

/// Mean time for which a stream of a service holds a slot of its engine.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_routing::engine::SlotPace;
///
/// let mut pace = SlotPace::default();
/// let before = pace.release_interval(12);
/// pace.observe(Duration::from_secs(3));
/// assert!(pace.release_interval(12) > before);
/// assert!(pace.release_interval(64) < before);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct SlotPace {
    hold_ms: f64,
}

impl Default for SlotPace {
    fn default() -> Self {
        Self {
            hold_ms: INITIAL_HOLD_MS,
        }
    }
}

impl SlotPace {
    /// Updates the mean: a stream ended `held` after its prefill began.
    pub fn observe(&mut self, held: Duration) {
        let held_ms = (held.as_secs_f64() * 1_000.0).min(MAX_HOLD_MS);
        self.hold_ms += (held_ms - self.hold_ms) * STREAM_WEIGHT;
    }

    /// Returns the mean time for which a stream holds a slot.
    #[must_use]
    pub fn hold_time(self) -> Duration {
        Duration::from_secs_f64(self.hold_ms / 1_000.0)
    }

    /// Returns the mean time between two releases of a slot on an engine whose slots are all used.
    #[must_use]
    pub fn release_interval(self, slots: u32) -> Duration {
        self.hold_time() / slots.max(1)
    }
}
