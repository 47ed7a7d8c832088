//! Port to the cloud API.

use std::fmt::{self, Debug};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::PortFuture;
use crate::id::{HostIncarnation, HostName};
use crate::time::Timestamp;

crate::value_type! {
    /// Purchase option of a host.
    pub enum HostPurchase {
        /// Cheaper; the platform can reclaim the host.
        Reclaimable,
        /// More expensive; the host runs until it is released.
        OnDemand,
    }
}

crate::value_type! {
    /// State of a host, as reported by the cloud API.
    pub enum HostState {
        /// The host is starting.
        Starting,
        /// The host is running.
        Running,
        /// The host is about to be reclaimed or released.
        Leaving,
        /// The host no longer exists.
        Gone,
    }
}

/// Order for one host; orders with the same token are duplicates.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostOrder {
    /// Idempotency token of the order.
    pub token: String,
    /// Service that the host is ordered for.
    pub service: String,
    /// Zone to start the host in.
    pub zone: String,
    /// Hardware class of the host.
    pub class: String,
    /// Purchase option of the host.
    pub purchase: HostPurchase,
}

/// Host, as reported by the cloud API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CloudHost {
    /// Name of the host.
    pub name: HostName,
    /// State of the host.
    pub state: HostState,
    /// Order that started the host.
    pub order: HostOrder,
    /// Price in euro cents per hour.
    pub cents_per_hour: f64,
}

/// Notice that the platform will reclaim a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Number of the notice; later notices have higher numbers.
    pub number: u64,
    /// Host that will be reclaimed.
    pub host: HostName,
    /// Incarnation number of that host.
    pub incarnation: HostIncarnation,
    /// Time at which the host stops.
    pub deadline: Timestamp,
}

/// Failure of a call to the cloud API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudError {
    /// The call had no effect, for example for lack of capacity.
    Refused {
        /// Reason for the refusal.
        detail: String,
        /// Minimum delay before the next call, if the cloud API names one.
        retry_after: Option<Duration>,
    },
    /// It is unknown whether the call took effect.
    Unknown {
        /// What went wrong.
        detail: String,
    },
}

impl fmt::Display for CloudError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { detail, .. } => write!(f, "the cloud API refused the call: {detail}"),
            Self::Unknown { detail } => write!(f, "the cloud API's answer is unknown: {detail}"),
        }
    }
}

impl std::error::Error for CloudError {}

/// Client of the cloud API.
pub trait CloudPort: Debug + Send + Sync {
    /// Orders a host; repeating a token never starts a second host.
    fn order(&self, order: HostOrder) -> PortFuture<'_, Result<CloudHost, CloudError>>;

    /// Releases a host; an unknown host is not an error.
    fn release(&self, host: HostName) -> PortFuture<'_, Result<(), CloudError>>;

    /// Lists all hosts that were ordered.
    fn hosts(&self) -> PortFuture<'_, Result<Vec<CloudHost>, CloudError>>;

    /// Returns the notices with numbers greater than `after`.
    fn notices(&self, after: u64) -> PortFuture<'_, Result<Vec<ReclaimNotice>, CloudError>>;
}
