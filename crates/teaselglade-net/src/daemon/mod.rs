//! Startup errors of the entry daemon and the control daemon.

mod daemon_error;

pub use daemon_error::DaemonError;

/// Result of starting a daemon.
pub type Result<T> = std::result::Result<T, DaemonError>;
