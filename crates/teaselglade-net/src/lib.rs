//! Adapters that implement the ports with sockets and system clocks.
//!
//! Adapters convert between socket or timer events and values. They contain no policy.

pub mod backend;
pub mod client;
pub mod clock;
pub mod daemon;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod server;
