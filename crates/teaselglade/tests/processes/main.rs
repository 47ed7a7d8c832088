//! Tests with stand-ins, entry daemons and control daemons as separate processes.

mod active_table;
mod end_to_end;
mod faults;
mod fleet_status;
mod handover;
mod harness;
mod interface_page;
mod keyed_calls;
mod limits;
mod planned_stops;
mod repeated_stops;
mod stream_load;
