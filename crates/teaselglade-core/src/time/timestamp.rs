//! Point in time at which an event happens.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: u64 = 1_000;

/// Point in time, in microseconds since the Unix epoch.
///
/// Adapters derive it from a monotonic clock whose offset to the wall clock is read at start.
/// Tests and benchmarks choose it freely.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
///
/// let start = Timestamp::from_millis(10);
/// let later = start + Duration::from_millis(5);
/// assert_eq!(later - start, Duration::from_millis(5));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The Unix epoch.
    pub const ZERO: Self = Self(0);

    /// Creates a timestamp from microseconds since the epoch.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Returns the microseconds since the epoch.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp `duration` before this one, but not before the epoch.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselglade_core::time::Timestamp;
    ///
    /// let now = Timestamp::from_millis(5);
    /// assert_eq!(now.before(Duration::from_millis(3)), Timestamp::from_millis(2));
    /// assert_eq!(now.before(Duration::from_secs(9)), Timestamp::ZERO);
    /// ```
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self::from_micros(self.as_micros().saturating_sub(micros))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        self.since(rhs)
    }
}
