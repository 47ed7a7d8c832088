//! Rate at which something is asked for.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

const WINDOW: Duration = Duration::from_millis(500);
const SMOOTHING: f64 = 0.25;

/// Smoothed rate at which something is asked for.
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
    started: Option<Timestamp>,
    amount: f64,
    rate: f64,
}

impl DemandMeter {
    /// Counts an amount that was asked for.
    pub fn add(&mut self, now: Timestamp, amount: f64) {
        self.roll(now);
        self.amount += amount;
    }

    /// Returns the rate in units a second.
    pub fn rate(&mut self, now: Timestamp) -> f64 {
        self.roll(now);
        self.rate
    }

    fn roll(&mut self, now: Timestamp) {
        let started = *self.started.get_or_insert(now);
        let elapsed = now.since(started);
        if elapsed < WINDOW {
            return;
        }
        let latest = self.amount / elapsed.as_secs_f64();
        let windows = elapsed.as_secs_f64() / WINDOW.as_secs_f64();
        let weight = 1.0 - (1.0 - SMOOTHING).powf(windows);
        self.rate += weight * (latest - self.rate);
        self.amount = 0.0;
        self.started = Some(now);
    }
}
