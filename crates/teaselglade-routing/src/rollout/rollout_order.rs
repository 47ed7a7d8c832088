//! Order to move a service's traffic to another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gossip::name_hash;

/// Order to move a service's traffic to another version.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::rollout::RolloutOrder;
///
/// let order = RolloutOrder { service: "desk".into(), target: "v2".into(), over_ms: 12_000, number: 7 };
/// assert_eq!(order.over().as_secs(), 12);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Version to which its traffic is moved.
    pub target: String,
    /// Time from the order to its time limit, in milliseconds.
    pub over_ms: u64,
    /// Position of the order among the operators' records; a later order has a higher one.
    pub number: u64,
}

impl RolloutOrder {
    /// Returns the time from the order to its time limit.
    #[must_use]
    pub const fn over(&self) -> Duration {
        Duration::from_millis(self.over_ms)
    }

    /// Returns the hash of the target version, as registered servers carry it.
    #[must_use]
    pub fn target_hash(&self) -> u64 {
        name_hash(&self.target)
    }

    /// Returns whether both are one order, read again after the store returned from a copy.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.number == other.number
            || (self.target == other.target && self.over_ms == other.over_ms)
                && self.service == other.service
                && (self.number as u32) == (other.number as u32)
    }
}
