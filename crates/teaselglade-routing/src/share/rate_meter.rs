//! Smoothed rate of work.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Time constant of the smoothing; two of them pass within the time in which shares must settle.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Least time over which a rate is measured.
const MIN_AGE: Duration = Duration::from_millis(100);

/// Smoothed rate of work, in units per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RateMeter {
    rate: f64,
    updated_at: Timestamp,
}

impl RateMeter {
    /// Adds work that was done or asked for now.
    pub(super) fn add(&mut self, now: Timestamp, work: f64) {
        self.rate = self.rate(now) + work / TIME_CONSTANT.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the rate in units per second.
    pub(super) fn rate(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Returns the rate since an earlier reading of a smoothed rate, in units per second.
pub(super) fn latest_rate(elapsed: Duration, earlier: f64, rate: f64) -> f64 {
    let kept = (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
    let weight = 1.0 - kept;
    if weight <= 0.0 {
        return rate;
    }
    ((rate - earlier * kept) / weight).max(0.0)
}

/// Returns the factor by which a rate is too low when it is measured for `age` only.
pub(super) fn warm_up_factor(age: Duration) -> f64 {
    let age = age.max(MIN_AGE).as_secs_f64();
    1.0 / (1.0 - (-age / TIME_CONSTANT.as_secs_f64()).exp())
}
