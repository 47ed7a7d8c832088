//! Faults that every stand-in can be told to have.

mod fault_settings;
mod fault_switch;
mod faulty_route;

pub use fault_settings::FaultSettings;
pub use fault_switch::{FaultPass, FaultSwitch};
pub use faulty_route::{add_fault_routes, with_faults};
