//! Token bucket with a changeable rate.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Capacity of the bucket, as time at its rate.
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
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    rate: f64,
    level: f64,
    refilled_at: Option<Timestamp>,
}

impl TokenBucket {
    /// Sets the rate in units per second; a new bucket starts full.
    pub fn set_rate(&mut self, now: Timestamp, rate: f64) {
        self.refill(now);
        self.rate = rate;
        if self.refilled_at.is_none() {
            self.refilled_at = Some(now);
            self.level = self.capacity();
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

    /// Returns the time until `amount` is available.
    #[must_use]
    pub fn wait(&self, amount: f64) -> Duration {
        let missing = amount.min(self.capacity()) - self.level;
        let seconds = missing.max(0.0) / self.rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_WINDOW.as_secs_f64()).max(MIN_CAPACITY)
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
