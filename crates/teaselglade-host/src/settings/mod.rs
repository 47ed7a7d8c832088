//! Settings of a serving host.

mod host_settings;

pub use host_settings::{DutyBounds, HostSettings, ListenAddresses};
