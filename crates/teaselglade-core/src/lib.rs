//! Shared identifiers, time, verdicts, the routing table and the ports.
//!
//! This crate performs no I/O, reads no clock and spawns no task. The decision crates build on it,
//! and the adapters in `teaselglade-net` implement its ports.

mod derive;

pub mod id;
pub mod port;
pub mod table;
pub mod time;
pub mod verdict;
