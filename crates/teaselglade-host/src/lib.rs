//! Serving host: entry part and control part in one process.
//!
//! The host takes callers' requests, relays them to backend servers and shares what it knows with
//! its peers. Decisions come from the decision crates; this crate turns sockets and timers into
//! their events. What the platform speaks comes through the ports.

pub mod duty;
pub mod follow;
pub mod host;
pub mod ingress;
pub mod journal;
pub mod metrics;
pub mod peer;
pub mod port;
pub mod relay;
pub mod settings;
pub mod state;
pub mod upstream;
