//! Adapters between the ports and sockets.
//!
//! Adapters turn sockets and timers into values and back. They hold no policy.

pub mod backend;
pub mod client;
pub mod clock;
pub mod daemon;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod server;
