//! Drives the lease, the planner and the audit trail.

mod audit_writing;
mod control_calls;
mod control_ports;
mod control_work;
mod lease_calls;
mod table_follower;
mod term_cell;
mod work_event;

pub(crate) use control_ports::ControlPorts;
pub(crate) use control_work::ControlWork;
pub(crate) use table_follower::{TableFollower, follow_table};
pub(crate) use term_cell::TermCell;
pub(crate) use work_event::WorkEvent;
