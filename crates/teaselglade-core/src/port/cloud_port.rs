//! Port to the cloud API.

use std::fmt::{self, Debug};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::PortFuture;
use crate::id::{HostIncarnation, HostName};
use crate::time::Timestamp;

crate::value_type! {
    /// How a host is paid for.
    pub enum HostPurchase {
        /// Cheap, and the platform can take it back.
        Reclaimable,
        /// Dearer, and kept until it is given back.
        OnDemand,
    }
}

crate::value_type! {
    /// State of a host at the cloud API.
    pub enum HostState {
        /// The host starts.
        Starting,
        /// The host runs.
        Running,
        /// The host is about to be taken back or given back.
        Leaving,
        /// The host is gone.
        Gone,
    }
}

/// Order of one host; orders with the same token are the same order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostOrder {
    /// Idempotency token of the order.
    pub token: String,
    /// Service that the host is for.
    pub service: String,
    /// Zone to start in.
    pub zone: String,
    /// Hardware class to start.
    pub class: String,
    /// How the host is paid for.
    pub purchase: HostPurchase,
}

/// One host at the cloud API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CloudHost {
    /// Name of the host.
    pub name: HostName,
    /// State of the host.
    pub state: HostState,
    /// Order that started the host.
    pub order: HostOrder,
    /// Price in euro cents an hour.
    pub cents_per_hour: f64,
}

/// Notice that a host will be taken back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Number of the notice; it grows.
    pub number: u64,
    /// Host that will be taken back.
    pub host: HostName,
    /// Start number of that host.
    pub incarnation: HostIncarnation,
    /// When the host stops.
    pub deadline: Timestamp,
}

/// Failure of a call to the cloud API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudError {
    /// The call had no effect, for instance for want of capacity.
    Refused {
        /// What the cloud API said.
        detail: String,
        /// Shortest time before the next call, where the cloud API names one.
        retry_after: Option<Duration>,
    },
    /// Whether the call had its effect is unknown.
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

/// The cloud API.
pub trait CloudPort: Debug + Send + Sync {
    /// Orders a host; the same token never starts a second one.
    fn order(&self, order: HostOrder) -> PortFuture<'_, Result<CloudHost, CloudError>>;

    /// Gives a host back; unknown hosts are no error.
    fn release(&self, host: HostName) -> PortFuture<'_, Result<(), CloudError>>;

    /// Returns all hosts that were ordered.
    fn hosts(&self) -> PortFuture<'_, Result<Vec<CloudHost>, CloudError>>;

    /// Returns the notices with a number above `after`.
    fn notices(&self, after: u64) -> PortFuture<'_, Result<Vec<ReclaimNotice>, CloudError>>;
}
