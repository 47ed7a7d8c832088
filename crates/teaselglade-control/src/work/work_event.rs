//! Inputs of the daemon's event loop.

use teaselglade_core::table::RoutingTable;
use teaselglade_state::audit::AuditEvent;
use teaselglade_state::control::ControlEvent;
use teaselglade_state::lease::LeaseEvent;

/// Input of the daemon's event loop.
#[derive(Debug)]
pub(crate) enum WorkEvent {
    /// Event of the lease holder.
    Lease(LeaseEvent),
    /// Event of the planner.
    Control(ControlEvent),
    /// Event of the audit writer.
    Audit(AuditEvent),
    /// A new version of the routing table became active.
    Table(RoutingTable),
    /// A call of the planner ended without a result.
    CallEnded,
}
