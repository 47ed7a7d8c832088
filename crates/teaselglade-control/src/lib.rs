//! Control daemon.
//!
//! One runs on each entry host; of those in a data centre one is active, by lease. Losing all of
//! them stops improvements, not serving.

mod daemon;
mod metrics;
mod settings;
mod work;

pub use daemon::{ControlDaemon, DaemonAddresses, DaemonError, Result};
pub use settings::ControlSettings;
