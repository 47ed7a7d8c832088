//! Settings of a serving host.

mod host_settings;
mod log_settings;

pub use host_settings::{DutySettings, HostSettings, ListenAddresses};
pub use log_settings::LogSettings;
