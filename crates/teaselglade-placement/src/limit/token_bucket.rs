//! Token bucket with a changeable rate.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Default capacity of a bucket, as time at its rate.
const BURST_WINDOW: Duration = Duration::from_millis(500);
const MIN_CAPACITY: f64 = 1.0;

/// Token bucket that is refilled at a rate and drained by requests.
///
/// A full bucket admits a request larger than its capacity; the level then becomes negative and
/// must be refilled before the next request.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_placement::limit::TokenBucket;
///
/// let mut bucket = TokenBucket::default();
/// let now = Timestamp::from_millis(1_000);
/// bucket.set_rate(now, 4.0);
/// assert!(bucket.has(now, 2.0));
/// bucket.take(2.0);
/// assert!(!bucket.has(now, 1.0));
/// assert_eq!(bucket.wait(1.0).as_millis(), 250);
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    level: f64,
    refilled_at: Option<Timestamp>,
    min_capacity: f64,
    burst_window: Duration,
    starts_full: bool,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self {
            rate: 0.0,
            level: 0.0,
            refilled_at: None,
            min_capacity: MIN_CAPACITY,
            burst_window: BURST_WINDOW,
            starts_full: true,
        }
    }
}

impl TokenBucket {
    /// Creates a bucket that starts empty.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            starts_full: false,
            ..Self::default()
        }
    }

    /// Sets the capacity: `min_units`, or what the rate gives in `window` if that is more.
    #[must_use]
    pub const fn burst(mut self, min_units: f64, window: Duration) -> Self {
        self.min_capacity = min_units;
        self.burst_window = window;
        self
    }

    /// Sets the rate in units per second; a new bucket starts full unless created empty.
    pub fn set_rate(&mut self, now: Timestamp, rate: f64) {
        self.refill(now);
        self.rate = rate;
        if self.refilled_at.is_none() {
            self.refilled_at = Some(now);
            if self.starts_full {
                self.level = self.capacity();
            }
        }
        self.level = self.level.min(self.capacity());
    }

    /// Returns whether `amount`, or a full bucket if that is less, is available now.
    pub fn has(&mut self, now: Timestamp, amount: f64) -> bool {
        self.refill(now);
        self.level >= amount.min(self.capacity())
    }

    /// Subtracts `amount`; the level may become negative.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Raises a negative level to what the rate refills in `window`.
    pub fn limit_debt(&mut self, window: Duration) {
        self.level = self.level.max(-self.rate * window.as_secs_f64());
    }

    /// Returns the time until `amount` is available.
    #[must_use]
    pub fn wait(&self, amount: f64) -> Duration {
        let missing = amount.min(self.capacity()) - self.level;
        let seconds = missing.max(0.0) / self.rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn capacity(&self) -> f64 {
        (self.rate * self.burst_window.as_secs_f64()).max(self.min_capacity)
    }

    fn refill(&mut self, now: Timestamp) {
        let Some(refilled_at) = self.refilled_at else {
            return;
        };
        let gained = self.rate * now.since(refilled_at).as_secs_f64();
        self.level = (self.level + gained).min(self.capacity());
        self.refilled_at = Some(refilled_at.max(now));
    }
}
