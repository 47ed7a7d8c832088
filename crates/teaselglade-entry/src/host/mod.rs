//! The daemon as a whole and what its parts share.

mod daemon_error;
mod entry_daemon;
mod entry_host;
mod entry_ports;

pub use daemon_error::DaemonError;
pub use entry_daemon::{DaemonAddresses, EntryDaemon};
pub(crate) use entry_host::EntryHost;
pub(crate) use entry_ports::EntryPorts;

/// Result of starting the daemon.
pub type Result<T> = std::result::Result<T, DaemonError>;
