//! Small stand-ins for outside systems, for tests and the demo.
//!
//! Each stand-in serves HTTP on its own loopback port and takes faults at `POST /faults`.

pub mod cloud;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod host_list;
pub mod log;
pub mod plain;
pub mod weights;
