//! Stand-ins for the external systems that teaselglade depends on, for tests and the demo.
//!
//! Each stand-in serves HTTP on its own loopback port; `POST /faults` sets the faults that it
//! injects.

pub mod cloud;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod host_list;
pub mod log;
pub mod plain;
pub mod weights;
