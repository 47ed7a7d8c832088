//! Shared keys, time, verdicts, the table and the ports.
//!
//! Nothing in this crate does I/O, reads a clock or starts a task. The decision crates build on
//! it, and the adapters in `teaselglade-net` implement its ports.

mod derive;

pub mod id;
pub mod port;
pub mod table;
pub mod time;
pub mod verdict;
