//! Port to the clock.

use std::fmt::Debug;

use crate::time::Timestamp;

/// Source of the current time.
pub trait ClockPort: Debug + Send + Sync {
    /// Returns the current time, which never decreases.
    fn now(&self) -> Timestamp;
}
