//! Limit that a server names.

use serde::{Deserialize, Serialize};

/// Requests a second that a server takes from all hosts together, in thousandths.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::limit::RequestLimit;
///
/// assert_eq!(RequestLimit::per_second(0.2).rate(), 0.2);
/// assert_eq!(RequestLimit::per_second(1e300), RequestLimit::per_second(1e9));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestLimit(u32);

impl RequestLimit {
    /// Creates the limit from requests per second.
    ///
    /// A negative rate counts as zero, and one above four million as that.
    #[must_use]
    pub fn per_second(rate: f64) -> Self {
        // The cast saturates at both ends.
        Self((rate * 1_000.0).round() as u32)
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn rate(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}
