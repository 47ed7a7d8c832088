//! Port to the leader duties.

use std::fmt::{self, Debug};

use teaselglade_core::port::PortFuture;
use teaselglade_routing::scaling::ServerOrder;
use teaselglade_routing::usage::WindowCounts;

/// Leader and fencing number under which a duty is performed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Name of the host that is the leader.
    pub leader: String,
    /// Fencing number, which increases with each change of leader.
    pub fencing_number: u64,
}

/// Failure of a call to perform a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyError {
    /// Another host is the leader; the platform rejected the fencing number.
    Fenced {
        /// Response of the platform.
        detail: String,
    },
    /// The platform has no servers of the ordered kind in the zone.
    NoCapacity {
        /// Response of the platform.
        detail: String,
    },
    /// The platform rejected the call.
    Refused {
        /// HTTP status.
        status: u16,
        /// Response of the platform.
        detail: String,
    },
    /// The call may or may not have taken effect.
    Unknown {
        /// Description of the failure.
        detail: String,
    },
}

impl fmt::Display for DutyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced { detail } => write!(f, "another host holds the duty: {detail}"),
            Self::NoCapacity { detail } => write!(f, "no servers available: {detail}"),
            Self::Refused { status, detail } => write!(f, "refused ({status}): {detail}"),
            Self::Unknown { detail } => write!(f, "no answer: {detail}"),
        }
    }
}

impl std::error::Error for DutyError {}

/// Performs the duties of the leader on the platform.
pub trait DutyPort: Debug + Send + Sync {
    /// Reports the usage counts of a window.
    fn report_usage<'a>(
        &'a self,
        term: &'a LeaderTerm,
        counts: &'a WindowCounts,
    ) -> PortFuture<'a, Result<(), DutyError>>;

    /// Orders servers for a service in a zone.
    fn order_servers<'a>(
        &'a self,
        term: &'a LeaderTerm,
        order: &'a ServerOrder,
    ) -> PortFuture<'a, Result<(), DutyError>>;
}
