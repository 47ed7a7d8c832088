//! The entry daemon and the state that its parts share.

mod entry_daemon;
mod entry_host;
mod entry_ports;

pub use entry_daemon::{DaemonAddresses, EntryDaemon};
pub(crate) use entry_host::EntryHost;
pub(crate) use entry_ports::EntryPorts;
pub use teaselglade_net::daemon::{DaemonError, Result};
