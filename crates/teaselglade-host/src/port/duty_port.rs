//! Port to the duties of one host at a time.

use std::fmt::{self, Debug};

use teaselglade_core::port::PortFuture;
use teaselglade_routing::scaling::ServerOrder;
use teaselglade_routing::usage::WindowCounts;

/// Under what a duty is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Host that holds the duties.
    pub leader: String,
    /// Fencing number; it grows with each new holder.
    pub fencing_number: u64,
}

/// Failure of a call under a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyError {
    /// Another host holds the duty.
    Fenced {
        /// What the platform said.
        detail: String,
    },
    /// The platform has no servers of this kind there.
    NoCapacity {
        /// What the platform said.
        detail: String,
    },
    /// The platform refused the call.
    Refused {
        /// HTTP status.
        status: u16,
        /// What the platform said.
        detail: String,
    },
    /// Whether the call had its effect is unknown.
    Unknown {
        /// What went wrong.
        detail: String,
    },
}

impl fmt::Display for DutyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced { detail } => write!(f, "another host holds the duty: {detail}"),
            Self::NoCapacity { detail } => write!(f, "none are to be had: {detail}"),
            Self::Refused { status, detail } => write!(f, "refused ({status}): {detail}"),
            Self::Unknown { detail } => write!(f, "no answer: {detail}"),
        }
    }
}

impl std::error::Error for DutyError {}

/// Duties of one host at a time.
pub trait DutyPort: Debug + Send + Sync {
    /// Reports the counts of a window.
    fn report_usage<'a>(
        &'a self,
        term: &'a LeaderTerm,
        counts: &'a WindowCounts,
    ) -> PortFuture<'a, Result<(), DutyError>>;

    /// Orders servers.
    fn order_servers<'a>(
        &'a self,
        term: &'a LeaderTerm,
        order: &'a ServerOrder,
    ) -> PortFuture<'a, Result<(), DutyError>>;
}
