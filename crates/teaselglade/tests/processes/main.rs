//! Tests over separate processes: stand-ins, entry daemons and control daemons.

mod bookings;
mod faults;
mod fleet_status;
mod handover;
mod harness;
mod interface_page;
mod limits;
mod stream_load;
mod table_in_force;
mod whole_path;
