//! What it costs to serve a request in another zone.

use std::time::Duration;

/// Number of bytes in a kilobyte.
const BYTES_PER_KB: f64 = 1_000.0;

/// Largest cost of bytes between zones; an hour is beyond any target.
const MAX_COST_MS: f64 = 3_600_000.0;

/// What it costs to serve a request in another zone, as time; by default nothing.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_routing::zone::ZonePrices;
///
/// let prices = ZonePrices { trip: Duration::from_millis(2), byte_cost_ms_per_kb: 0.5 };
/// assert_eq!(prices.crossing(16_000.0), Duration::from_millis(10));
/// assert!(!ZonePrices::default().is_active());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ZonePrices {
    /// Time that a request and its answer need to cross between zones, both ways together.
    pub trip: Duration,
    /// Lateness that a kilobyte between zones is worth, in milliseconds.
    pub byte_cost_ms_per_kb: f64,
}

impl ZonePrices {
    /// Returns whether zones differ for callers or operators.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.trip.is_zero() || self.byte_cost_ms_per_kb > 0.0
    }

    /// Returns what it costs to move `bytes` of a request and its answer between zones.
    #[must_use]
    pub fn crossing(&self, bytes: f64) -> Duration {
        // `max` turns a cost that is no number into 0.
        let cost_ms = (self.byte_cost_ms_per_kb * bytes / BYTES_PER_KB).max(0.0);
        self.trip + Duration::from_secs_f64(cost_ms.min(MAX_COST_MS) / 1_000.0)
    }
}
