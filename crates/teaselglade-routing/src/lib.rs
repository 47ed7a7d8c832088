//! Decisions of a serving host on routed requests.
//!
//! A route carries an opaque request to a service: a plain call or a stream of events. This crate
//! decides which requests are admitted, where they run, whether they are retried, how many servers
//! are kept and what is reported. Nothing here does I/O, reads a clock or starts a task.

pub mod attempt;
pub mod capacity;
pub mod crash;
pub mod engine;
pub mod event;
pub mod gossip;
pub mod limit;
pub mod plain;
pub mod quota;
pub mod registry;
pub mod rollout;
pub mod scaling;
pub mod share;
pub mod shutdown;
pub mod speed;
pub mod table;
pub mod usage;
pub mod zone;
