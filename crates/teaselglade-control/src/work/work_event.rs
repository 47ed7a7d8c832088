//! What reaches the daemon's machines.

use teaselglade_core::table::RoutingTable;
use teaselglade_state::audit::AuditEvent;
use teaselglade_state::control::ControlEvent;
use teaselglade_state::lease::LeaseEvent;

/// What reaches the daemon's machines.
#[derive(Debug)]
pub(crate) enum WorkEvent {
    /// For the lease.
    Lease(LeaseEvent),
    /// For the planner.
    Control(ControlEvent),
    /// For the audit trail.
    Audit(AuditEvent),
    /// A version of the table is in force.
    Table(RoutingTable),
    /// A call of the planner that has no answer ended.
    Ended,
}
