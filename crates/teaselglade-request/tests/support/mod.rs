//! Simulated fleet on virtual time that drives the state machines of this crate.

mod caller;
mod engine;
mod fault;
mod fleet;
mod fleet_engines;
mod fleet_faults;
mod fleet_handover;

pub use caller::{Caller, Outcome};
pub use engine::{Engine, EngineRun};
pub use fault::Fault;
pub use fleet::{FleetSetup, SimulatedFleet};
