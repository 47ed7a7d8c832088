//! Inputs and outputs of a control planner.

use std::net::SocketAddr;
use std::time::Duration;

use teaselglade_core::id::HostName;
use teaselglade_core::port::{
    CloudError, CloudHost, EngineError, EngineStatus, HostOrder, ListedHost, ReclaimNotice,
    ServerReport,
};
use teaselglade_core::table::RoutingTable;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::AuditEntry;

use crate::lease::LeaseNumber;

/// Lease under which a planner may act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlTerm {
    /// Fencing number of the lease.
    pub number: LeaseNumber,
    /// Time until which the planner may act.
    pub valid_until: Timestamp,
}

/// Input of a control planner.
///
/// `requested_at` is the time just before the call was sent, so the data is at least as recent.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlEvent {
    /// Periodic timer; starts calls that are due.
    Tick,
    /// The lease was gained, renewed or lost.
    LeaseChanged(Option<ControlTerm>),
    /// A new version of the routing table became active.
    TableChanged(RoutingTable),
    /// The host list was read.
    HostsRead {
        /// Time just before the call was sent.
        requested_at: Timestamp,
        /// All listed hosts.
        hosts: Vec<ListedHost>,
    },
    /// The hosts of the cloud API were read.
    CloudRead {
        /// Time just before the call was sent.
        requested_at: Timestamp,
        /// All hosts that were ordered.
        hosts: Vec<CloudHost>,
    },
    /// Reclaim notices were read.
    NoticesRead(Vec<ReclaimNotice>),
    /// A host order completed or failed.
    HostOrdered {
        /// Idempotency token of the order.
        token: String,
        /// The ordered host, or why there is none.
        result: Result<CloudHost, CloudError>,
    },
    /// The release of a host completed or failed.
    HostReleased {
        /// The host.
        host: HostName,
        /// Whether it was released.
        result: Result<(), CloudError>,
    },
    /// The read of an engine's state completed or failed.
    EngineRead {
        /// Host of the engine.
        host: HostName,
        /// The engine's state.
        result: Result<EngineStatus, EngineError>,
    },
    /// An order to an engine completed or failed.
    EngineOrdered {
        /// Host of the engine.
        host: HostName,
        /// The engine's state after the order.
        result: Result<EngineStatus, EngineError>,
    },
    /// A server's load report was read.
    ReportRead {
        /// Host of the server.
        host: HostName,
        /// Time just before the call was sent.
        requested_at: Timestamp,
        /// The report.
        report: ServerReport,
    },
    /// The weight store responded to a reservation.
    Reserved {
        /// Model or adapter to fetch.
        item: String,
        /// Whether the fetch may start; the error is the time to wait before the next request.
        result: Result<(), Duration>,
    },
}

/// Output of a control planner.
///
/// The caller must check again that the lease is still valid before it carries out an action.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlAction {
    /// Read the host list.
    ReadHosts,
    /// Read the hosts of the cloud API.
    ReadCloud,
    /// Read the reclaim notices with a higher number than `after`.
    ReadNotices {
        /// Highest notice number read so far.
        after: u64,
    },
    /// Order a host.
    OrderHost(HostOrder),
    /// Release a host.
    ReleaseHost(HostName),
    /// Read an engine's state.
    ReadEngine {
        /// Host of the engine.
        host: HostName,
        /// Its address.
        address: SocketAddr,
    },
    /// Order an engine to adopt a state.
    OrderEngine {
        /// Host of the engine.
        host: HostName,
        /// Its address.
        address: SocketAddr,
        /// Desired state and fencing number.
        order: EngineStatus,
    },
    /// Read a server's load report.
    ReadReport {
        /// Host of the server.
        host: HostName,
        /// Its address.
        address: SocketAddr,
    },
    /// Reserve one fetch at the weight store.
    Reserve {
        /// Model or adapter to fetch.
        item: String,
    },
    /// Write an entry to the audit trail.
    Record(AuditEntry),
}
