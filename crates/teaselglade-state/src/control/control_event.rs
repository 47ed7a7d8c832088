//! What happens to a control planner and what it asks for.

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
    /// End of the time in which the planner may act.
    pub valid_until: Timestamp,
}

/// What happens to a control planner; `asked` is the time before the call was sent.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlEvent {
    /// Time passed.
    Tick,
    /// The lease was gained, renewed or lost.
    LeaseChanged(Option<ControlTerm>),
    /// A version of the table is in force.
    TableChanged(RoutingTable),
    /// The host list was read.
    HostsRead {
        /// Time before the call.
        requested_at: Timestamp,
        /// All listed hosts.
        hosts: Vec<ListedHost>,
    },
    /// The cloud API's hosts were read.
    CloudRead {
        /// Time before the call.
        requested_at: Timestamp,
        /// All hosts that were ordered.
        hosts: Vec<CloudHost>,
    },
    /// Notices were read.
    NoticesRead(Vec<ReclaimNotice>),
    /// A host order was answered.
    HostOrdered {
        /// Token of the order.
        token: String,
        /// The answer.
        result: Result<CloudHost, CloudError>,
    },
    /// A release was answered.
    HostReleased {
        /// The host.
        host: HostName,
        /// The answer.
        result: Result<(), CloudError>,
    },
    /// An engine's state was read.
    EngineRead {
        /// Host of the engine.
        host: HostName,
        /// The answer.
        result: Result<EngineStatus, EngineError>,
    },
    /// An order to an engine was answered.
    EngineOrdered {
        /// Host of the engine.
        host: HostName,
        /// The answer.
        result: Result<EngineStatus, EngineError>,
    },
    /// A server's load report was read.
    ReportRead {
        /// Host of the server.
        host: HostName,
        /// Time before the call.
        requested_at: Timestamp,
        /// The report.
        report: ServerReport,
    },
    /// The weight store answered.
    Reserved {
        /// Model or adapter that was asked for.
        item: String,
        /// The answer; the error says when to ask again.
        result: Result<(), Duration>,
    },
}

/// What a control planner asks for; whoever carries it out checks the lease's time once more.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlAction {
    /// Read the host list.
    ReadHosts,
    /// Read the cloud API's hosts.
    ReadCloud,
    /// Read the notices with a higher number.
    ReadNotices {
        /// Highest number seen.
        after: u64,
    },
    /// Order a host.
    OrderHost(HostOrder),
    /// Give a host back.
    ReleaseHost(HostName),
    /// Read an engine's state.
    ReadEngine {
        /// Host of the engine.
        host: HostName,
        /// Its address.
        address: SocketAddr,
    },
    /// Order a state of an engine.
    OrderEngine {
        /// Host of the engine.
        host: HostName,
        /// Its address.
        address: SocketAddr,
        /// State and fencing number.
        order: EngineStatus,
    },
    /// Read a server's load report.
    ReadReport {
        /// Host of the server.
        host: HostName,
        /// Its address.
        address: SocketAddr,
    },
    /// Ask the weight store to start one fetch.
    Reserve {
        /// Model or adapter to fetch.
        item: String,
    },
    /// Write an entry of the audit trail.
    Record(AuditEntry),
}
