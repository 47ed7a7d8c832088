//! Serving host: request relay and control plane in one process.
//!
//! The host accepts callers' requests, relays them to backend servers and gossips its state to its
//! peers. The decision crates make the decisions; this crate feeds them with events from sockets
//! and timers. The platform's protocols and formats are behind the port traits.

pub mod duty;
pub mod explain;
pub mod follow;
pub mod host;
pub mod ingress;
pub mod journal;
pub mod metrics;
pub mod open;
pub mod peer;
pub mod permit;
pub mod port;
pub mod quarantine;
pub mod relay;
pub mod rollout;
pub mod settings;
pub mod state;
pub mod upstream;
