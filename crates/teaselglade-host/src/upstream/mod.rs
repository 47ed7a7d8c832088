//! Pooled connections to backend servers.

mod connection_pool;
mod late_response;
mod recorded_stream;
mod response_scanner;
mod send_error;

pub use connection_pool::{ConnectionPool, LeasedConnection};
pub use late_response::LateResponse;
pub use response_scanner::ResponseScanner;
pub use send_error::SendError;

/// Result of sending a request to a server.
pub type Result<T> = std::result::Result<T, SendError>;
