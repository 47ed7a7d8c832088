//! The daemon as a whole.

mod control_daemon;
mod daemon_error;
mod operator_routes;

pub use control_daemon::{ControlDaemon, DaemonAddresses};
pub use daemon_error::DaemonError;

/// Result of starting the daemon.
pub type Result<T> = std::result::Result<T, DaemonError>;
