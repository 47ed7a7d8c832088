//! Limits on the age of an idempotency key.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::{IdempotencyKey, KeyError, Result};

/// Range of key ages in which a key can be claimed.
///
/// The log's timestamp of the claim record decides, so all readers agree. A host's own clock serves
/// only to refuse keys early, before a claim is appended.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_claims::key::{IdempotencyKey, KeyError, KeyWindow};
///
/// let window = KeyWindow::default();
/// let key = "0193a1b2-0000-7000-8000-000000000001".parse::<IdempotencyKey>()?;
/// let late = key.created() + window.max_age() + Duration::from_secs(1);
/// assert_eq!(window.check(key, key.created()), Ok(()));
/// assert_eq!(window.check(key, late), Err(KeyError::Expired));
/// # Ok::<(), KeyError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyWindow {
    max_age: Duration,
    max_skew: Duration,
}

impl KeyWindow {
    const MAX_AGE: Duration = Duration::from_mins(15);
    const MAX_SKEW: Duration = Duration::from_mins(1);
    const RETENTION_MARGIN: Duration = Duration::from_mins(5);

    /// Sets the greatest age of a key.
    #[must_use]
    pub fn with_max_age(mut self, age: impl Into<Duration>) -> Self {
        self.max_age = age.into();
        self
    }

    /// Sets how far a key's timestamp may be ahead of the log's clock.
    #[must_use]
    pub fn with_max_skew(mut self, skew: impl Into<Duration>) -> Self {
        self.max_skew = skew.into();
        self
    }

    /// Returns the greatest age of a key.
    #[must_use]
    pub const fn max_age(self) -> Duration {
        self.max_age
    }

    /// Returns the shortest time for which the log must retain records.
    #[must_use]
    pub fn min_retention(self) -> Duration {
        self.max_age + self.max_skew + Self::RETENTION_MARGIN
    }

    /// Checks that a key's age is within the window at a point in time.
    ///
    /// # Errors
    ///
    /// Fails if the key is too old or its timestamp too far in the future.
    pub fn check(self, key: IdempotencyKey, at: Timestamp) -> Result<()> {
        let created = key.created();
        if at > created + self.max_age {
            return Err(KeyError::Expired);
        }
        if created > at + self.max_skew {
            return Err(KeyError::TooFarAhead);
        }
        Ok(())
    }

    /// Returns whether the state of a key can be discarded at a given time.
    #[must_use]
    pub fn can_discard(self, key: IdempotencyKey, at: Timestamp) -> bool {
        at > key.created() + self.max_age + Self::RETENTION_MARGIN
    }
}

impl Default for KeyWindow {
    fn default() -> Self {
        Self {
            max_age: Self::MAX_AGE,
            max_skew: Self::MAX_SKEW,
        }
    }
}
