//! Bucket that fills at a rate.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Time whose share of the rate the bucket holds at most.
const BURST: Duration = Duration::from_millis(500);
const MIN_BURST: f64 = 1.0;

/// Bucket that fills at a rate and is emptied by requests.
///
/// One request larger than the bucket is let through when the bucket is full; the debt is waited
/// off.
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
    filled: Option<Timestamp>,
}

impl TokenBucket {
    /// Sets the rate in units a second; a new bucket is full.
    pub fn set_rate(&mut self, now: Timestamp, rate: f64) {
        self.fill(now);
        self.rate = rate;
        if self.filled.is_none() {
            self.filled = Some(now);
            self.level = self.capacity();
        }
        self.level = self.level.min(self.capacity());
    }

    /// Returns whether `amount` can be taken now.
    pub fn has(&mut self, now: Timestamp, amount: f64) -> bool {
        self.fill(now);
        self.level >= amount.min(self.capacity())
    }

    /// Takes `amount`; the level may fall below zero.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns how long it takes until `amount` can be taken.
    #[must_use]
    pub fn wait(&self, amount: f64) -> Duration {
        let missing = amount.min(self.capacity()) - self.level;
        let seconds = missing.max(0.0) / self.rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST.as_secs_f64()).max(MIN_BURST)
    }

    fn fill(&mut self, now: Timestamp) {
        let Some(filled) = self.filled else {
            return;
        };
        let gained = self.rate * now.since(filled).as_secs_f64();
        self.level = (self.level + gained).min(self.capacity());
        self.filled = Some(filled.max(now));
    }
}
