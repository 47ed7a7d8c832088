//! Fencing number of a lease.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Fencing number of a lease: the offset of its grant record in the lease stream.
///
/// A later lease always has a higher number.
///
/// # Examples
///
/// ```
/// use teaselglade_state::lease::LeaseNumber;
///
/// assert!(LeaseNumber(7) < LeaseNumber(12));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseNumber(pub u64);

impl fmt::Display for LeaseNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
