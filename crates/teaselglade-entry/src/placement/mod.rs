//! Places requests at backend servers, within the fleet's limits.

mod admission_waiter;
mod demand_calls;
mod gate_calls;
mod key_map;
mod placement_desk;
mod placement_order;
mod server_poller;

pub(crate) use admission_waiter::{AdmissionPass, admit, admit_plain};
pub(crate) use placement_desk::PlacementDesk;
pub(crate) use placement_order::PlacementOrder;
pub(crate) use server_poller::poll_servers;
