//! Smoothed rate of demand.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

const MEASURING_WINDOW: Duration = Duration::from_millis(500);
const WINDOW_SMOOTHING: f64 = 0.25;

/// Measures the rate of demand, exponentially smoothed over fixed windows.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_placement::limit::DemandMeter;
///
/// let mut meter = DemandMeter::default();
/// for tenth in 0..100 {
///     meter.add(Timestamp::from_millis(tenth * 100), 1.0);
/// }
/// let rate = meter.rate(Timestamp::from_millis(10_000));
/// assert!((rate - 10.0).abs() < 1.0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    window_start: Option<Timestamp>,
    amount: f64,
    rate: f64,
}

impl DemandMeter {
    /// Adds a demanded amount to the current window.
    pub fn add(&mut self, now: Timestamp, amount: f64) {
        self.close_window(now);
        self.amount += amount;
    }

    /// Returns the smoothed rate in units per second.
    pub fn rate(&mut self, now: Timestamp) -> f64 {
        self.close_window(now);
        self.rate
    }

    fn close_window(&mut self, now: Timestamp) {
        let window_start = *self.window_start.get_or_insert(now);
        let elapsed = now.since(window_start);
        if elapsed < MEASURING_WINDOW {
            return;
        }
        let window_rate = self.amount / elapsed.as_secs_f64();
        let windows = elapsed.as_secs_f64() / MEASURING_WINDOW.as_secs_f64();
        let weight = 1.0 - (1.0 - WINDOW_SMOOTHING).powf(windows);
        self.rate += weight * (window_rate - self.rate);
        self.amount = 0.0;
        self.window_start = Some(now);
    }
}
