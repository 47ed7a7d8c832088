//! Control daemon: orders hosts, loads engines and drains servers of one data centre.
//!
//! Every entry host runs one; in each data centre only the daemon that holds the lease is active.
//! If all of them fail, requests are still served, but the fleet no longer adapts.

mod daemon;
mod metrics;
mod settings;
mod work;

pub use daemon::{ControlDaemon, DaemonAddresses, DaemonError, Result};
pub use settings::ControlSettings;
