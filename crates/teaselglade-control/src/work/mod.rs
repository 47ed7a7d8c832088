//! Event loop and calls of the lease holder, the planner and the audit writer.

mod audit_calls;
mod call_context;
mod control_ports;
mod control_work;
mod lease_calls;
mod shared_term;
mod table_follower;
mod work_event;

pub(crate) use control_ports::ControlPorts;
pub(crate) use control_work::ControlWork;
pub(crate) use shared_term::SharedTerm;
pub(crate) use table_follower::{TableFollower, follow_table};
pub(crate) use work_event::WorkEvent;
