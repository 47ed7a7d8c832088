//! Tiny fleet on virtual time that drives the machines of this crate.

mod caller;
mod engine;
mod fault;
mod world;
mod world_engines;
mod world_faults;
mod world_handover;

pub use caller::{Caller, Outcome};
pub use engine::{Engine, EngineRun};
pub use fault::Fault;
pub use world::{World, WorldSetup};
