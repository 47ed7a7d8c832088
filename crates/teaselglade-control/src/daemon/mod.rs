//! Startup, shutdown and HTTP routes of the daemon.

mod control_daemon;
mod operator_routes;

pub use control_daemon::{ControlDaemon, DaemonAddresses};
pub use teaselglade_net::daemon::{DaemonError, Result};
