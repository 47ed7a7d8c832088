//! Port to the clock.

use std::fmt::Debug;

use crate::time::Timestamp;

/// Source of the present time.
pub trait ClockPort: Debug + Send + Sync {
    /// Returns the present time; it never goes back.
    fn now(&self) -> Timestamp;
}
