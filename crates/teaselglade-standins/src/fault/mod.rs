//! Fault injection, shared by all stand-ins.

mod fault_injector;
mod fault_settings;
mod faulty_route;

pub use fault_injector::{CallFaults, FaultInjector};
pub use fault_settings::FaultSettings;
pub use faulty_route::{add_fault_routes, with_faults};
