//! Pooled connections to backend servers.

mod connection_pool;
mod send_error;

pub use connection_pool::{ConnectionPool, LeasedConnection};
pub use send_error::SendError;

/// Result of sending a request to a server.
pub type Result<T> = std::result::Result<T, SendError>;
